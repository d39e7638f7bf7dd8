// Guards against a zone that confirms a version which one of its serving members does not hold.
#include "Configuration/Configuration.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr NodeId self { 1 };
constexpr NodeId peer { 2 };
constexpr Instant start = instantFromMicroseconds(0);

class CoordinatorTest : public testing::Test {
protected:
    CoordinatorTest()
    {
        m_coordinator.start(start);
        m_coordinator.updateMembers(std::vector { self, peer }, start);
    }

    std::vector<CoordinatorAction> tick(Instant now)
    {
        std::vector<CoordinatorAction> actions;
        m_coordinator.tick(now, actions);
        return actions;
    }

    template <typename Action> std::optional<Action> find(Instant now)
    {
        for (auto& it : tick(now)) {
            if (auto* action = std::get_if<Action>(&it))
                return *action;
        }
        return std::nullopt;
    }

    ConfigurationCoordinator m_coordinator;
};

} // namespace

TEST_F(CoordinatorTest, ConfirmsOnlyWhatEveryMemberReported)
{
    m_coordinator.ownVersionChanged(self, 7);
    EXPECT_FALSE(find<WriteZoneConfirmation>(start));
    m_coordinator.memberReported(peer, 6);
    ASSERT_EQ(find<WriteZoneConfirmation>(start)->version, 6u);
    m_coordinator.confirmationWritten(6);
    EXPECT_FALSE(find<WriteZoneConfirmation>(start));
    m_coordinator.memberReported(peer, 7);
    EXPECT_EQ(find<WriteZoneConfirmation>(start)->version, 7u);
}

TEST_F(CoordinatorTest, DeadMemberHoldsAVersionUpUntilItHasStoppedServing)
{
    m_coordinator.ownVersionChanged(self, 7);
    m_coordinator.updateMembers(std::vector { self }, start);
    EXPECT_FALSE(find<WriteZoneConfirmation>(start + 4s));
    EXPECT_TRUE(find<WriteZoneConfirmation>(start + 5s));
}

TEST_F(CoordinatorTest, MemberThatLeftIsNotWaitedFor)
{
    m_coordinator.ownVersionChanged(self, 7);
    m_coordinator.memberLeft(peer);
    EXPECT_TRUE(find<WriteZoneConfirmation>(start));
}

TEST_F(CoordinatorTest, CutOffCoordinatorDoesNotConfirm)
{
    m_coordinator.ownVersionChanged(self, 7);
    m_coordinator.memberReported(peer, 7);
    m_coordinator.setCutOff(true);
    EXPECT_FALSE(find<WriteZoneConfirmation>(start));
    m_coordinator.setCutOff(false);
    EXPECT_TRUE(find<WriteZoneConfirmation>(start));
}

TEST_F(CoordinatorTest, LostConfirmationIsWrittenAgain)
{
    m_coordinator.ownVersionChanged(self, 7);
    m_coordinator.memberReported(peer, 7);
    EXPECT_TRUE(find<WriteZoneConfirmation>(start));
    m_coordinator.confirmationFailed();
    EXPECT_TRUE(find<WriteZoneConfirmation>(start));
}

TEST_F(CoordinatorTest, PollsTheHeadOnceAtATimeAndRemindsMembersBehind)
{
    EXPECT_TRUE(find<ReadHead>(start));
    EXPECT_FALSE(find<ReadHead>(start + 10s));
    m_coordinator.headRead(9);
    auto reminder = find<RemindMembers>(start + 11s);
    ASSERT_TRUE(reminder);
    EXPECT_EQ(reminder->version, 9u);
    EXPECT_EQ(reminder->members.size(), 2u);
}
