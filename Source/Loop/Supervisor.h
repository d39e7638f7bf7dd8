// Starts tasks, restarts those that fail, and fails itself when one fails too often.
#pragma once

#include "Loop/Mailbox.h"
#include "Loop/Task.h"

#include <deque>
#include <map>
#include <stdexcept>
#include <vector>

namespace Berylport {

// What became of a child.
enum class ChildEventKind : uint8_t {
    Started,
    Failed,
    Restarted,
    // It ended by itself and is not restarted.
    Finished,
    Stopped,
    // It failed more often than the restart limit allows.
    GivenUp,
};

std::string_view toText(ChildEventKind);

struct ChildEvent {
    std::string child;
    ChildEventKind kind { ChildEventKind::Started };
    // Text of the failure; empty for other kinds.
    std::string reason;
};

struct ChildOptions {
    std::string name;
    // Builds the task anew for each start, so no state survives a failure.
    std::function<std::unique_ptr<Task>()> create;
};

struct SupervisorOptions {
    size_t maximumRestarts { 5 };
    Duration window { std::chrono::seconds(10) };
    std::function<void(const ChildEvent&)> onChildEvent;
    std::function<Instant()> clock { steadyNow };
};

class RestartLimitExceeded : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class Supervisor : public Task, private TaskParent {
public:
    Supervisor(EventLoop&, std::string name, SupervisorOptions, std::vector<ChildOptions>);
    ~Supervisor() override;

    // Starts the children in order.
    void start() override;
    // Stops the children in reverse order.
    void stop() noexcept override;

    // The running task of that name, or null.
    Task* find(const std::string& child);

private:
    struct Child {
        ChildOptions options;
        std::unique_ptr<Task> task;
        // Times of restarts within the window. Kept per child, so that one failing child does not use up the restarts
        // of the others.
        std::deque<Instant> restarts;
    };
    struct Ending {
        std::string child;
        // Identifies the instance, as a report of an instance already replaced must be ignored.
        Task* task { nullptr };
        std::exception_ptr failure;
    };

    void taskFailed(Task&, std::exception_ptr) override;
    void taskFinished(Task&) override;
    void startChild(Child&);
    void handle(Ending&&);
    void restart(Child&, const std::string& reason);
    bool mayRestart(Child&);
    static void release(Child&);
    void report(const Child&, ChildEventKind, std::string reason = {});

    SupervisorOptions m_options;
    std::vector<Child> m_children;
    Mailbox<Ending> m_endings;
};

} // namespace Berylport
