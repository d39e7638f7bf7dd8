// Guards against nodes that send a request on to targets after it has ended three.
#include "Node/FleetSimulation.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Nodes that have run undisturbed for this long know what the others know.
constexpr Duration contactBound = 3s;

// The simulation runs many times slower under sanitizers, which need no large fleet to find memory errors; the normal
// build always runs all sizes.
#ifdef __SANITIZE_ADDRESS__
const std::vector<size_t> fleetSizes { 3, 12 };
#else
const std::vector<size_t> fleetSizes { 3, 12, 80, 300 };
#endif

RequestFingerprint request(uint8_t n)
{
    RequestFingerprint fingerprint;
    fingerprint.head.fill(n);
    return fingerprint;
}

void startAll(FleetSimulation& fleet, size_t vms)
{
    for (size_t vm = 0; vm < vms; ++vm) {
        fleet.start(vm);
        if (vm % 8 == 0)
            fleet.run(5ms);
    }
}

void endThreeTargets(FleetSimulation& fleet, size_t vms, uint8_t n = 1)
{
    for (uint64_t end = 1; end <= 3; ++end) {
        fleet.recordEnd(fleet.random().below(vms), request(n), fleet.random().next());
        fleet.run(50ms);
    }
}

size_t countRefusing(FleetSimulation& fleet, size_t vms, uint8_t n = 1)
{
    size_t count = 0;
    for (size_t vm = 0; vm < vms; ++vm)
        count += fleet.isRunning(vm) && fleet.suspects(vm).suspicion(request(n)) == Suspicion::Refused;
    return count;
}

} // namespace

TEST(FleetSuspects, EveryNodeRefusesARequestSoonAfterItHasEndedThreeTargets)
{
    for (size_t vms : fleetSizes) {
        FleetSimulation fleet(vms);
        startAll(fleet, vms);
        fleet.run(15s);
        uint64_t before = fleet.datagrams;
        endThreeTargets(fleet, vms);
        Instant begin = fleet.now();
        while (countRefusing(fleet, vms) < vms && fleet.now() - begin < 20s)
            fleet.run(50ms);
        EXPECT_LE(fleet.now() - begin, contactBound) << vms;
        fleet.run(5s);
        // Besides the probes, each node tells it to a few others.
        EXPECT_LE(fleet.datagrams - before, vms * 60) << vms;
    }
}

TEST(FleetSuspects, AFleetThatRestartsAsAWholeStillKnowsThem)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        constexpr size_t vms = 12;
        FleetSimulation fleet(seed);
        startAll(fleet, vms);
        fleet.run(10s);
        endThreeTargets(fleet, vms);
        fleet.run(1s);
        for (int restart = 0; restart < 2; ++restart) {
            for (size_t vm = 0; vm < vms; ++vm)
                fleet.kill(vm);
            fleet.run(500ms);
            fleet.storeDelay = seed % 2 ? 4ms : 200ms;
            startAll(fleet, vms);
            fleet.run(contactBound);
            EXPECT_EQ(countRefusing(fleet, vms), vms) << seed;
        }
    }
}

TEST(FleetSuspects, ANodeThatRestartsWithoutTheStoreLearnsThemFromItsMembers)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        constexpr size_t vms = 12;
        FleetSimulation fleet(seed);
        startAll(fleet, vms);
        fleet.run(10s);
        endThreeTargets(fleet, vms);
        fleet.isStoreDown = true;
        for (size_t vm = 0; vm < 4; ++vm)
            fleet.kill(vm);
        fleet.run(1s);
        for (size_t vm = 0; vm < 4; ++vm)
            fleet.start(vm);
        fleet.run(contactBound);
        EXPECT_EQ(countRefusing(fleet, vms), vms) << seed;
    }
}

TEST(FleetSuspects, HalvesOfAFleetLearnThemFromEachOtherWhenACutHeals)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        constexpr size_t vms = 12;
        FleetSimulation fleet(seed);
        startAll(fleet, vms);
        fleet.run(10s);
        fleet.partitionAt(6);
        fleet.run(Duration(static_cast<int64_t>(fleet.random().below(20'000'000))));
        endThreeTargets(fleet, 6);
        fleet.run(1s);
        EXPECT_EQ(countRefusing(fleet, vms), 6u) << seed;
        fleet.partitionAt(0);
        fleet.run(contactBound);
        EXPECT_EQ(countRefusing(fleet, vms), vms) << seed;
    }
}

TEST(FleetSuspects, ARequestThatEndsWellSomewhereIsClearedEverywhere)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        constexpr size_t vms = 12;
        FleetSimulation fleet(seed);
        startAll(fleet, vms);
        fleet.run(10s);
        endThreeTargets(fleet, vms);
        fleet.recordGoodEnd(fleet.random().below(vms), request(1));
        fleet.run(contactBound);
        EXPECT_EQ(countRefusing(fleet, vms), 0u) << seed;
    }
}

TEST(FleetSuspects, TrafficStaysBoundedWithMoreSuspectsThanANodeRemembers)
{
    constexpr size_t vms = 12;
    FleetSimulation fleet(1);
    startAll(fleet, vms);
    fleet.run(10s);
    uint64_t calm = fleet.datagrams;
    fleet.run(20s);
    calm = fleet.datagrams - calm;
    for (uint64_t n = 0; n < 600; ++n) {
        RequestFingerprint fingerprint;
        for (auto& it : fingerprint.head)
            it = static_cast<uint8_t>(fleet.random().next());
        fleet.recordEnd(fleet.random().below(vms), fingerprint, n);
        fleet.run(5ms);
    }
    endThreeTargets(fleet, vms);
    fleet.run(contactBound);
    EXPECT_EQ(countRefusing(fleet, vms), vms);
    uint64_t before = fleet.datagrams;
    fleet.run(20s);
    // At most four datagrams a second and node, besides the probes.
    EXPECT_LE(fleet.datagrams - before, calm + vms * 20 * 4);
}
