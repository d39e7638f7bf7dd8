// Guards against the state of a replaced target that outlives it.
#include "Node/LocalTarget.h"

#include "Http/EventPointers.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace Berylport;

namespace {

class LocalTargetTest : public testing::Test {
protected:
    LocalTargetTest()
    {
        m_target.announcement = TargetAnnouncement { .service = m_target.service, .slots = 9, .instance = "i-1" };
        m_target.areDeparturesKnown = true;
    }

    EventBasePointer m_base { makeEventBase() };
    TargetSection m_settings;
    LocalTarget m_target { m_base.get(), NodeId { 1 }, ServiceName("slotdesk"), m_settings, Instant() };
};

} // namespace

// A client drops the results of its requests when it is replaced, so the result of a probe never arrived.
TEST_F(LocalTargetTest, AReplacedTargetIsProbedAgain)
{
    m_target.isProbing = true;
    m_target.connect({ .address = "127.0.0.1", .port = 1 }, false);
    EXPECT_FALSE(m_target.isProbing);
}

TEST_F(LocalTargetTest, ATargetIsNotUsedBeforeItsFirstAnswer)
{
    m_target.firstAnswerDeadline = Instant(std::chrono::seconds(1));
    EXPECT_EQ(m_target.effectiveState(), TargetState::Starting);
    m_target.announcement->state = TargetState::Draining;
    EXPECT_EQ(m_target.effectiveState(), TargetState::Draining);
    m_target.announcement->state = TargetState::Ready;
    m_target.firstAnswerDeadline.reset();
    EXPECT_EQ(m_target.effectiveState(), TargetState::Ready);
}
