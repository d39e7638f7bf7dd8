// Guards against a late announcement that brings a target back which has left or was replaced.
#include "Node/AnnouncementOrder.h"
#include "Node/NodeRow.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = instantFromMicroseconds(1'000'000);

TargetAnnouncement makeAnnouncement(std::string instance, uint64_t startedAt, uint64_t sequence)
{
    return { .service = ServiceName("slotdesk"),
        .instance = std::move(instance),
        .startedAtMilliseconds = startedAt,
        .sequence = sequence };
}

} // namespace

TEST(AnnouncementOrder, AnOvertakenAnnouncementIsStale)
{
    AnnouncementOrder order;
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 4), start), AnnouncementNews::Current);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 3), start), AnnouncementNews::Stale);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 4), start), AnnouncementNews::Stale);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 5), start), AnnouncementNews::Current);
}

// A partition holds an announcement back; its sender has crashed and another target runs on the address.
TEST(AnnouncementOrder, TheCrashedTargetDoesNotDisplaceItsSuccessor)
{
    AnnouncementOrder order;
    order.judge(makeAnnouncement("i-1", 100, 40), start);
    EXPECT_EQ(order.judge(makeAnnouncement("i-2", 900, 1), start + 1s), AnnouncementNews::Current);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 41), start + 2s), AnnouncementNews::Stale);
    EXPECT_EQ(order.current()->instance, "i-2");
}

// The time of day may step back between two starts; the later one must not be refused for ever.
TEST(AnnouncementOrder, AStartWithAnEarlierClockIsTakenOnceTheOtherIsSilent)
{
    AnnouncementOrder order;
    order.judge(makeAnnouncement("i-1", 5000, 40), start);
    EXPECT_EQ(order.judge(makeAnnouncement("i-2", 3000, 1), start + 1s), AnnouncementNews::Stale);
    EXPECT_EQ(order.judge(makeAnnouncement("i-2", 3000, 3), start + 4s), AnnouncementNews::Current);
}

TEST(AnnouncementOrder, ARestartUnderTheSameIdBeginsAnew)
{
    AnnouncementOrder order;
    order.judge(makeAnnouncement("i-1", 100, 40), start);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 900, 1), start + 1s), AnnouncementNews::Current);
}

TEST(AnnouncementOrder, WhatHasLeftStaysAway)
{
    AnnouncementOrder order;
    order.judge(makeAnnouncement("i-1", 100, 4), start);
    EXPECT_EQ(order.withdraw("i-9"), std::nullopt);
    EXPECT_EQ(order.withdraw("i-1")->startedAtMilliseconds, 100u);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 5), start + 10s), AnnouncementNews::Departed);
    EXPECT_TRUE(order.hasDeparted("i-1"));
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 900, 1), start + 20s), AnnouncementNews::Current);
}

// The acknowledgement was given by an earlier process of this node.
TEST(AnnouncementOrder, ADepartureSurvivesARestartOfTheNode)
{
    NodeRow row { .node = NodeId { 5 }, .gossip = { .address = "10.1.0.4", .port = 7600 } };
    row.departed = TargetIncarnation { .instance = "i-1", .startedAtMilliseconds = 100 };
    auto read = decodeNodeRow(encodeNodeRow(row));
    ASSERT_EQ(read, row);
    AnnouncementOrder order;
    order.restoreDeparture(*read->departed);
    EXPECT_EQ(order.judge(makeAnnouncement("i-1", 100, 9), start), AnnouncementNews::Departed);
    EXPECT_EQ(order.judge(makeAnnouncement("i-2", 300, 1), start), AnnouncementNews::Current);
}

TEST(NodeRow, ForeignRowsAreNoNodes)
{
    NodeRow plain { .node = NodeId { 5 }, .gossip = { .address = "10.1.0.4", .port = 7600 } };
    EXPECT_EQ(decodeNodeRow(encodeNodeRow(plain)), plain);
    for (auto* text : { "", "x", "0000000000000005", "0000000000000005 nowhere", "zz 10.1.0.4:7600" })
        EXPECT_EQ(decodeNodeRow(text), std::nullopt) << text;
}
