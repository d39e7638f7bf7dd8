// Guards against running so many calls at once that fewer finish, and against a limit that noise lowers.
#include "Admission/Admission.h"

#include <gtest/gtest.h>

#include <cmath>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

struct TargetShape {
    uint16_t slots { 9 };
    // Share of the slots from which work slows down, and the factor at all slots.
    double kneeShare { 0.8 };
    double kneeFactor { 1.7 };
};

double slowdownAt(const TargetShape& shape, double running)
{
    double knee = shape.kneeShare * shape.slots;
    double beyond = std::max(0.0, running - knee) / (shape.slots - knee);
    return 1 + (shape.kneeFactor - 1) * beyond;
}

// Feeds runs at all levels up to the limit, with the spread of real work.
uint16_t learn(const TargetShape& shape, uint64_t seed, Duration length = 20s)
{
    Random random(seed);
    ConcurrencyLimit limit;
    limit.setSlots(shape.slots);
    Instant now = instantFromMicroseconds(1);
    for (Duration passed {}; passed < length; passed += 10ms) {
        now += 10ms;
        auto level = 1 + random.below(limit.limit());
        double spread = std::exp(0.3 * (random.unit() + random.unit() + random.unit() - 1.5));
        double work = 160'000 * spread * slowdownAt(shape, static_cast<double>(level));
        limit.noteFinished("browse", Duration(std::llround(work)), static_cast<double>(level), now);
    }
    return limit.limit();
}

double rateAt(const TargetShape& shape, uint16_t running) { return running / slowdownAt(shape, running); }

} // namespace

TEST(ConcurrencyLimit, FindsTheLevelThatFinishesMost)
{
    TargetShape shape;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        uint16_t limit = learn(shape, seed);
        // The best of nine slots is seven at full speed; one level either side costs at most a seventh.
        EXPECT_GT(rateAt(shape, limit), 0.85 * rateAt(shape, 7)) << "limit " << limit << ", seed " << seed;
        EXPECT_GT(rateAt(shape, limit), rateAt(shape, 9)) << "limit " << limit << ", seed " << seed;
    }
}

TEST(ConcurrencyLimit, ATargetWithoutAKneeKeepsNearlyAllItsSlots)
{
    TargetShape even { .kneeShare = 0.9, .kneeFactor = 1 };
    for (uint64_t seed = 1; seed <= 10; ++seed)
        EXPECT_GE(learn(even, seed), 7) << "seed " << seed;
}

TEST(ConcurrencyLimit, BeginsAtTheSlotsAndAnewForAnotherTarget)
{
    ConcurrencyLimit limit;
    limit.setSlots(9);
    EXPECT_EQ(limit.limit(), 9);
    EXPECT_EQ(limit.baseTime("unknown"), Duration::zero());
    limit.setSlots(4);
    EXPECT_EQ(limit.limit(), 4);
}

// Guards against an estimate that shrinks to nothing during a long overload, in which no call runs at full speed.
TEST(ConcurrencyLimit, ALongOverloadLeavesTheTimesOfCallsKnown)
{
    ConcurrencyLimit limit;
    limit.setSlots(10);
    Random random(20261204);
    Instant now = instantFromMicroseconds(0);
    auto finish = [&](double concurrency) {
        now += 1ms;
        limit.noteFinished("route", Duration(static_cast<int64_t>(random.exponential(10'000)) + 1), concurrency, now);
    };
    for (int n = 0; n < 100; ++n)
        finish(3);
    for (int n = 0; n < 50'000; ++n)
        finish(10);
    double expected = static_cast<double>(limit.baseTime("route").count()) * limit.slowdownAtLimit(now);
    EXPECT_GT(expected, 5'000);
    EXPECT_LT(expected, 20'000);
}
