// Guards against cold targets that get more requests per second than their service tolerates, summed over all senders.
#include "Admission/AdmissionHelper.h"

#include "Base/Random.h"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

const Instant begin = instantFromMicroseconds(10'000'000);

ColdLimiter makeCold(double rate, Duration coldFor, Instant now = begin)
{
    ColdLimiter limiter;
    limiter.setBound(rate, 3s);
    limiter.setColdFor(coldFor, now);
    return limiter;
}

// Most of the given times that lie within one second.
size_t largestSecond(const std::vector<Instant>& starts)
{
    size_t largest = 0;
    size_t first = 0;
    for (size_t n = 0; n < starts.size(); ++n) {
        while (starts[n] - starts[first] >= 1s)
            ++first;
        largest = std::max(largest, n - first + 1);
    }
    return largest;
}

} // namespace

// The target gets cold and warm at any moment; while it is cold, the second before counts too.
RC_GTEST_PROP(ColdLimiter, NoSecondOfAColdTargetHasMoreStartsThanTolerated, (uint32_t seed))
{
    Random random(seed);
    auto rate = static_cast<double>(1 + random.below(30));
    ColdLimiter limiter = makeCold(rate, 0s);
    std::deque<Instant> starts;
    Instant now = begin;
    for (int n = 0; n < 500; ++n) {
        now += Duration(static_cast<int64_t>(random.below(random.chance(0.02) ? 2'000'000 : 50'000)));
        if (random.chance(0.05))
            limiter.setColdFor(Duration(static_cast<int64_t>(random.below(4'000'000))), now);
        if (!limiter.mayStart(now))
            continue;
        limiter.recordStart(now);
        if (random.chance(0.1)) {
            limiter.revokeStart(now);
            continue;
        }
        starts.push_back(now);
        while (now - starts.front() >= 1s)
            starts.pop_front();
        if (limiter.isInForce(now))
            RC_ASSERT(static_cast<double>(starts.size()) <= rate);
    }
}

RC_GTEST_PROP(ColdLimiter, AsManyCallsMayStartAsTheAnnouncedWaitPromises, (uint32_t seed))
{
    Random random(seed);
    ColdLimiter limiter = makeCold(0.3 + random.unit() * 30, 20s);
    Instant now = begin;
    for (int n = 0; n < 60; ++n) {
        size_t calls = 1 + random.below(40);
        Instant due = now + limiter.waitFor(calls, now);
        ColdLimiter copy = limiter;
        size_t started = 0;
        for (Instant at = now; started < calls; ++started) {
            at = std::max(copy.nextStartAt(), at);
            if (at > due)
                break;
            RC_ASSERT(copy.mayStart(at));
            copy.recordStart(at);
        }
        RC_ASSERT(started == calls);
        now += Duration(static_cast<int64_t>(random.below(300'000)));
        if (limiter.mayStart(now))
            limiter.recordStart(now);
    }
}

TEST(ColdLimiter, WithoutABoundNothingWaits)
{
    ColdLimiter limiter = makeCold(0, 60s);
    limiter.assumeCold(begin);
    for (int n = 0; n < 1000; ++n)
        limiter.recordStart(begin);
    EXPECT_TRUE(limiter.mayStart(begin));
    EXPECT_EQ(limiter.waitFor(1000, begin), 0ms);
    EXPECT_EQ(limiter.interval(begin), 0ms);
}

// The bound arrives with the configuration, mostly after the target has announced itself.
TEST(ColdLimiter, ATargetCountsAsColdUntilItsHealthAnswers)
{
    ColdLimiter limiter;
    limiter.assumeCold(begin);
    limiter.setBound(14, 3s);
    EXPECT_TRUE(limiter.isInForce(begin + 2999ms));
    EXPECT_FALSE(limiter.isInForce(begin + 3s));
    limiter.setColdFor(0s, begin + 100ms);
    EXPECT_FALSE(limiter.isInForce(begin + 100ms));
    limiter.setBound(14, 5s);
    EXPECT_FALSE(limiter.isInForce(begin + 100ms));
}

// Two processes of one node, a second apart, must not start twice the bound in one second.
TEST(ColdLimiter, ARestartedNodeLeavesRoomForTheStartsOfThePreviousProcess)
{
    ColdLimiter limiter(begin);
    limiter.assumeCold(begin);
    limiter.setBound(14, 3s);
    size_t starts = 0;
    for (; starts < 100 && limiter.mayStart(begin + 10ms); ++starts)
        limiter.recordStart(begin + 10ms);
    EXPECT_EQ(starts, 7u);
    EXPECT_FALSE(limiter.mayStart(begin + 999ms));
    EXPECT_TRUE(limiter.mayStart(begin + 1s));
}

TEST(ColdLimiter, AttemptsThatDidNotReachTheTargetDoNotCount)
{
    ColdLimiter limiter = makeCold(2, 10s);
    limiter.recordStart(begin);
    limiter.recordStart(begin + 1ms);
    EXPECT_FALSE(limiter.mayStart(begin + 2ms));
    limiter.revokeStart(begin + 1ms);
    EXPECT_TRUE(limiter.mayStart(begin + 2ms));
}

namespace {

constexpr double boundPerSecond = 10;

// Offers calls at five times the bound for two seconds, half of it urgent, to a target that becomes cold after the
// given time. Returns the times of the starts.
struct ColdRun {
    std::vector<Instant> starts;
    size_t replies { 0 };
    size_t urgentStarts { 0 };
    size_t calls { 0 };
};

ColdRun runCold(Duration coldAfter, bool hasBound)
{
    AdmissionBench bench({ .slots = 20 });
    bench.now = begin;
    if (hasBound)
        bench.controller->coldLimiter().setBound(boundPerSecond, 3s);
    ColdRun run;
    std::vector<std::pair<Instant, AttemptId>> running;
    auto collect = [&] {
        for (auto& id : startsIn(bench.actions)) {
            run.starts.push_back(bench.now);
            running.emplace_back(bench.now + 100ms, id);
            run.urgentStarts += id.call.sequence % 2;
        }
        run.replies += refusalsIn(bench.actions).size() + repliesIn<CallAnswered>(bench.actions).size();
    };
    for (int n = 0; n < 400; ++n) {
        if (n * 10ms == coldAfter)
            bench.controller->coldLimiter().setColdFor(10s, bench.now);
        bench.advance(10ms);
        collect();
        while (!running.empty() && running.front().first <= bench.now) {
            AttemptId id = running.front().second;
            running.erase(running.begin());
            bench.answer(id);
            collect();
        }
        if (n >= 200 || n % 2)
            continue;
        bool isUrgent = ++run.calls % 2;
        bench.offer(
            attemptOf(run.calls), { .priority = isUrgent ? Priority::Critical : Priority::Normal, .timeout = 800ms });
        collect();
    }
    return run;
}

} // namespace

TEST(ColdTarget, GetsNoMoreStartsThanItToleratesAndLosesNoCall)
{
    ColdRun run = runCold(0ms, true);
    EXPECT_LE(largestSecond(run.starts), static_cast<size_t>(boundPerSecond));
    EXPECT_EQ(run.replies, run.calls);
    // The urgent half does not fill the bound's two seconds and the time that calls may wait by itself.
    EXPECT_GE(run.urgentStarts * 10, run.starts.size() * 7);
    EXPECT_GE(run.starts.size(), 20u);
}

TEST(ColdTarget, WithoutTheBoundATargetIsOverrun)
{
    ColdRun run = runCold(0ms, false);
    EXPECT_GT(largestSecond(run.starts), 2 * static_cast<size_t>(boundPerSecond));
}

TEST(ColdTarget, TurnsColdUnderLoad)
{
    ColdRun run = runCold(1s, true);
    std::vector<Instant> later;
    std::ranges::copy_if(run.starts, std::back_inserter(later), [](Instant it) { return it > begin + 1010ms; });
    EXPECT_LE(largestSecond(later), static_cast<size_t>(boundPerSecond));
    EXPECT_EQ(run.replies, run.calls);
}

// Senders place calls by what the replies tell.
TEST(ColdTarget, RepliesTellTheWait)
{
    AdmissionBench bench({ .slots = 20 });
    bench.controller->coldLimiter().setBound(2, 3s);
    bench.controller->coldLimiter().setColdFor(10s, bench.now);
    EXPECT_EQ(bench.controller->load(bench.now).startWait, 0ms);
    EXPECT_EQ(bench.controller->load(bench.now).startInterval, 500ms);
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2));
    EXPECT_EQ(bench.controller->load(bench.now).startWait, 1s);
    bench.advance(10s);
    EXPECT_EQ(bench.controller->load(bench.now).startInterval, 0ms);
}
