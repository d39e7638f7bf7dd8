// Guards against admission that exceeds a target's request limit, or holds calls that the limit lets nobody serve.
#include "Admission/AdmissionHelper.h"

#include <deque>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Duration work = 100ms;

class RequestLimitTest : public testing::Test {
protected:
    RequestLimitTest()
        : m_bench({ .slots = 9 }, { .name = testService(), .kind = RequestKind::Idempotent })
    {
        for (uint64_t n = 1; n <= 10; ++n) {
            m_bench.offer(attemptOf(n));
            m_bench.advance(work);
            m_bench.answer(attemptOf(n));
        }
    }

    void setLimit(std::optional<double> limit)
    {
        m_bench.run([&] { m_bench.controller->recordRequestLimit(m_bench.now, limit, m_bench.now, m_bench.actions); });
    }
    AdmissionActions& offer(uint64_t call, Duration objective = 500ms, Priority priority = Priority::Normal,
        std::optional<double> meanLoad = std::nullopt)
    {
        auto request
            = makeRequest(attemptOf(call), m_bench.now + 2s, { .kind = RequestKind::Idempotent, .priority = priority });
        request.objective = m_bench.now + objective;
        request.mayHandOn = meanLoad.has_value();
        request.meanLoad = meanLoad.value_or(0);
        return m_bench.run(
            [&] { m_bench.controller->offer(m_bench.now, firstLink, std::move(request), m_bench.actions); });
    }
    // Takes the requests that may start at once.
    void spendBurst()
    {
        while (m_bench.controller->requestLimiter().mayStart(m_bench.now)) {
            offer(++m_lastCall);
            m_bench.answer(attemptOf(m_lastCall));
        }
    }

    AdmissionBench m_bench;
    uint64_t m_lastCall { 1000 };
};

} // namespace

// The users' rule: in any 4 s at most one and a half times what the limit allows, and five requests.
TEST_F(RequestLimitTest, ATargetGetsNoMoreThanTheRequestRateItNames)
{
    constexpr double limit = 5.7;
    setLimit(limit);
    std::deque<std::pair<Instant, AttemptId>> running;
    std::deque<Instant> starts;
    size_t total = 0;
    auto take = [&](const AdmissionActions& actions) {
        for (auto& id : startsIn(actions)) {
            starts.push_back(m_bench.now);
            running.emplace_back(m_bench.now + work, id);
            ++total;
        }
    };
    // 40 offers a second for 20 s.
    for (uint64_t n = 0; n < 800; ++n) {
        take(m_bench.advance(25ms));
        while (!running.empty() && running.front().first <= m_bench.now) {
            auto id = running.front().second;
            running.pop_front();
            take(m_bench.answer(id));
        }
        take(offer(2000 + n));
        while (!starts.empty() && m_bench.now - starts.front() > 4s)
            starts.pop_front();
        ASSERT_LE(static_cast<double>(starts.size()), 1.5 * 4 * limit + 5) << "at offer " << n;
    }
    // What the target takes is used.
    EXPECT_GE(static_cast<double>(total), 0.9 * 20 * limit);
}

TEST_F(RequestLimitTest, WhatExceedsTheLimitIsRefusedAtOnceWithATimeToReturn)
{
    setLimit(2);
    spendBurst();
    Duration last {};
    for (uint64_t n = 1; n <= 4; ++n) {
        auto refused = repliesIn<CallRefused>(offer(n + 100, 300ms));
        ASSERT_EQ(refused.size(), 1u);
        EXPECT_GE(refused[0].retryAfter, std::min(last + 500ms, Duration(2s)));
        last = refused[0].retryAfter;
    }
}

TEST_F(RequestLimitTest, ACallWithoutObjectiveIsNotHeldUntilItsDeadline)
{
    setLimit(0.1);
    spendBurst();
    auto request = makeRequest(attemptOf(200), m_bench.now + 2s);
    m_bench.run([&] { m_bench.controller->offer(m_bench.now, firstLink, request, m_bench.actions); });
    EXPECT_EQ(refusalsIn(m_bench.actions), std::vector { RefusalReason::DeadlineTooNear });
}

TEST_F(RequestLimitTest, AQueuedCallStartsWhenTheLimitLetsIt)
{
    setLimit(5);
    spendBurst();
    EXPECT_TRUE(offer(200).empty());
    auto wake = m_bench.controller->nextWake();
    ASSERT_TRUE(wake);
    EXPECT_LE(*wake - m_bench.now, 200ms);
    EXPECT_EQ(startsIn(m_bench.advance(*wake - m_bench.now)), std::vector { attemptOf(200) });
}

TEST_F(RequestLimitTest, UrgentCallsGetTheNextStart)
{
    setLimit(5);
    spendBurst();
    offer(200, 1500ms, Priority::Bulk);
    offer(201, 1500ms, Priority::Critical);
    EXPECT_EQ(startsIn(m_bench.advance(200ms)), std::vector { attemptOf(201) });
    EXPECT_EQ(startsIn(m_bench.advance(200ms)), std::vector { attemptOf(200) });
}

TEST_F(RequestLimitTest, CallsAreHandedOnOnlyWhileOthersHaveRoom)
{
    setLimit(5);
    spendBurst();
    EXPECT_EQ(refusalsIn(offer(200, 1500ms, Priority::Normal, 3)), std::vector { RefusalReason::BusyNow });
    EXPECT_TRUE(offer(201, 1500ms, Priority::Normal, 9).empty());
}

TEST_F(RequestLimitTest, WaitingCallsStartWhenTheLimitEnds)
{
    setLimit(1);
    spendBurst();
    offer(200, 1500ms);
    m_bench.now += 1ms;
    setLimit(std::nullopt);
    EXPECT_EQ(startsIn(m_bench.actions), std::vector { attemptOf(200) });
    EXPECT_EQ(m_bench.controller->load(m_bench.now).startInterval, 0ms);
}

TEST_F(RequestLimitTest, ARequestThatDidNotReachTheTargetDoesNotCount)
{
    setLimit(2);
    m_bench.advance(500ms);
    offer(200);
    m_bench.run([&] { m_bench.controller->targetNotReached(m_bench.now, attemptOf(200), m_bench.actions); });
    EXPECT_EQ(startsIn(offer(201)), std::vector { attemptOf(201) });
}

TEST_F(RequestLimitTest, AnotherProcessStartsWithoutTheLimit)
{
    setLimit(0);
    EXPECT_TRUE(startsIn(offer(200)).empty());
    m_bench.controller->resetRequestLimit();
    EXPECT_EQ(startsIn(offer(201)).size(), 1u);
}
