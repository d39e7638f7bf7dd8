// Guards against a fleet that stays split into groups of nodes that never discover each other, for any order of node
// starts and store faults.
#include "FleetSimulation.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Time limit for two nodes that can reach each other or the store to discover each other.
constexpr Duration contactTime = 3s;
// Maximum delay of the next read of the rows after the store has become reachable again.
constexpr Duration storeRetry = 4s;

// Builds with sanitizers are about twenty times slower, so they run smaller fleets, which are sufficient to detect
// memory errors.
#ifdef __SANITIZE_ADDRESS__
constexpr size_t fleetSizes[] = { 30, 100 };
#else
constexpr size_t fleetSizes[] = { 30, 100, 195, 300 };
#endif

void startAll(FleetSimulation& fleet, size_t count, Duration spread)
{
    std::vector<size_t> order(count);
    for (size_t n = 0; n < count; ++n)
        order[n] = n;
    for (size_t n = count; n > 1; --n)
        std::swap(order[n - 1], order[fleet.random().below(n)]);
    for (size_t it : order) {
        fleet.run(spread / static_cast<int64_t>(count));
        fleet.start(it);
    }
}

void killAll(FleetSimulation& fleet, size_t count)
{
    for (size_t n = 0; n < count; ++n)
        fleet.kill(n);
}

} // namespace

TEST(FleetStart, NodesThatStartTogetherFormOneFleet)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        FleetSimulation fleet(seed);
        startAll(fleet, 3 + seed % 10, 300ms);
        EXPECT_LT(fleet.timeToConverge(20s), contactTime) << seed;
    }
}

// Each node stopped discovery after the first reply, which left two groups that never merged after a power failure.
TEST(FleetStart, AFleetThatLosesPowerFormsOneFleetAgain)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        FleetSimulation fleet(seed);
        size_t count = 3 + seed % 10;
        startAll(fleet, count, 300ms);
        fleet.run(5s);
        killAll(fleet, count);
        fleet.storeDelay = 4ms + Duration(static_cast<int64_t>(fleet.random().below(300'000)));
        startAll(fleet, count, 300ms);
        EXPECT_LT(fleet.timeToConverge(20s), contactTime) << seed;
    }
}

TEST(FleetStart, AStoreThatIsSlowLosesAnswersAndTurnsNodesAwaySplitsNobody)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        FleetSimulation fleet(seed);
        size_t count = 4 + seed % 9;
        fleet.responseLossRate = 0.3;
        fleet.storeDelay = Duration(static_cast<int64_t>(4000 + fleet.random().below(800'000)));
        for (size_t n = 0; n < count / 2; ++n)
            fleet.rejectedVms.insert(fleet.random().below(count));
        startAll(fleet, count, 300ms);
        fleet.run(4s);
        fleet.rejectedVms.clear();
        fleet.responseLossRate = 0;
        fleet.storeDelay = 4ms;
        EXPECT_LT(fleet.timeToConverge(30s), contactTime + storeRetry) << seed;
    }
}

TEST(FleetStart, AnOutageOfTheStoreAtTheStartIsOverSoonAfterItsReturn)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        FleetSimulation fleet(seed);
        fleet.isStoreDown = true;
        startAll(fleet, 8, 300ms);
        fleet.run(6s);
        fleet.isStoreDown = false;
        EXPECT_LT(fleet.timeToConverge(30s), contactTime + storeRetry) << seed;
    }
}

// Nodes on both sides of a partition declared each other dead, or were started during the partition.
TEST(FleetStart, AHealedCutLeavesOneFleet)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        FleetSimulation fleet(seed);
        size_t count = 3 + seed % 10;
        bool isStartedApart = seed % 2;
        if (isStartedApart)
            fleet.partitionAt(1 + seed % (count - 1));
        startAll(fleet, count, 300ms);
        fleet.run(2s);
        fleet.partitionAt(1 + seed % (count - 1));
        fleet.run(30s);
        fleet.partitionAt(0);
        EXPECT_LT(fleet.timeToConverge(30s), contactTime) << seed;
    }
}

