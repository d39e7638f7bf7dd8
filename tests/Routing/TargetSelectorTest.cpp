// Tests of target selection: states, zones, slow start, ejection and policies.
#include "Routing/Routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace Berylport {
namespace {

using namespace std::chrono_literals;

const ServiceName service { "slotdesk" };

Instant at(Duration sinceStart) { return Instant(sinceStart); }

TargetRecord makeTarget(uint64_t node, std::string_view zone = "kandy-a", std::string_view region = "central")
{
    return {
        .id = { NodeId { node }, service },
        .zone = ZoneName { zone },
        .region = RegionName { region },
        .state = TargetState::Ready,
        .slots = 10,
        .firstSeen = at(0s),
    };
}

RoutingOptions makeOptions(SelectionPolicy policy = FreshLoad {})
{
    return {
        .zone = ZoneName { "kandy-a" },
        .region = RegionName { "central" },
        .policy = policy,
        .zoneRoundTrips = {},
        .ejection = {},
    };
}

std::vector<TargetRecord> makeTargets(uint64_t count)
{
    std::vector<TargetRecord> targets;
    for (uint64_t n = 1; n <= count; ++n)
        targets.push_back(makeTarget(n));
    return targets;
}

LoadReport makeLoad(uint16_t running, uint16_t queued, Duration serviceTime = 10ms)
{
    return { .slots = 10, .running = running, .queued = queued, .serviceTime = serviceTime };
}

void answer(TargetSelector& selector, uint64_t node, Duration latency, Instant now, bool hasFailed = false)
{
    TargetId target { NodeId { node }, service };
    selector.recordSend(target, now);
    selector.recordReply(target, makeLoad(1, 0), { .latency = latency, .hasFailed = hasFailed }, now);
}

std::map<uint64_t, int> countSelections(TargetSelector& selector, Instant now, int draws = 1000)
{
    Random random(7);
    std::map<uint64_t, int> counts;
    for (int n = 0; n < draws; ++n) {
        if (auto selection = selector.select(now, random, {}))
            ++counts[selection->target.node.value];
    }
    return counts;
}

std::vector<SelectionPolicy> allPolicies()
{
    return { FreshLoad {}, RandomChoice {}, RoundRobin {}, LeastReported {}, TwoChoices {} };
}

// Guards against calls sent to targets that are not ready.
TEST(TargetSelector, NeverChoosesTargetsThatAreNotReady)
{
    for (const auto& policy : allPolicies()) {
        TargetSelector selector(makeOptions(policy));
        auto targets = makeTargets(4);
        targets[0].state = TargetState::Starting;
        targets[1].state = TargetState::Draining;
        targets[2].state = TargetState::Down;
        selector.updateTargets(targets, at(0s));
        auto counts = countSelections(selector, at(1s));
        EXPECT_EQ(counts.size(), 1u) << toText(policy);
        EXPECT_EQ(counts[4], 1000) << toText(policy);
    }
}

// Guards against a retry on the target that has just failed.
TEST(TargetSelector, LeavesOutExcludedTargets)
{
    for (const auto& policy : allPolicies()) {
        TargetSelector selector(makeOptions(policy));
        auto targets = makeTargets(20);
        selector.updateTargets(targets, at(0s));
        std::vector<TargetId> excluded;
        Random random(3);
        while (auto selection = selector.select(at(1s), random, excluded)) {
            EXPECT_EQ(std::count(excluded.begin(), excluded.end(), selection->target), 0) << toText(policy);
            excluded.push_back(selection->target);
        }
        EXPECT_EQ(excluded.size(), 20u) << toText(policy);
    }
}

// Guards against calls to another zone that load does not justify.
TEST(TargetSelector, PrefersTheOwnZone)
{
    for (const auto& policy : allPolicies()) {
        TargetSelector selector(makeOptions(policy));
        std::vector targets { makeTarget(1), makeTarget(2, "colombo-a"), makeTarget(3, "muscat-a", "muscat") };
        selector.updateTargets(targets, at(0s));
        EXPECT_EQ(countSelections(selector, at(1s))[1], 1000) << toText(policy);
    }
}

// Guards against calls queueing in the local zone while another zone is idle.
TEST(TargetSelector, SpillsWhenTheOwnZoneIsSlowerThanTheExtraRoundTrip)
{
    TargetSelector selector(makeOptions());
    std::vector targets { makeTarget(1), makeTarget(2, "colombo-a") };
    selector.updateTargets(targets, at(0s));
    selector.recordRefusal(targets[0].id, makeLoad(10, 9), at(1s));
    selector.recordRefusal(targets[1].id, makeLoad(0, 0), at(1s));
    EXPECT_EQ(countSelections(selector, at(1s))[2], 1000);
}

// Guards against calls to another region while the local region has a target.
TEST(TargetSelector, CrossesRegionsOnlyWhenNothingElseIsThere)
{
    TargetSelector selector(makeOptions());
    std::vector targets { makeTarget(1, "colombo-a"), makeTarget(2, "muscat-a", "muscat") };
    selector.updateTargets(targets, at(0s));
    selector.recordRefusal(targets[0].id, makeLoad(10, 50), at(1s));
    EXPECT_EQ(countSelections(selector, at(1s))[1], 1000);
    targets[0].state = TargetState::Down;
    selector.updateTargets(targets, at(2s));
    EXPECT_EQ(countSelections(selector, at(2s))[2], 1000);
}

// Guards against a cold target receiving its full share immediately.
TEST(TargetSelector, NewTargetsGetTheirShareOverTheSlowStart)
{
    for (const auto& policy : { SelectionPolicy(RandomChoice {}), SelectionPolicy(RoundRobin {}) }) {
        TargetSelector selector(makeOptions(policy));
        auto targets = makeTargets(3);
        selector.updateTargets(targets, at(0s));
        targets.push_back(makeTarget(4));
        targets.back().firstSeen = at(100s);
        selector.updateTargets(targets, at(100s));
        EXPECT_LT(countSelections(selector, at(101s))[4], 80) << toText(policy);
        EXPECT_GT(countSelections(selector, at(111s))[4], 200) << toText(policy);
    }
}

// Guards against a new target receiving no calls until its slow start is nearly over.
TEST(TargetSelector, FreshLoadGivesColdTargetsASmallShareAtOnce)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(2);
    selector.updateTargets(targets, at(0s));
    targets.push_back(makeTarget(3));
    targets.back().firstSeen = at(100s);
    selector.updateTargets(targets, at(100s));
    for (const auto& target : targets)
        selector.recordRefusal(target.id, makeLoad(5, 0), at(100s));
    auto counts = countSelections(selector, at(101s), 3000);
    EXPECT_GT(counts[3], 50);
    EXPECT_LT(counts[3], 400);
}

