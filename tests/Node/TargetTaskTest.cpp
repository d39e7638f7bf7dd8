// Guards against calls that are started at, or remain with, a target process that is gone or leaves.
#include "TargetTaskFixture.h"

using namespace Berylport;

// Waiting calls were started on the connections of the silent process and never ended, so they held their slots for
// ever.
TEST_F(TargetTaskTest, ARestartAfterASilentCrashFreesAllSlots)
{
    startNode();
    HeldTarget crashed(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, crashed)), 200);
    ASSERT_TRUE(waitUntilReady(m_service));
    offerCalls(m_service);
    ASSERT_TRUE(runUntil([&] { return crashed.arrived() == firstLimit(); }));

    HeldTarget restarted(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 900, restarted)), 200);
    EXPECT_TRUE(runUntil([&] { return m_replies.size() == offered; }));
    EXPECT_EQ(countReplies<CallLost>(), firstLimit());
    EXPECT_EQ(countReplies<CallRefused>(), offered - firstLimit());
    EXPECT_EQ(crashed.arrived(), firstLimit());

    ASSERT_TRUE(waitUntilReady(m_service));
    offerCalls(m_service);
    EXPECT_TRUE(runUntil([&] { return restarted.arrived() == firstLimit(); }));
}

// Calls that waited for a silent target were sent to its address, which had gone to a target of another service.
TEST_F(TargetTaskTest, WaitingCallsDoNotReachAnotherServiceAtTheSameAddress)
{
    startNode();
    HeldTarget address(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, address)), 200);
    ASSERT_TRUE(waitUntilReady(m_service));
    offerCalls(m_service);
    ASSERT_TRUE(runUntil([&] { return address.arrived() == firstLimit(); }));

    ASSERT_EQ(tell(makeAnnouncement(m_otherService, "i-2", 900, address)), 200);
    EXPECT_TRUE(runUntil([&] { return m_replies.size() == offered; }));
    EXPECT_EQ(countReplies<CallRefused>(), offered - firstLimit());
    EXPECT_EQ(address.arrived(), firstLimit());
}

// A delayed announcement reinstated a target whose departure only the killed process had acknowledged.
TEST_F(TargetTaskTest, ALateAnnouncementAfterARestartIsNotEnough)
{
    startNode(false, std::chrono::seconds(10));
    HeldTarget target(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 4)), 200);
    EXPECT_FALSE(becomesReady(m_service, std::chrono::milliseconds(600)));
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 5)), 200);
    EXPECT_TRUE(waitUntilReady(m_service));
}

// The store failed when the process started, so the departure may be missing from it.
TEST_F(TargetTaskTest, AfterAStoreFailureALateAnnouncementIsNotEnough)
{
    startNode(false);
    m_context.status.hasRowReadFailed = true;
    HeldTarget target(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 4)), 200);
    EXPECT_FALSE(becomesReady(m_service, std::chrono::milliseconds(600)));
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 5)), 200);
    EXPECT_TRUE(waitUntilReady(m_service));
}

TEST_F(TargetTaskTest, ATargetIsUsedAtOnceAfterARestartOfItsNode)
{
    startNode(false);
    HeldTarget target(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 4)), 200);
    EXPECT_TRUE(becomesReady(m_service, std::chrono::seconds(2)));
}

// An announcement of another writer displaced a sound target, and those of the target were refused from then on.
TEST_F(TargetTaskTest, AnAnnouncementOfAnUnknownServiceDoesNotDisplaceATarget)
{
    startNode();
    HeldTarget target(m_loop.base());
    ASSERT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 4)), 200);
    ASSERT_TRUE(waitUntilReady(m_service));
    EXPECT_EQ(tell(makeAnnouncement(ServiceName("no-such-service"), "i-1", 100, target, 1'000'000)), 409);
    EXPECT_EQ(tell(makeAnnouncement(m_service, "i-1", 100, target, 5)), 200);
    offerCalls(m_service);
    EXPECT_TRUE(runUntil([&] { return target.arrived() == firstLimit(); }));
}