TEST(FleetStart, RandomRestartsEndInOneFleet)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        FleetSimulation fleet(seed);
        constexpr size_t vms = 10;
        startAll(fleet, vms, 300ms);
        for (int n = 0; n < 12; ++n) {
            size_t vm = fleet.random().below(vms);
            fleet.isStoreDown = fleet.random().chance(0.3);
            fleet.partitionAt(fleet.random().chance(0.3) ? 1 + fleet.random().below(vms - 1) : 0);
            fleet.kill(vm);
            fleet.run(Duration(static_cast<int64_t>(fleet.random().below(2'000'000))));
            fleet.start(vm);
            fleet.run(Duration(static_cast<int64_t>(fleet.random().below(2'000'000))));
        }
        fleet.isStoreDown = false;
        fleet.partitionAt(0);
        EXPECT_LT(fleet.timeToConverge(30s), contactTime + storeRetry) << seed;
    }
}

// A process that starts while the store is unavailable is discovered by the members at the address of its predecessor.
TEST(FleetStart, ANodeThatRestartsWithoutTheStoreIsFound)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        FleetSimulation fleet(seed);
        startAll(fleet, 8, 300ms);
        fleet.run(5s);
        fleet.isStoreDown = true;
        fleet.kill(seed % 8);
        fleet.run(seed % 2 ? 1s : 20s);
        fleet.start(seed % 8);
        EXPECT_LT(fleet.timeToConverge(30s), 10s) << seed;
    }
}

// A node that was contacted by others before it had joined itself became ready with one member, as it had not been told
// that its view was incomplete.
TEST(FleetStart, ANodeIsSettledOnlyWhenItKnowsWhatAnotherKnows)
{
    size_t early = 0;
    size_t settled = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        FleetSimulation fleet(seed);
        constexpr size_t count = 12;
        startAll(fleet, count, 300ms);
        fleet.run(5s);
        killAll(fleet, count);
        // Reading the rows takes longer than discovery by gossip.
        fleet.storeDelay = 400ms;
        startAll(fleet, count, 300ms);
        std::set<size_t> seen;
        for (int n = 0; n < 600; ++n) {
            fleet.run(5ms);
            for (size_t vm = 0; vm < count; ++vm) {
                bool isNew = fleet.service(vm).isDiscoveryDone(fleet.now()) && seen.insert(vm).second;
                settled += isNew;
                // A settled node must know at least half of the fleet; the others may just be starting.
                early += isNew && fleet.service(vm).table().presentCount() + 1 < count / 2;
            }
        }
    }
    EXPECT_EQ(settled, 1200u);
    EXPECT_EQ(early, 0u);
}

// A departed target must not receive calls after a restart of the node, even if its departure was not stored.
TEST(FleetStart, MembersRememberAnAcknowledgedDeparture)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        FleetSimulation fleet(seed);
        startAll(fleet, 6, 300ms);
        fleet.run(5s);
        fleet.isStoreDown = true;
        TargetIncarnation departed { .instance = "i-1", .startedAtMilliseconds = 1'700'000'000'000 };
        // Case of run armor-num-grown trouble-3: the node itself was already shutting down.
        if (seed % 2)
            fleet.leave(2);
        fleet.setDeparted(2, departed);
        fleet.run(200ms);
        fleet.kill(2);
        fleet.run(1s);
        fleet.start(2);
        fleet.timeToConverge(20s);
        EXPECT_EQ(fleet.restoredDeparture(2), departed) << seed;
    }
}

TEST(FleetStart, ARowLostInARestoreIsWrittenAgain)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        FleetSimulation fleet(seed);
        startAll(fleet, 5, 300ms);
        fleet.run(5s);
        fleet.copyStore();
        fleet.start(5);
        fleet.run(3s);
        ASSERT_TRUE(fleet.storedRow(5)) << seed;
        fleet.responseLossRate = seed % 3 ? 0 : 0.3;
        fleet.restoreStore();
        EXPECT_FALSE(fleet.storedRow(5)) << seed;
        fleet.run(10s);
        EXPECT_TRUE(fleet.storedRow(5)) << seed;
    }
}

