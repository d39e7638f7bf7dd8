// Guards against delayed announcements that reinstate a target that has departed or was replaced.
#include "Node/AnnouncementOrder.h"
#include "Node/NodeRow.h"

#include <algorithm>
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
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 4), start), AnnouncementFreshness::Current);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 3), start), AnnouncementFreshness::Stale);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 4), start), AnnouncementFreshness::Stale);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 5), start), AnnouncementFreshness::Current);
}

// A partition delays an announcement; meanwhile its sender has crashed and another target runs at the address.
TEST(AnnouncementOrder, TheCrashedTargetDoesNotDisplaceItsSuccessor)
{
    AnnouncementOrder order;
    order.classify(makeAnnouncement("i-1", 100, 40), start);
    EXPECT_EQ(order.classify(makeAnnouncement("i-2", 900, 1), start + 1s), AnnouncementFreshness::Current);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 41), start + 2s), AnnouncementFreshness::Stale);
    EXPECT_EQ(order.current()->instance, "i-2");
}

// The wall clock may be set back between two starts; the later incarnation must not be rejected forever.
TEST(AnnouncementOrder, AStartWithAnEarlierClockIsTakenOnceTheOtherIsSilent)
{
    AnnouncementOrder order;
    order.classify(makeAnnouncement("i-1", 5000, 40), start);
    EXPECT_EQ(order.classify(makeAnnouncement("i-2", 3000, 1), start + 1s), AnnouncementFreshness::Stale);
    EXPECT_EQ(order.classify(makeAnnouncement("i-2", 3000, 3), start + 4s), AnnouncementFreshness::Current);
}

TEST(AnnouncementOrder, ARestartUnderTheSameIdBeginsAnew)
{
    AnnouncementOrder order;
    order.classify(makeAnnouncement("i-1", 100, 40), start);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 900, 1), start + 1s), AnnouncementFreshness::Current);
}

TEST(AnnouncementOrder, WhatHasLeftStaysAway)
{
    AnnouncementOrder order;
    order.classify(makeAnnouncement("i-1", 100, 4), start);
    EXPECT_EQ(order.withdraw("i-9"), std::nullopt);
    EXPECT_EQ(order.withdraw("i-1")->startedAtMilliseconds, 100u);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 5), start + 10s), AnnouncementFreshness::Departed);
    EXPECT_TRUE(order.hasDeparted("i-1"));
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 900, 1), start + 20s), AnnouncementFreshness::Current);
}

// An earlier process of this node acknowledged the departure.
TEST(AnnouncementOrder, ADepartureSurvivesARestartOfTheNode)
{
    NodeRow row { .node = NodeId { 5 }, .gossip = { .address = "10.1.0.4", .port = 7600 } };
    row.departed = TargetIncarnation { .instance = "i-1", .startedAtMilliseconds = 100 };
    auto read = decodeNodeRow(encodeNodeRow(row));
    ASSERT_EQ(read, row);
    AnnouncementOrder order;
    order.restoreDeparture(*read->departed);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 9), start), AnnouncementFreshness::Departed);
    EXPECT_EQ(order.classify(makeAnnouncement("i-2", 300, 1), start), AnnouncementFreshness::Current);
}

namespace {

// A process that was started after the targets with a start time below 500.
AnnouncementOrder makeRestartedOrder()
{
    return AnnouncementOrder({ .startedAt = start, .startedAtMilliseconds = 500, .mayHavePredecessor = true });
}

} // namespace

TEST(AnnouncementOrder, AnOlderTargetHasToRenewItsAnnouncementInTime)
{
    auto order = makeRestartedOrder();
    order.classify(makeAnnouncement("i-1", 100, 4), start + 1s);
    EXPECT_TRUE(order.isConfirmed(start + 1s));
    EXPECT_TRUE(order.isConfirmed(order.graceEnd() - 1us));
    EXPECT_FALSE(order.isConfirmed(order.graceEnd()));
    // A repetition is no renewal.
    order.classify(makeAnnouncement("i-1", 100, 4), start + 3s);
    EXPECT_FALSE(order.isConfirmed(start + 3s));
    order.classify(makeAnnouncement("i-1", 100, 5), start + 4s);
    EXPECT_TRUE(order.isConfirmed(start + 4s));
}

TEST(AnnouncementOrder, AfterAStoreFailureOneAnnouncementOfAnOlderTargetIsNotEnough)
{
    auto order = makeRestartedOrder();
    order.noteStoreFailure();
    order.classify(makeAnnouncement("i-1", 100, 4), start + 1s);
    EXPECT_FALSE(order.isConfirmed(start + 1s));
    order.classify(makeAnnouncement("i-1", 100, 5), start + 2s);
    EXPECT_TRUE(order.isConfirmed(start + 2s));
}

