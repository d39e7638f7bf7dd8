// Guards against measurement that costs more than its budget at any load.
#include "Measure/Measure.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;

namespace {

constexpr Duration second = std::chrono::seconds(1);
constexpr Duration readCost = std::chrono::microseconds(50);
const Instant start = instantFromMicroseconds(0);

} // namespace

TEST(MeasureBudget, FloorGrantsTwoHundredBytesASecond)
{
    MeasureBudget budget({}, start);
    EXPECT_FALSE(budget.mayMeasure(100, readCost, start));
    EXPECT_TRUE(budget.mayMeasure(200, readCost, start + second));
    EXPECT_FALSE(budget.mayMeasure(1, readCost, start + second));
    EXPECT_EQ(budget.counters().taken, 1u);
    EXPECT_EQ(budget.counters().refused, 2u);
}

TEST(MeasureBudget, IdleTimeSavesUpOnlyTheBurst)
{
    MeasureBudget budget({}, start);
    Instant now = start + 3600 * second;
    EXPECT_FALSE(budget.mayMeasure(2'001, readCost, now));
    EXPECT_TRUE(budget.mayMeasure(2'000, readCost, now));
}

TEST(MeasureBudget, ProcessorTimeIsLimitedAsWell)
{
    MeasureBudget budget({}, start);
    EXPECT_FALSE(budget.mayMeasure(1, std::chrono::microseconds(5'001), start + second));
    EXPECT_TRUE(budget.mayMeasure(1, std::chrono::microseconds(5'000), start + second));
}

TEST(MeasureBudget, ExcessIsTakenFromLaterMeasurements)
{
    MeasureBudget budget({}, start);
    EXPECT_TRUE(budget.mayMeasure(100, readCost, start + second));
    budget.noteExcess(500, readCost, start + second);
    EXPECT_FALSE(budget.mayMeasure(100, readCost, start + 3 * second));
    EXPECT_TRUE(budget.mayMeasure(100, readCost, start + 4 * second));
}

// Holds through spikes: whatever the calls do, what was taken stays within floor, fraction and one burst.
RC_GTEST_PROP(MeasureBudget, NeverExceedsTheBudget, ())
{
    MeasureOptions options;
    MeasureBudget budget(options, start);
    Instant now = start;
    double callBytes = 0;
    for (auto gap : *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(0u, 300'000u))) {
        now += Duration(gap);
        auto bytes = *rc::gen::inRange(0u, 50'000u);
        budget.noteCallBytes(bytes, now);
        callBytes += bytes;
        while (budget.mayMeasure(*rc::gen::inRange(1u, 400u), Duration(*rc::gen::inRange(1, 400)), now)) { }
        double elapsed = static_cast<double>((now - start).count());
        // The larger of floor and fraction is granted in each window, so their sum is an upper bound.
        double granted = options.bytesFraction * callBytes + options.minimumBytesPerSecond * elapsed / 1e6;
        RC_ASSERT(static_cast<double>(budget.counters().bytesTaken) <= granted + 1);
        RC_ASSERT(static_cast<double>(budget.counters().cpuTaken.count()) <= options.cpuFraction * elapsed + 1);
    }
}
