// Guards restarts, the restart limit and what the parent hears about children.
#include "Loop/Loop.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Duration limit = 60s;

// Fails each time its trigger is posted to.
class FailingTask : public Task {
public:
    FailingTask(EventLoop& loop, std::string name, int& starts, int& stops)
        : Task(loop, std::move(name))
        , m_starts(starts)
        , m_stops(stops)
        , m_trigger(loop, guarded([](int&&) { throw std::runtime_error("triggered"); }))
    {
    }
    void start() override { ++m_starts; }
    void stop() noexcept override { ++m_stops; }
    void trigger() { m_trigger.post(1); }
    void finishNow() { finish(); }

private:
    int& m_starts;
    int& m_stops;
    Mailbox<int> m_trigger;
};

class SupervisorTest : public testing::Test {
protected:
    ChildOptions child(const std::string& name)
    {
        return { .name = name,
            .create = [this, name] { return std::make_unique<FailingTask>(loop, name, starts, stops); } };
    }
    SupervisorOptions options()
    {
        SupervisorOptions options;
        options.onChildEvent = [this](const ChildEvent& event) {
            events.push_back(event.child + " " + std::string(toText(event.kind)));
        };
        options.clock = [this] { return now; };
        return options;
    }
    // Makes the child fail and waits until the failure has been handled.
    void failChild(Supervisor& supervisor, const std::string& name)
    {
        size_t before = events.size();
        static_cast<FailingTask*>(supervisor.find(name))->trigger();
        ASSERT_TRUE(loop.runUntil([&] { return events.size() >= before + 2; }, limit));
    }

    EventLoop loop;
    int starts { 0 };
    int stops { 0 };
    Instant now;
    std::vector<std::string> events;
};

} // namespace

TEST_F(SupervisorTest, RestartsOnlyTheFailedChild)
{
    Supervisor supervisor(loop, "root", options(), { child("a"), child("b") });
    supervisor.start();
    Task* b = supervisor.find("b");
    failChild(supervisor, "a");
    EXPECT_EQ(starts, 3);
    EXPECT_EQ(stops, 1);
    EXPECT_EQ(supervisor.find("b"), b);
    EXPECT_EQ(events, (std::vector<std::string> { "a started", "b started", "a failed", "a restarted" }));
}

// Fails when the limit is off by one, or when the failure is not passed upwards.
TEST_F(SupervisorTest, SixthFailureWithinTheWindowGoesUpwards)
{
    Supervisor supervisor(loop, "root", options(), { child("a") });
    supervisor.start();
    for (int i = 0; i < 5; ++i) {
        failChild(supervisor, "a");
        now += 1s;
    }
    EXPECT_EQ(starts, 6);
    static_cast<FailingTask*>(supervisor.find("a"))->trigger();
    EXPECT_THROW(loop.runUntil([] { return false; }, limit), RestartLimitExceeded);
    EXPECT_EQ(events.back(), "a given-up");
    EXPECT_EQ(supervisor.find("a"), nullptr);
}

TEST_F(SupervisorTest, RestartsOutsideTheWindowAreForgotten)
{
    Supervisor supervisor(loop, "root", options(), { child("a") });
    supervisor.start();
    for (int i = 0; i < 20; ++i) {
        failChild(supervisor, "a");
        now += 2s;
    }
    EXPECT_EQ(starts, 21);
}

// Fails when one failing child uses up the restarts of another.
TEST_F(SupervisorTest, LimitIsPerChild)
{
    Supervisor supervisor(loop, "root", options(), { child("a"), child("b") });
    supervisor.start();
    for (int i = 0; i < 5; ++i) {
        failChild(supervisor, "a");
        failChild(supervisor, "b");
    }
    EXPECT_EQ(starts, 12);
}

// Fails when an outer supervisor does not hear of and restart an inner one.
TEST_F(SupervisorTest, OuterSupervisorRestartsTheInnerOne)
{
    std::vector<std::string> outerEvents;
    SupervisorOptions outerOptions = options();
    outerOptions.onChildEvent
        = [&](const ChildEvent& event) { outerEvents.push_back(event.child + " " + std::string(toText(event.kind))); };
    SupervisorOptions innerOptions = options();
    innerOptions.maximumRestarts = 0;
    auto create = [&, innerOptions] {
        return std::make_unique<Supervisor>(loop, "inner", innerOptions, std::vector { child("a") });
    };
    Supervisor outer(loop, "outer", outerOptions, { { .name = "inner", .create = create } });
    outer.start();
    auto* inner = static_cast<Supervisor*>(outer.find("inner"));
    static_cast<FailingTask*>(inner->find("a"))->trigger();
    EXPECT_TRUE(loop.runUntil([&] { return outerEvents.size() == 3; }, limit));
    EXPECT_EQ(outerEvents, (std::vector<std::string> { "inner started", "inner failed", "inner restarted" }));
    EXPECT_EQ(starts, 2);
}

// Fails when an exception from create or start is not counted as a failure.
TEST_F(SupervisorTest, FailureToStartIsAFailure)
{
    int attempts = 0;
    auto create = [&]() -> std::unique_ptr<Task> {
        ++attempts;
        throw std::runtime_error("no socket");
    };
    Supervisor supervisor(loop, "root", options(), { { .name = "a", .create = create } });
    supervisor.start();
    EXPECT_THROW(loop.runUntil([] { return false; }, limit), RestartLimitExceeded);
    EXPECT_EQ(attempts, 6);
}

TEST_F(SupervisorTest, FinishedChildIsNotRestarted)
{
    Supervisor supervisor(loop, "root", options(), { child("a") });
    supervisor.start();
    static_cast<FailingTask*>(supervisor.find("a"))->finishNow();
    EXPECT_TRUE(loop.runUntil([&] { return events.size() == 2; }, limit));
    EXPECT_EQ(events.back(), "a finished");
    EXPECT_EQ(starts, 1);
}

TEST_F(SupervisorTest, StopsChildrenInReverseOrder)
{
    Supervisor supervisor(loop, "root", options(), { child("a"), child("b") });
    supervisor.start();
    supervisor.stop();
    EXPECT_EQ(events, (std::vector<std::string> { "a started", "b started", "b stopped", "a stopped" }));
}
