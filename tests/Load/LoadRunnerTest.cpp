// Guards the sender against a real stand-in target: latency from the scheduled time, and a record for every call.
#include "Load/LoadRunner.h"

#include "Target/StandInTarget.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

class LoadRunnerTest : public testing::Test {
protected:
    LoadRunner makeRunner(const std::string& path, std::vector<Duration> arrivals, uint16_t slots = 10)
    {
        m_target = std::make_unique<StandInTarget>(m_base.get(), StandInTargetOptions { .slots = slots });
        LoadOptions options { .endpoints = { *m_target->listen() }, .isDirect = true, .service = "s", .path = path };
        return { m_base.get(), options, std::move(arrivals) };
    }

    EventBasePointer m_base { makeEventBase() };
    std::unique_ptr<StandInTarget> m_target;
};

} // namespace

// Fails when a call is not sent, sent twice, or left without a record.
TEST_F(LoadRunnerTest, SendsEachCallOnce)
{
    std::vector<Duration> arrivals;
    for (int n = 0; n < 100; ++n)
        arrivals.emplace_back(n * 1ms);
    auto runner = makeRunner("/", arrivals);
    runner.run();
    ASSERT_EQ(runner.records().size(), 100u);
    for (auto& it : runner.records()) {
        EXPECT_EQ(it.outcome, CallOutcome::Run);
        EXPECT_EQ(it.status, 200);
    }
    EXPECT_EQ(m_target->totalExecutions(), 100u);
    EXPECT_EQ(m_target->executionCount("load-99"), 1u);
}

// Fails when a call waits for the answer to the one before (coordinated omission): five calls at the same time at a
// target with one slot wait for one another, which the latency must show.
TEST_F(LoadRunnerTest, LatencyIncludesWaiting)
{
    auto runner = makeRunner("/?delay=50", std::vector<Duration>(5, 0ms), 1);
    runner.run();
    Duration maximum {};
    for (auto& it : runner.records()) {
        EXPECT_GE(it.latency, 50ms);
        maximum = std::max(maximum, it.latency);
    }
    EXPECT_GE(maximum, 250ms);
}

// Fails when a refused connection is not reported as a transport error.
TEST_F(LoadRunnerTest, ReportsTransportErrors)
{
    auto endpoint = *StandInTarget(m_base.get(), {}).listen();
    LoadRunner runner(m_base.get(), { .endpoints = { endpoint }, .service = "s" }, { 0ms });
    runner.run();
    EXPECT_EQ(runner.records()[0].outcome, CallOutcome::TransportError);
    EXPECT_EQ(runner.records()[0].error, "connect-failed");
}

// Fails when an answer without an outcome through a node counts as run.
TEST_F(LoadRunnerTest, AnswerOfANodeNeedsAnOutcome)
{
    StandInTarget target(m_base.get(), {});
    LoadRunner runner(m_base.get(), { .endpoints = { *target.listen() }, .service = "s" }, { 0ms });
    runner.run();
    EXPECT_EQ(runner.records()[0].outcome, CallOutcome::Unstated);
}
