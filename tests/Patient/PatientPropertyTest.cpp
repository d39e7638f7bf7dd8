// Guards against a patient action that is lost, runs twice, or never ends, whatever fails in between.
#include "Patient/NaiveRunner.h"
#include "Patient/PatientWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>

using namespace Berylport;
using namespace Berylport::Testing;
using namespace std::chrono_literals;

namespace {

template <typename World> void injectFault(World& world)
{
    auto& random = world.random;
    switch (random.below(9)) {
    case 0:
        world.kill(world.randomNode());
        break;
    case 1:
    case 2:
        world.randomNode().process->pauseFor(Duration(static_cast<int64_t>(random.below(30'000'000))));
        break;
    case 3:
        world.table.faults.set({ .dropRate = random.unit() });
        world.objects.faults.set({ .dropRate = random.unit() });
        break;
    case 4:
        world.table.faults.set({ .lateRate = random.unit(), .late = 3s, .isAppliedLate = random.chance(0.5) });
        break;
    case 5:
        world.table.faults.set({ .down = random.chance(0.5) ? DownMode::Close : DownMode::Refuse });
        break;
    case 6:
        world.objects.faults.set({ .down = random.chance(0.5) ? DownMode::Close : DownMode::Refuse });
        break;
    case 7:
        world.table.network.lateRate = random.unit() * 0.5;
        world.table.network.lostRate = random.unit() * 0.2;
        break;
    default:
        world.linkLossRate = random.unit() * 0.5;
        world.lateDispatchRate = random.unit();
        world.refusalRate = random.unit() * 0.5;
        for (auto& it : world.nodes)
            it->target->refusalRate = world.refusalRate;
    }
}

template <typename World> void heal(World& world)
{
    world.table.faults.set({});
    world.objects.faults.set({});
    world.table.network = {};
    world.linkLossRate = 0;
    world.lateDispatchRate = 0;
    world.refusalRate = 0;
    for (auto& it : world.nodes)
        it->target->refusalRate = 0;
}

// Runs a world with random faults. Returns the first violation, or an empty text.
template <typename World> std::string runWithFaults(World& world)
{
    uint32_t number = 0;
    std::vector<std::string> tokens;
    for (int round = 0; round < 25; ++round) {
        injectFault(world);
        for (int n = 0; n < 4; ++n) {
            auto token = tokenFor(number % worldPartitions, number);
            ++number;
            tokens.push_back(token);
            world.accept(world.randomNode(), token, number % 3 == 0);
            // A caller that repeats its request at another node.
            if (world.random.chance(0.3)) {
                auto& again = tokens[world.random.below(tokens.size())];
                world.accept(world.randomNode(), again, world.isDeduplicated[again]);
            }
            world.time.runFor(Duration(static_cast<int64_t>(world.random.below(2'000'000))));
        }
        if (world.random.chance(0.3))
            heal(world);
        if (auto violation = world.findViolation(); !violation.empty())
            return violation;
    }
    heal(world);
    // The longest way to an end: a lease of 10 s, an attempt of 60 s without an outcome, pauses of up to 30 s.
    for (int n = 0; n < 24 && !world.findUnfinished().empty(); ++n)
        world.time.runFor(10s);
    auto violation = world.findViolation();
    return violation.empty() ? world.findUnfinished() : violation;
}

} // namespace

RC_GTEST_PROP(PatientProperty, EveryAcceptedActionRunsOnceOrEndsInDoubt, (uint64_t seed))
{
    PatientWorld<ActionRunner> world(seed);
    auto violation = runWithFaults(world);
    if (!violation.empty())
        RC_FAIL(violation);
}

TEST(PatientProperty, FaultsReachEveryPath)
{
    // Guards against a property test whose faults no longer lead to recovery or doubt.
    size_t accepted = 0;
    size_t inDoubt = 0;
    uint64_t queries = 0;
    size_t cutOff = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        PatientWorld<ActionRunner> world(seed);
        EXPECT_EQ(runWithFaults(world), "") << "seed " << seed;
        accepted += world.accepted.size();
        inDoubt += world.inDoubtCount();
        queries += world.queries;
        cutOff += world.executions.cutOff.size();
    }
    std::printf("accepted %zu, in doubt %zu, queries %llu, runs cut off %zu\n", accepted, inDoubt,
        static_cast<unsigned long long>(queries), cutOff);
    EXPECT_GT(accepted, 500u);
    EXPECT_GT(inDoubt, 5u);
    EXPECT_GT(queries, 100u);
    EXPECT_GT(cutOff, 5u);
}

TEST(PatientProperty, NaiveRunnerViolatesIt)
{
    // Shows that the property can fail: without fence and question an action runs twice on this seed.
    PatientWorld<NaiveRunner> world(2);
    auto violation = runWithFaults(world);
    EXPECT_NE(violation.find(" ran 2 times"), std::string::npos) << violation;
}

TEST(PatientProperty, StoreWritesPerAction)
{
    // Guards against a runner that spends more of the store's writes than the design allows for.
    PatientWorld<ActionRunner> world(7);
    world.time.runFor(5s);
    auto before = world.table.counters;
    constexpr uint32_t actions = 500;
    for (uint32_t n = 0; n < actions; ++n) {
        world.accept(world.randomNode(), tokenFor(n % worldPartitions, n), false);
        world.time.runFor(20ms);
    }
    world.time.runFor(60s);
    ASSERT_EQ(world.accepted.size(), actions);
    EXPECT_EQ(world.findUnfinished(), "");
    // Renewals of two leases, each 3 s.
    auto renewals = 2.0 * 70 / 3;
    auto writes = (static_cast<double>(world.table.counters.writes - before.writes) - renewals) / actions;
    auto rows = (static_cast<double>(world.table.counters.rowsWritten - before.rowsWritten) - renewals) / actions;
    std::printf(
        "store writes for one action at 50 actions/s in 2 partitions: %.2f transactions, %.2f rows\n", writes, rows);
    EXPECT_LT(writes, 3.0);
    EXPECT_LT(rows, 4.2);
}