TEST(FleetStart, ADepartureLostInARestoreIsWrittenAgain)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        FleetSimulation fleet(seed);
        startAll(fleet, 4, 300ms);
        fleet.run(5s);
        fleet.copyStore();
        TargetIncarnation departed { .instance = "i-1", .startedAtMilliseconds = 1'700'000'000'000 };
        fleet.setDeparted(2, departed);
        fleet.run(1s);
        ASSERT_EQ(fleet.storedRow(2)->row.departed, departed) << seed;
        // More than one restore, and the store may be away when the node reads its row.
        for (int n = 0; n < 3; ++n) {
            fleet.restoreStore();
            fleet.isStoreDown = n == 1;
            fleet.run(700ms);
            fleet.isStoreDown = false;
        }
        EXPECT_NE(fleet.storedRow(2), nullptr);
        fleet.run(10s);
        EXPECT_EQ(fleet.storedRow(2)->row.departed, departed) << seed;
    }
}

// The store may acknowledge a write, lose it, and only then does the acknowledgement arrive.
TEST(FleetStart, AWriteAcknowledgedBeforeARestoreIsNotTakenForDurable)
{
    NodeRow row { .node = NodeId { 1 }, .gossip = { .address = "127.0.0.1", .port = 1 }, .departed = std::nullopt };
    NodeRegistrar registrar({ .isFirstStart = true }, "vm", row);
    std::vector<RowAction> actions;
    Instant now = instantFromMicroseconds(0);
    registrar.eraSeen(1, now);
    for (; actions.empty(); now += 10ms)
        registrar.tick(now, actions);
    ASSERT_TRUE(std::holds_alternative<WriteRow>(actions.at(0)));
    registrar.eraSeen(2, now);
    registrar.written(7, 1, now);
    EXPECT_FALSE(registrar.isDurable());
    registrar.tick(now + 10s, actions);
    EXPECT_TRUE(std::holds_alternative<ReadRows>(actions.at(1)));
    registrar.rowsRead({}, 2, now + 10s);
    registrar.tick(now + 20s, actions);
    EXPECT_TRUE(std::holds_alternative<WriteRow>(actions.back()));
    registrar.written(8, 2, now + 20s);
    EXPECT_TRUE(registrar.isDurable());
}

// A member that tells an era that the store has never had must not make the others write for ever.
TEST(FleetStart, ALowerEraOfTheStoreItselfIsBelieved)
{
    NodeRow row { .node = NodeId { 1 }, .gossip = { .address = "127.0.0.1", .port = 1 }, .departed = std::nullopt };
    NodeRegistrar registrar({}, "vm", row);
    std::vector<RowAction> actions;
    Instant now = instantFromMicroseconds(0);
    registrar.eraSeen(1, now);
    registrar.eraSeen(1'000'000, now);
    registrar.tick(now + 10s, actions);
    ASSERT_TRUE(registrar.rowsRead({}, 1, now + 10s));
    for (Duration passed = 10s; actions.size() < 2; passed += 10ms)
        registrar.tick(now + passed, actions);
    registrar.written(7, 1, now + 20s);
    EXPECT_TRUE(registrar.isDurable());
}

TEST(FleetStart, ALargeFleetFindsItselfWithBoundedTraffic)
{
    for (size_t count : fleetSizes) {
        FleetSimulation fleet(count);
        startAll(fleet, count, 300ms);
        fleet.run(8s);
        killAll(fleet, count);
        uint64_t callsBefore = fleet.storeCalls;
        uint64_t bytesBefore = fleet.bytes;
        uint64_t datagramsBefore = fleet.datagrams;
        startAll(fleet, count, 300ms);
        Duration taken = fleet.timeToConverge(20s);
        auto perNode = [&](uint64_t n) { return n / count; };
        RecordProperty("taken_ms_" + std::to_string(count), static_cast<int>(toMilliseconds(taken)));
        std::printf(
            "%zu nodes: one fleet after %lld ms, %llu datagrams and %llu bytes a node, %.2f store calls a node\n",
            count, static_cast<long long>(toMilliseconds(taken)),
            static_cast<unsigned long long>(perNode(fleet.datagrams - datagramsBefore)),
            static_cast<unsigned long long>(perNode(fleet.bytes - bytesBefore)),
            static_cast<double>(fleet.storeCalls - callsBefore) / static_cast<double>(count));
        EXPECT_LT(taken, 4s) << count;
        EXPECT_EQ(fleet.storeCalls - callsBefore, count);
        fleet.run(10s);
        EXPECT_TRUE(fleet.isConverged()) << count;
    }
}