// Guards against calls accumulating at an unresponsive target before its first slow answer arrives.
TEST(TargetSelector, FreshLoadAvoidsASilentTarget)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(2);
    selector.updateTargets(targets, at(0s));
    for (int n = 0; n < 20; ++n) {
        answer(selector, 1, 10ms, at(1s));
        answer(selector, 2, 10ms, at(1s));
    }
    selector.recordSend(targets[0].id, at(2s));
    EXPECT_EQ(countSelections(selector, at(2s + 100ms)).count(1), 0u);
}

// Guards against calls to a target that refuses all of them while gossip is late, and against never using it again.
TEST(TargetSelector, AsksUnavailableTargetsAgainLater)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(2);
    selector.updateTargets(targets, at(0s));
    selector.recordUnavailable(targets[0].id, at(1s));
    selector.updateTargets(targets, at(2s));
    EXPECT_EQ(countSelections(selector, at(2s)).count(1), 0u);
    EXPECT_GT(countSelections(selector, at(6s))[1], 0);
}

// Guards against tail latency from one slow target.
TEST(TargetSelector, EjectsStragglers)
{
    TargetSelector selector(makeOptions(RandomChoice {}));
    selector.updateTargets(makeTargets(4), at(0s));
    for (int n = 0; n < 20; ++n) {
        for (uint64_t node = 1; node <= 3; ++node)
            answer(selector, node, 10ms, at(1s));
        answer(selector, 4, 200ms, at(1s));
    }
    EXPECT_TRUE(selector.isEjected({ NodeId { 4 }, service }));
    EXPECT_EQ(countSelections(selector, at(1s)).count(4), 0u);
}

// Guards against a target that fails within a microsecond and therefore appears idle and fast.
TEST(TargetSelector, EjectsFastFailers)
{
    TargetSelector selector(makeOptions());
    selector.updateTargets(makeTargets(4), at(0s));
    for (int n = 0; n < 20; ++n) {
        for (uint64_t node = 1; node <= 3; ++node)
            answer(selector, node, 10ms, at(1s));
        answer(selector, 4, 1us, at(1s), true);
    }
    EXPECT_TRUE(selector.isEjected({ NodeId { 4 }, service }));
}

