// Bursty arrivals and the targets' misbehaviour, drawn from one seed.
#include "PolicyWorkload.h"

#include <algorithm>

namespace Berylport::PolicyBenchmark {

namespace {

constexpr double slotsPerTarget = 10;

Duration exponential(Random& random, Duration mean)
{
    return Duration(1 + static_cast<int64_t>(random.exponential(static_cast<double>(mean.count()))));
}

// Half of the work is fixed and half exponential, as for a request with one lookup of varying cost.
Duration drawWork(Random& random, Duration mean) { return mean / 2 + exponential(random, mean / 2); }

std::vector<Episode> drawEpisodes(Random& random, Duration length, Duration gap, Duration duration, uint32_t targets)
{
    std::vector<Episode> episodes;
    Instant now;
    while (true) {
        now += exponential(random, gap);
        if (now > Instant(duration))
            return episodes;
        auto end = now + exponential(random, length);
        episodes.push_back({ now, end, static_cast<uint32_t>(random.below(targets)) });
        now = end;
    }
}

// Arrivals of one service at one entry node: bursts and gaps of exponential length.
void addBurstyArrivals(Workload& workload, Random& random, const WorkloadOptions& options, Arrival arrival,
    const ServiceShape& service, double meanPerSecond)
{
    double burstShare = std::chrono::duration<double>(options.burstLength)
        / std::chrono::duration<double>(options.burstLength + options.burstGap);
    double quietPerSecond = meanPerSecond / (1 + burstShare * (options.burstFactor - 1));
    Instant now;
    bool isBurst = false;
    auto phaseEnd = now + exponential(random, options.burstGap);
    while (now < Instant(options.duration)) {
        double rate = quietPerSecond * (isBurst ? options.burstFactor : 1);
        auto next = now + exponential(random, Duration(static_cast<int64_t>(1e6 / rate)));
        if (next > phaseEnd) {
            now = phaseEnd;
            isBurst = !isBurst;
            phaseEnd = now + exponential(random, isBurst ? options.burstLength : options.burstGap);
            continue;
        }
        now = next;
        arrival.time = now;
        arrival.work = drawWork(random, service.serviceTime);
        workload.arrivals.push_back(arrival);
    }
}

void addNoisyTenant(Workload& workload, Random& random, const WorkloadOptions& options, const FleetShape& fleet)
{
    Instant now;
    while (now < Instant(options.duration)) {
        now += exponential(random, options.noisyGap);
        auto entry = static_cast<uint32_t>(random.below(entryCount(fleet)));
        auto service = static_cast<uint32_t>(random.below(fleet.services.size()));
        for (uint32_t n = 0; n < options.noisyCalls; ++n) {
            auto time = now + Duration(static_cast<int64_t>(random.below(3000)));
            auto work = drawWork(random, fleet.services[service].serviceTime);
            workload.arrivals.push_back({ time, entry, service, work });
        }
    }
}

ServiceEpisodes drawServiceEpisodes(Random& random, const WorkloadOptions& options, uint32_t targets)
{
    auto draw
        = [&](Duration length, Duration gap) { return drawEpisodes(random, length, gap, options.duration, targets); };
    ServiceEpisodes episodes;
    episodes.stragglers = draw(options.stragglerLength, options.stragglerGap);
    episodes.failers = draw(options.failerLength, options.failerGap);
    episodes.misleaders = draw(options.misleadingLength, options.misleadingGap);
    return episodes;
}

} // namespace

std::vector<FleetShape> customerFleets()
{
    using namespace std::chrono_literals;
    return {
        { "Kandy (3 zones, 1.5 ms one way)", 1500us,
            { { "slotdesk", 6, 8ms, 1 }, { "collectsvc", 3, 15ms, 5 }, { "quotesvc", 3, 12ms, 2 } } },
        { "Sahil (3 zones, 0.5 ms one way)", 500us,
            { { "crew-routes", 5, 6ms, 1 }, { "bookings", 3, 12ms, 5 }, { "lawn-records", 3, 8ms, 2 } } },
    };
}

uint32_t entryCount(const FleetShape& fleet)
{
    uint32_t count = 0;
    for (const auto& service : fleet.services)
        count += service.targets;
    return count;
}

Workload makeWorkload(const FleetShape& fleet, const WorkloadOptions& options, uint64_t seed)
{
    Random random(seed);
    Workload workload;
    uint32_t entries = entryCount(fleet);
    for (uint32_t service = 0; service < fleet.services.size(); ++service) {
        const auto& shape = fleet.services[service];
        double capacity = slotsPerTarget * shape.targets / std::chrono::duration<double>(shape.serviceTime).count();
        double perEntry = options.utilisation * capacity / entries;
        for (uint32_t entry = 0; entry < entries; ++entry)
            addBurstyArrivals(workload, random, options, { {}, entry, service, {} }, shape, perEntry);
        workload.episodes.push_back(drawServiceEpisodes(random, options, shape.targets));
    }
    addNoisyTenant(workload, random, options, fleet);
    std::stable_sort(workload.arrivals.begin(), workload.arrivals.end(),
        [](const Arrival& a, const Arrival& b) { return a.time < b.time; });
    return workload;
}

} // namespace Berylport::PolicyBenchmark
