// Guards against health endpoints that mislead and against reads that come more often than agreed.
#include "Measure/Measure.h"

#include <gtest/gtest.h>

using namespace Berylport;

namespace {

constexpr Duration second = std::chrono::seconds(1);
const Instant start = instantFromMicroseconds(0);

TargetProbe makeLowered()
{
    TargetProbe probe({}, start);
    probe.noteCallFailed(start);
    probe.noteCallFailed(start);
    probe.noteHealth(HealthResult::Bad, start + second);
    return probe;
}

} // namespace

TEST(TargetProbe, ReadsEverySecondAndLessOftenWhenRefused)
{
    TargetProbe probe({}, start);
    EXPECT_TRUE(probe.isDue(start));
    probe.noteReadStarted(start);
    EXPECT_EQ(probe.nextRead(), start + second);
    for (int wait : { 2, 4, 8, 8 }) {
        probe.noteReadRefused(start);
        EXPECT_EQ(probe.nextRead(), start + wait * second);
    }
    probe.noteReadStarted(start + 8 * second);
    EXPECT_EQ(probe.nextRead(), start + 9 * second);
}

TEST(TargetProbe, BadHealthAloneChangesNothing)
{
    TargetProbe probe({}, start);
    probe.noteHealth(HealthResult::Bad, start);
    probe.noteHealth(HealthResult::Unreadable, start);
    EXPECT_EQ(probe.standing(), TargetStanding::Normal);
    probe.noteCallFailed(start);
    EXPECT_EQ(probe.standing(), TargetStanding::Normal);
    probe.noteCallFailed(start);
    EXPECT_EQ(probe.standing(), TargetStanding::Lowered);
}

TEST(TargetProbe, OldFailuresDoNotAgreeWithABadResult)
{
    TargetProbe probe({}, start);
    probe.noteCallFailed(start);
    probe.noteCallFailed(start);
    probe.noteHealth(HealthResult::Bad, start + 6 * second);
    EXPECT_EQ(probe.standing(), TargetStanding::Normal);
    EXPECT_EQ(makeLowered().standing(), TargetStanding::Lowered);
}

TEST(TargetProbe, OnlyCallsRaiseTheStandingAgain)
{
    TargetProbe probe = makeLowered();
    probe.noteHealth(HealthResult::Good, start + 2 * second);
    EXPECT_EQ(probe.standing(), TargetStanding::Lowered);
    for (int i = 0; i < 5; i++)
        probe.noteCallSucceeded(start + 3 * second);
    EXPECT_EQ(probe.standing(), TargetStanding::Normal);
}
