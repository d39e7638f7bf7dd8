// Guards against targets that get more requests than the limit that they name.
#include "Admission/RequestLimiter.h"

#include "Base/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

const Instant begin = instantFromMicroseconds(1'000'000);

RequestLimiter makeLimited(double limit, Instant now = begin)
{
    RequestLimiter limiter;
    limiter.recordAnswer(limit, now, now);
    return limiter;
}

} // namespace

RC_GTEST_PROP(RequestLimiter, NoSpanHasMoreStartsThanTheLimitAndOneBurst, (uint32_t seed))
{
    Random random(seed);
    double limit = 0.2 + random.unit() * 40;
    Duration span = 100ms + Duration(static_cast<int64_t>(random.below(8'000'000)));
    double seconds = std::chrono::duration<double>(span).count();
    RequestLimiter limiter = makeLimited(limit);
    std::deque<Instant> starts;
    Instant now = begin;
    for (int n = 0; n < 400; ++n) {
        now += Duration(static_cast<int64_t>(random.below(random.chance(0.02) ? 3'000'000 : 60'000)));
        if (!limiter.mayStart(now))
            continue;
        limiter.recordStart(now);
        if (random.chance(0.1)) {
            limiter.revokeStart(now);
            continue;
        }
        starts.push_back(now);
        while (now - starts.front() > span)
            starts.pop_front();
        RC_ASSERT(static_cast<double>(starts.size()) <= limit * seconds + std::max(1.0, limit / 2) + 1e-3);
    }
}

RC_GTEST_PROP(RequestLimiter, AStartIsPossibleWhenTheAnnouncedWaitIsOver, (uint32_t seed))
{
    Random random(seed);
    RequestLimiter limiter = makeLimited(0.01 + random.unit() * 200);
    Instant now = begin;
    for (int n = 0; n < 200; ++n) {
        now += limiter.waitFor(1, now);
        RC_ASSERT(limiter.mayStart(now));
        // Both are rounded up to microseconds, from different times.
        RC_ASSERT(limiter.nextStartAt() <= now + 1us);
        limiter.recordStart(now);
        now += Duration(static_cast<int64_t>(random.below(5'000)));
    }
}

TEST(RequestLimiter, WithoutALimitNothingWaits)
{
    RequestLimiter limiter;
    for (int n = 0; n < 1000; ++n)
        limiter.recordStart(begin);
    EXPECT_TRUE(limiter.mayStart(begin));
    EXPECT_EQ(limiter.waitFor(1000, begin), 0ms);
    EXPECT_EQ(limiter.interval(), 0ms);
}

TEST(RequestLimiter, ALimitOfZeroLetsNothingStart)
{
    RequestLimiter limiter = makeLimited(0);
    limiter.recordStart(begin);
    EXPECT_FALSE(limiter.mayStart(begin + 24h));
    EXPECT_EQ(limiter.waitFor(1, begin + 24h), 1h);
    EXPECT_EQ(limiter.interval(), 1h);
}

TEST(RequestLimiter, AnOvertakenAnswerDoesNotEndTheLimit)
{
    RequestLimiter limiter;
    EXPECT_TRUE(limiter.recordAnswer(5.7, begin + 90ms, begin + 100ms));
    EXPECT_FALSE(limiter.recordAnswer(std::nullopt, begin, begin + 200ms));
    EXPECT_EQ(limiter.limit(), 5.7);
    EXPECT_TRUE(limiter.recordAnswer(std::nullopt, begin + 100ms, begin + 300ms));
    EXPECT_EQ(limiter.limit(), std::nullopt);
}

// Probes do not wait for the limit; a long series of them must not block calls for long afterwards.
TEST(RequestLimiter, TheDebtOfStartsThatCannotWaitIsBounded)
{
    RequestLimiter limiter = makeLimited(2);
    for (int n = 0; n < 100; ++n)
        limiter.recordStart(begin);
    EXPECT_EQ(limiter.waitFor(1, begin), 1s);
}