// Guards against ejections that leave a service without capacity.
TEST(TargetSelector, EjectsAtMostHalf)
{
    TargetSelector selector(makeOptions());
    selector.updateTargets(makeTargets(5), at(0s));
    for (int n = 0; n < 30; ++n)
        answer(selector, 1, 10ms, at(1s));
    for (int n = 0; n < 30; ++n) {
        for (uint64_t node = 2; node <= 5; ++node)
            answer(selector, node, 1us, at(1s), true);
    }
    EXPECT_EQ(selector.ejectedCount(), 2u);
    EXPECT_EQ(selector.usableCount(), 3u);
}

// Guards against ejections that exceed the maximum share after other targets have left.
TEST(TargetSelector, ReadmitsWhenTooFewTargetsAreLeft)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(4);
    selector.updateTargets(targets, at(0s));
    for (int n = 0; n < 30; ++n) {
        for (uint64_t node = 1; node <= 2; ++node)
            answer(selector, node, 10ms, at(1s));
        for (uint64_t node = 3; node <= 4; ++node)
            answer(selector, node, 1us, at(1s), true);
    }
    ASSERT_EQ(selector.ejectedCount(), 2u);
    targets[0].state = TargetState::Down;
    targets[1].state = TargetState::Down;
    selector.updateTargets(targets, at(1s));
    EXPECT_EQ(selector.ejectedCount(), 1u);
    EXPECT_EQ(selector.usableCount(), 1u);
}

Duration measureEjection(TargetSelector& selector, Instant start)
{
    for (int n = 0; n < 30; ++n) {
        answer(selector, 1, 10ms, start);
        answer(selector, 2, 10ms, start);
        answer(selector, 3, 1us, start, true);
    }
    Random random(1);
    auto now = start;
    while (selector.isEjected({ NodeId { 3 }, service })) {
        now += 10ms;
        selector.select(now, random, {});
    }
    return now - start;
}

// Guards against a target that is never readmitted, and against one that flaps at a constant period.
TEST(TargetSelector, ReadmitsAfterExponentialTimes)
{
    auto options = makeOptions();
    options.ejection.baseTime = 2s;
    TargetSelector selector(options);
    selector.updateTargets(makeTargets(3), at(0s));
    auto first = measureEjection(selector, at(1s));
    auto second = measureEjection(selector, at(5s));
    auto third = measureEjection(selector, at(12s));
    EXPECT_GE(first, 1500ms);
    EXPECT_LE(first, 2510ms);
    EXPECT_GE(second, 3000ms);
    EXPECT_LE(second, 5010ms);
    EXPECT_GE(third, 6000ms);
    EXPECT_LE(third, 10010ms);
}

// Guards against a service without usable targets after a whole zone is falsely suspected.
TEST(TargetSelector, UsesSuspectsWhenFewerThanHalfAreBelievedAlive)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(4);
    targets[0].isSuspect = true;
    targets[1].isSuspect = true;
    selector.updateTargets(targets, at(0s));
    EXPECT_EQ(selector.usableCount(), 2u);
    targets[2].isSuspect = true;
    selector.updateTargets(targets, at(1s));
    EXPECT_EQ(selector.usableCount(), 4u);
}

// Guards against herding: a sender that trusts one idle report sends all calls there until the next report.
TEST(TargetSelector, FreshLoadCountsItsOwnCallsSinceTheReport)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(3);
    selector.updateTargets(targets, at(0s));
    selector.recordRefusal(targets[0].id, makeLoad(0, 0), at(1s));
    selector.recordRefusal(targets[1].id, makeLoad(4, 0), at(1s));
    selector.recordRefusal(targets[2].id, makeLoad(4, 0), at(1s));
    Random random(5);
    std::map<uint64_t, int> counts;
    for (int n = 0; n < 30; ++n) {
        auto target = selector.select(at(1s), random, {})->target;
        selector.recordSend(target, at(1s));
        ++counts[target.node.value];
    }
    EXPECT_LE(counts[1], 14);
    EXPECT_GE(counts[2], 8);
    EXPECT_GE(counts[3], 8);
}

