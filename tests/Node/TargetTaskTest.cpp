// Guards against calls that are started at, or remain with, a target process that is gone.
#include "TargetTaskFixture.h"

using namespace Berylport;

// Waiting calls were started on the connections of the silent process and never ended, so they held their slots for
// ever.
TEST_F(TargetTaskTest, ARestartAfterASilentCrashFreesAllSlots)
{
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