TEST(AnnouncementOrder, ATargetThatNoEarlierProcessCanHaveHeardIsConfirmedAtOnce)
{
    auto order = makeRestartedOrder();
    order.noteStoreFailure();
    order.classify(makeAnnouncement("i-2", 900, 1), start + 9s);
    EXPECT_TRUE(order.isConfirmed(start + 9s));
    AnnouncementOrder first({ .startedAt = start, .startedAtMilliseconds = 500 });
    first.classify(makeAnnouncement("i-1", 100, 4), start + 9s);
    EXPECT_TRUE(first.isConfirmed(start + 9s));
}

// The renewals of one incarnation say nothing about the next one.
TEST(AnnouncementOrder, AnotherOlderTargetHasToRenewItsOwnAnnouncement)
{
    auto order = makeRestartedOrder();
    order.classify(makeAnnouncement("i-1", 100, 4), start + 1s);
    order.classify(makeAnnouncement("i-1", 100, 5), start + 2s);
    order.classify(makeAnnouncement("i-2", 300, 1), start + 9s);
    EXPECT_FALSE(order.isConfirmed(start + 9s));
}

namespace {

TargetAnnouncement withService(TargetAnnouncement announcement, std::string_view service)
{
    announcement.service = ServiceName(service);
    return announcement;
}

AnnouncementOrder makeOrderThatKnows(std::vector<std::string> services)
{
    return AnnouncementOrder({ .isKnownService = [services = std::move(services)](const ServiceName& service) {
        return std::ranges::find(services, service.text) != services.end();
    } });
}

} // namespace

// One announcement of another writer took the target out of use for good.
TEST(AnnouncementOrder, AnotherServiceOfTheSameStartTakesNothingOver)
{
    auto order = makeOrderThatKnows({ "slotdesk", "quotesvc" });
    order.classify(makeAnnouncement("i-1", 100, 4), start);
    for (auto* it : { "no-such-service", "quotesvc" }) {
        auto stray = withService(makeAnnouncement("i-1", 100, 900), it);
        EXPECT_EQ(order.classify(stray, start + 1s), AnnouncementFreshness::Conflicting);
    }
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 5), start + 2s), AnnouncementFreshness::Current);
}

TEST(AnnouncementOrder, ATargetOfAnUnknownServiceDoesNotDisplaceOneThatIsAlive)
{
    auto order = makeOrderThatKnows({ "slotdesk", "quotesvc" });
    order.classify(makeAnnouncement("i-1", 100, 4), start);
    auto stray = withService(makeAnnouncement("i-2", 900, 1), "no-such-service");
    EXPECT_EQ(order.classify(stray, start + 1s), AnnouncementFreshness::Conflicting);
    auto successor = withService(makeAnnouncement("i-3", 800, 1), "quotesvc");
    EXPECT_EQ(order.classify(successor, start + 1s), AnnouncementFreshness::Current);
    EXPECT_EQ(order.classify(stray, start + 9s), AnnouncementFreshness::Current);
}

// The other writer came first, before the configuration was known.
TEST(AnnouncementOrder, AKnownServiceReplacesAnUnknownOneOfTheSameStart)
{
    auto order = makeOrderThatKnows({ "slotdesk" });
    order.classify(withService(makeAnnouncement("i-1", 100, 1), "no-such-service"), start);
    EXPECT_EQ(order.classify(makeAnnouncement("i-1", 100, 2), start + 1s), AnnouncementFreshness::Current);
}

TEST(NodeRow, RefusedRequestsAreKeptWithAndWithoutADeparture)
{
    NodeRow row { .node = NodeId { 5 }, .gossip = { .address = "10.1.0.4", .port = 7600 } };
    row.refused.resize(2);
    row.refused[1].head.fill(0xAB);
    EXPECT_EQ(decodeNodeRow(encodeNodeRow(row)), row);
    row.departed = TargetIncarnation { .instance = "i-1", .startedAtMilliseconds = 7 };
    EXPECT_EQ(decodeNodeRow(encodeNodeRow(row)), row);
    // A row with a damaged word is still that of a node.
    auto damaged = decodeNodeRow(encodeNodeRow(row) + " refused=12");
    ASSERT_TRUE(damaged);
    EXPECT_EQ(*damaged, row);
}

TEST(NodeRow, ForeignRowsAreNoNodes)
{
    NodeRow plain { .node = NodeId { 5 }, .gossip = { .address = "10.1.0.4", .port = 7600 } };
    EXPECT_EQ(decodeNodeRow(encodeNodeRow(plain)), plain);
    for (auto* text : { "", "x", "0000000000000005", "0000000000000005 nowhere", "zz 10.1.0.4:7600" })
        EXPECT_EQ(decodeNodeRow(text), std::nullopt) << text;
}