// Guards against an old report that makes a target appear idle or busy indefinitely.
TEST(TargetSelector, FreshLoadForgetsOldReports)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(2);
    selector.updateTargets(targets, at(0s));
    selector.recordRefusal(targets[0].id, makeLoad(10, 20), at(1s));
    selector.recordRefusal(targets[1].id, makeLoad(1, 0), at(1s));
    EXPECT_EQ(countSelections(selector, at(1s)).count(1), 0u);
    auto later = countSelections(selector, at(10s));
    EXPECT_GT(later[1], 300);
    EXPECT_GT(later[2], 300);
}

TEST(TargetSelector, TargetsWhoseRequestLimitIsSpentGetNoCallsWhileOthersHaveRoom)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(3);
    selector.updateTargets(targets, at(0s));
    for (uint64_t n = 1; n <= 3; ++n)
        answer(selector, n, 10ms, at(1s));
    LoadReport limited = makeLoad(0, 0);
    limited.startWait = 20ms;
    limited.startInterval = 150ms;
    selector.recordRefusal(targets[0].id, limited, at(1s));
    EXPECT_EQ(countSelections(selector, at(1s))[1], 0);
    selector.recordRefusal(targets[1].id, makeLoad(10, 30), at(1s));
    selector.recordRefusal(targets[2].id, makeLoad(10, 30), at(1s));
    EXPECT_EQ(countSelections(selector, at(1s))[1], 1000);
    // Each call that is sent there takes another start.
    for (int n = 0; n < 2; ++n)
        selector.recordSend(targets[0].id, at(1s));
    EXPECT_EQ(countSelections(selector, at(1s))[1], 0);
}

// Otherwise full targets would hand calls on to limited ones, which would hand them back.
TEST(TargetSelector, ATargetWhoseRequestLimitIsSpentDoesNotLowerTheMeanLoad)
{
    TargetSelector selector(makeOptions());
    auto targets = makeTargets(2);
    selector.updateTargets(targets, at(0s));
    LoadReport limited = makeLoad(0, 0);
    limited.startWait = 150ms;
    limited.startInterval = 150ms;
    for (int n = 0; n < 500; ++n) {
        selector.recordRefusal(targets[0].id, limited, at(1s));
        selector.recordRefusal(targets[1].id, makeLoad(10, 0), at(1s));
    }
    EXPECT_NEAR(selector.meanLoad(), 10, 0.01);
}

// Guards against stale list positions after any order of updates, results and readmissions.
RC_GTEST_PROP(TargetSelectorProperty, SelectsOnlyUsableTargetsAndNeverEjectsMoreThanHalf, ())
{
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    Random random(seed);
    auto policies = allPolicies();
    TargetSelector selector(makeOptions(policies[random.below(policies.size())]));
    std::vector<TargetRecord> targets;
    Instant now = at(0s);
    for (int n = 0; n < 300; ++n) {
        now += Duration(random.below(500'000));
        if (!n || random.chance(0.1)) {
            targets = makeTargets(1 + random.below(12));
            for (auto& target : targets) {
                target.state = static_cast<TargetState>(random.chance(0.7) ? 1 : random.below(4));
                target.isSuspect = random.chance(0.2);
                target.zone = ZoneName { random.chance(0.5) ? "kandy-a" : "galle-a" };
            }
            selector.updateTargets(targets, now);
        }
        auto selection = selector.select(now, random, {});
        RC_ASSERT(selection.has_value() == (selector.usableCount() > 0));
        if (!selection)
            continue;
        auto it = std::find_if(
            targets.begin(), targets.end(), [&](const auto& record) { return record.id == selection->target; });
        RC_ASSERT(it != targets.end());
        RC_ASSERT(it->state == TargetState::Ready);
        selector.recordSend(it->id, now);
        if (random.chance(0.05))
            selector.recordUnavailable(it->id, now);
        switch (random.below(4)) {
        case 0:
            selector.recordLoss(it->id, now);
            break;
        case 1:
            selector.recordCancellation(it->id, {}, Duration(random.below(1'000'000)), now);
            break;
        default:
            selector.recordReply(it->id, makeLoad(random.below(11), 0),
                { .latency = Duration(random.below(100'000)), .hasFailed = random.chance(0.2) }, now);
        }
        RC_ASSERT(selector.ejectedCount() * 2 <= selector.readyCount());
        bool hasUnavailable = std::any_of(targets.begin(), targets.end(),
            [&](const auto& record) { return selector.view(record.id)->unavailableUntil.has_value(); });
        RC_ASSERT(!selector.readyCount() || hasUnavailable || selector.usableCount() > 0);
    }
}

} // namespace
} // namespace Berylport
