// A part of the node that owns its state and sockets, and reports its failure to its parent.
#pragma once

#include "Loop/EventLoop.h"

#include <exception>
#include <functional>
#include <memory>
#include <string>

namespace Berylport {

class Task;

// Hears what became of a task.
class TaskParent {
public:
    virtual ~TaskParent() = default;
    virtual void taskFailed(Task&, std::exception_ptr) = 0;
    virtual void taskFinished(Task&) = 0;
};

class Task {
public:
    Task(EventLoop&, std::string name);
    virtual ~Task() = default;
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;

    // Acquires what the task needs. An exception from it is a failure of the task.
    virtual void start() = 0;
    // Releases sockets and timers. Called before destruction, also after a failure.
    virtual void stop() noexcept = 0;

    const std::string& name() const { return m_name; }
    EventLoop& loop() { return m_loop; }
    void setParent(TaskParent* parent) { m_parent = parent; }

protected:
    // A callback for timers, sockets and mailboxes of this task; what it throws is a failure of this task.
    template <typename Function> auto guarded(Function function)
    {
        std::weak_ptr<bool> alive = m_alive;
        return [this, alive, function = std::move(function)](auto&&... arguments) {
            try {
                function(std::forward<decltype(arguments)>(arguments)...);
            } catch (...) {
                if (!alive.expired())
                    fail(std::current_exception());
            }
        };
    }

    // Reports to the parent. Without a parent a failure ends the loop.
    void fail(std::exception_ptr);
    void finish();

private:
    EventLoop& m_loop;
    std::string m_name;
    TaskParent* m_parent { nullptr };
    std::shared_ptr<bool> m_alive;
};

// Text of an exception for logs.
std::string describe(const std::exception_ptr&);

} // namespace Berylport
