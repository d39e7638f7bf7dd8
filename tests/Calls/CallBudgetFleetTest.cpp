// Guards against nodes that each keep to their own budget and together repeat more than the service bears.
#include "Calls/Calls.h"

#include <gtest/gtest.h>

#include <vector>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

struct FleetShape {
    size_t nodes { 12 };
    double callsPerNodeSecond { 10 };
    uint32_t extra { 60 };
    double allowedRatio { 0.2 };
};

// Every node retries whenever its budget lets it, after a long calm in which it has saved up; returns the most extra
// attempts in any window, less the share that the calls of that window allow.
double worstExcess(const FleetShape& shape)
{
    constexpr Duration step = 100ms;
    constexpr size_t windowSteps = 100;
    FleetBudget fleet { .share = shape.allowedRatio / 2, .extra = shape.extra, .window = 10s };
    std::vector<CallBudget> budgets(shape.nodes, CallBudget(CallBudget::partOf(fleet, shape.nodes)));
    std::vector<double> taken;
    Instant now = instantFromMicroseconds(1);
    double due = 0;
    for (size_t n = 0; n < 60 * windowSteps / 10; ++n) {
        now += step;
        due += shape.callsPerNodeSecond * 0.1;
        double sum = 0;
        for (; due >= 1; due -= 1) {
            for (auto& it : budgets)
                it.noteCall();
        }
        bool isTrouble = n > 200;
        for (auto& it : budgets) {
            while (isTrouble && it.tryTake(now))
                ++sum;
        }
        taken.push_back(sum);
    }
    double allowed = shape.allowedRatio * shape.callsPerNodeSecond * 10 * static_cast<double>(shape.nodes);
    double worst = 0;
    for (size_t first = 0; first + windowSteps <= taken.size(); ++first) {
        double sum = 0;
        for (size_t n = first; n < first + windowSteps; ++n)
            sum += taken[n];
        worst = std::max(worst, sum - allowed);
    }
    return worst;
}

} // namespace

TEST(FleetBudget, AllNodesTogetherStayBelowTheBoundInEveryWindow)
{
    EXPECT_LE(worstExcess({}), 60);
    EXPECT_LE(worstExcess({ .callsPerNodeSecond = 0.5 }), 60);
    EXPECT_LE(worstExcess({ .nodes = 77, .callsPerNodeSecond = 10, .extra = 194 }), 194);
    EXPECT_LE(worstExcess({ .nodes = 77, .callsPerNodeSecond = 0.2, .extra = 194 }), 194);
}

// A budget of each node's own would not: the defaults of twelve nodes at rest add up to six times the bound.
TEST(FleetBudget, BudgetsThatAreNotSharedAddUp)
{
    CallBudget own { CallBudget::Options {} };
    int taken = 0;
    for (Instant now = instantFromMicroseconds(1); now < instantFromMicroseconds(10'000'000); now += 100ms)
        taken += own.tryTake(now);
    EXPECT_GT(12 * taken, 60);
}
