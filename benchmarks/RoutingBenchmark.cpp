// Time of one selection, with its bookkeeping, for each policy and number of targets.
#include "Routing/Routing.h"

#include <benchmark/benchmark.h>

namespace Berylport {
namespace {

const ServiceName service { "slotdesk" };

std::vector<TargetRecord> makeTargets(int64_t count)
{
    static const char* zones[] { "kandy-a", "colombo-a", "galle-a" };
    std::vector<TargetRecord> targets(static_cast<size_t>(count));
    for (size_t n = 0; n < targets.size(); ++n) {
        targets[n].id = { NodeId { n + 1 }, service };
        targets[n].zone = ZoneName { zones[n % 3] };
        targets[n].region = RegionName { "central" };
        targets[n].state = TargetState::Ready;
    }
    return targets;
}

TargetSelector makeSelector(SelectionPolicy policy)
{
    RoutingOptions options;
    options.zone = ZoneName { "kandy-a" };
    options.region = RegionName { "central" };
    options.policy = policy;
    return TargetSelector(options);
}

void selectAndReply(benchmark::State& state, SelectionPolicy policy)
{
    auto selector = makeSelector(policy);
    Instant now;
    selector.updateTargets(makeTargets(state.range(0)), now);
    Random random(1);
    LoadReport load { .slots = 10, .running = 0, .queued = 0, .serviceTime = std::chrono::milliseconds(10) };
    for (auto _ : state) {
        now += std::chrono::microseconds(10);
        auto selection = selector.select(now, random, {});
        selector.recordSend(selection->target, now);
        load.running = static_cast<uint16_t>(random.below(11));
        auto latency = Duration(5000 + random.below(10'000));
        selector.recordReply(selection->target, load, { .latency = latency }, now);
    }
}

void updateTargets(benchmark::State& state)
{
    auto selector = makeSelector(FreshLoad {});
    auto targets = makeTargets(state.range(0));
    Instant now;
    for (auto _ : state) {
        now += std::chrono::seconds(1);
        selector.updateTargets(targets, now);
    }
}

BENCHMARK_CAPTURE(selectAndReply, FreshLoad, FreshLoad {})->Arg(10)->Arg(100)->Arg(4000);
BENCHMARK_CAPTURE(selectAndReply, RandomChoice, RandomChoice {})->Arg(10)->Arg(100)->Arg(4000);
BENCHMARK_CAPTURE(selectAndReply, RoundRobin, RoundRobin {})->Arg(10)->Arg(100)->Arg(4000);
BENCHMARK_CAPTURE(selectAndReply, LeastReported, LeastReported {})->Arg(10)->Arg(100)->Arg(4000);
BENCHMARK_CAPTURE(selectAndReply, TwoChoices, TwoChoices {})->Arg(10)->Arg(100)->Arg(4000);
BENCHMARK(updateTargets)->Arg(10)->Arg(100)->Arg(4000);

} // namespace
} // namespace Berylport
