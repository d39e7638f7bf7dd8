// Guards the open-loop schedule: a wrong rate or a repeated gap would make every latency figure meaningless.
#include "Load/ArrivalSchedule.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

std::vector<Duration> draw(const ArrivalOptions& options, uint64_t seed = 1)
{
    Random random(seed);
    return makeArrivals(options, random);
}

size_t countBetween(const std::vector<Duration>& arrivals, Duration begin, Duration end)
{
    return std::count_if(arrivals.begin(), arrivals.end(), [=](Duration it) { return it >= begin && it < end; });
}

} // namespace

// Fails when the rate is wrong, or when arrivals are unordered or outside of the load's duration.
TEST(ArrivalSchedule, HasTheRate)
{
    auto arrivals = draw({ .rate = 1000, .duration = 100s });
    // Five standard deviations of a Poisson count of 100,000.
    EXPECT_NEAR(arrivals.size(), 100'000, 5 * std::sqrt(100'000));
    EXPECT_TRUE(std::is_sorted(arrivals.begin(), arrivals.end()));
    EXPECT_GE(arrivals.front(), Duration::zero());
    EXPECT_LT(arrivals.back(), 100s);
}

// Fails for evenly spaced arrivals: the gaps of a Poisson process have a standard deviation equal to their mean.
TEST(ArrivalSchedule, HasExponentialGaps)
{
    auto arrivals = draw({ .rate = 100, .duration = 1000s });
    double sum = 0;
    double squares = 0;
    for (size_t n = 1; n < arrivals.size(); ++n) {
        auto gap = static_cast<double>((arrivals[n] - arrivals[n - 1]).count());
        sum += gap;
        squares += gap * gap;
    }
    double count = static_cast<double>(arrivals.size() - 1);
    double mean = sum / count;
    EXPECT_NEAR(mean, 10'000, 200);
    EXPECT_NEAR(std::sqrt(squares / count - mean * mean), mean, 0.03 * mean);
}

// Fails when two runs of one seed differ, so that a run could not be repeated.
TEST(ArrivalSchedule, RepeatsWithTheSeed)
{
    ArrivalOptions options { .rate = 500, .duration = 2s };
    EXPECT_EQ(draw(options, 7), draw(options, 7));
    EXPECT_NE(draw(options, 7), draw(options, 8));
}

// Fails when a burst has another place, length or height than its options say.
TEST(ArrivalSchedule, RisesInBursts)
{
    ArrivalOptions options { .rate = 1000, .duration = 100s, .burstFactor = 10, .burstLength = 100ms };
    EXPECT_EQ(arrivalRate(options, 499'999us), 1000);
    EXPECT_EQ(arrivalRate(options, 500ms), 10'000);
    EXPECT_EQ(arrivalRate(options, 599'999us), 10'000);
    EXPECT_EQ(arrivalRate(options, 600ms), 1000);
    EXPECT_EQ(arrivalRate(options, 1500ms), 10'000);
    auto arrivals = draw(options);
    size_t inBursts = 0;
    for (Duration second {}; second < options.duration; second += 1s)
        inBursts += countBetween(arrivals, second + 500ms, second + 600ms);
    EXPECT_NEAR(inBursts, 100'000, 5 * std::sqrt(100'000));
    EXPECT_NEAR(arrivals.size() - inBursts, 90'000, 5 * std::sqrt(90'000));
}

// Fails when a burst that reaches into the next second is cut off, or seen before the first one has begun.
TEST(ArrivalSchedule, BurstReachesIntoTheNextSecond)
{
    ArrivalOptions options { .rate = 100, .duration = 20s, .burstFactor = 5, .burstLength = 800ms };
    EXPECT_EQ(arrivalRate(options, 100ms), 100);
    EXPECT_EQ(arrivalRate(options, 1299ms), 500);
    EXPECT_EQ(arrivalRate(options, 1300ms), 100);
}

// Fails when a rate of zero outside or inside of bursts hangs the schedule.
TEST(ArrivalSchedule, EndsWithoutArrivalsInBursts)
{
    ArrivalOptions options { .rate = 1000, .duration = 2s, .burstFactor = 0, .burstLength = 500ms };
    auto arrivals = draw(options);
    EXPECT_EQ(countBetween(arrivals, 500ms, 1s), 0u);
    EXPECT_GT(countBetween(arrivals, 1s, 1500ms), 0u);
}
