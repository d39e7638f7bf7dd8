// Guards tenants against noisy neighbours and the target against an overload that outlives its cause.
#include "Admission/LoadSimulation.h"
#include "Admission/NaiveAdmission.h"

using namespace Berylport;

namespace {

// Ten slots of 10 ms on average: 1,000 calls a second.
constexpr double capacity = 1'000;
constexpr int overloadStart = 5;
constexpr int overloadEnd = 15;

std::function<double(Duration)> constant(double rate)
{
    return [rate](Duration) { return rate; };
}

double overloadRate(Duration at)
{
    bool isOverload = at >= std::chrono::seconds(overloadStart) && at < std::chrono::seconds(overloadEnd);
    return (isOverload ? 3 : 0.7) * capacity;
}

LoadShape makeOverload() { return { .tenants = { { .tenant = "all", .rate = overloadRate } } }; }

// Five tenants share the capacity. Four send half of their share, one sends 20 times its share.
LoadSimulation<AdmissionController> runNoisyTenant(bool hidesTenants)
{
    AdmissionBench bench({}, { .name = testService(), .kind = RequestKind::Idempotent });
    LoadShape shape { .length = std::chrono::seconds(10), .hidesTenants = hidesTenants };
    constexpr double share = capacity / 5;
    shape.tenants.push_back({ .tenant = "noisy", .rate = constant(20 * share) });
    for (auto* it : { "b", "c", "d", "e" })
        shape.tenants.push_back({ .tenant = it, .rate = constant(share / 2) });
    LoadSimulation simulation(*bench.controller, shape);
    simulation.run();
    return simulation;
}

template <typename Admission> LoadSimulation<Admission> runOverload(Admission& admission)
{
    LoadSimulation simulation(admission, makeOverload());
    simulation.run();
    return simulation;
}

void printOverload(const char* name, const auto& simulation)
{
    for (auto [from, to] : { std::pair(0, 4), std::pair(5, 14), std::pair(15, 15), std::pair(16, 29) })
        printf("%s, seconds %d to %d: %.1f %% useful\n", name, from, to,
            100 * simulation.figures("all", from, to).usefulShare());
}

} // namespace

TEST(AdmissionLoad, QuietTenantsKeepTheirShareBesideANoisyOne)
{
    auto fair = runNoisyTenant(false).figures("b");
    auto unfair = runNoisyTenant(true).figures("b");
    printf("quiet tenant, fair: %.2f %% refused, p99 wait %.1f ms; one queue for all: %.2f %% refused, p99 %.1f ms\n",
        100 * fair.refusedShare(), fair.p99WaitMs(), 100 * unfair.refusedShare(), unfair.p99WaitMs());
    EXPECT_LT(fair.refusedShare(), 0.01);
    EXPECT_LT(fair.p99WaitMs(), unfair.p99WaitMs());
    EXPECT_GT(unfair.refusedShare(), 0.5);
}

TEST(AdmissionLoad, RecoversWithinASecondAfterAnOverload)
{
    AdmissionBench bench({}, { .name = testService(), .kind = RequestKind::Idempotent });
    auto simulation = runOverload(*bench.controller);
    printOverload("admission control", simulation);
    // The overload itself is served at capacity: a third of what is offered.
    EXPECT_GT(simulation.figures("all", overloadStart, overloadEnd - 1).usefulShare(), 0.31);
    EXPECT_GT(simulation.figures("all", overloadEnd + 1, 29).usefulShare(), 0.99);
}

// A queue limit far above what can be served in time must not lead to work that nobody waits for.
TEST(AdmissionLoad, LongQueueDoesNotDelayTheRecovery)
{
    AdmissionBench bench({}, { .name = testService(), .kind = RequestKind::Idempotent, .queueLimit = 10'000 });
    auto simulation = runOverload(*bench.controller);
    printOverload("admission control, queue of 10,000", simulation);
    EXPECT_GT(simulation.figures("all", overloadStart, overloadEnd - 1).usefulShare(), 0.3);
    EXPECT_GT(simulation.figures("all", overloadEnd + 1, 29).usefulShare(), 0.99);
}

// The baseline: work that nobody waits for any more keeps the queue long after the overload.
TEST(AdmissionLoad, FifoWithoutExpiryDoesNotRecover)
{
    NaiveAdmission fifo(10, 10'000, false);
    auto simulation = runOverload(fifo);
    printOverload("FIFO without expiry, queue of 10,000", simulation);
    EXPECT_LT(simulation.figures("all", overloadEnd, 29).usefulShare(), 0.1);
}
