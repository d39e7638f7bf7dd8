// The two customers' fleets and the calls that they get: the same calls for every policy and seed.
#pragma once

#include "Base/Base.h"

#include <string>
#include <vector>

namespace Berylport::PolicyBenchmark {

struct ServiceShape {
    std::string name;
    uint32_t targets { 3 };
    Duration serviceTime {};
    // Worth of one correct answer.
    double weight { 1 };
};

struct FleetShape {
    std::string name;
    Duration oneWayDelay {};
    std::vector<ServiceShape> services;
};

struct WorkloadOptions {
    Duration duration { std::chrono::seconds(8) };
    // Mean share of the slots that calls occupy, bursts included.
    double utilisation { 0.6 };
    // An entry node's rate is multiplied by this during a burst.
    double burstFactor { 4 };
    Duration burstLength { std::chrono::milliseconds(15) };
    Duration burstGap { std::chrono::milliseconds(120) };
    // Calls that a noisy tenant sends at once, through one entry node.
    uint32_t noisyCalls { 30 };
    Duration noisyGap { std::chrono::milliseconds(400) };
    // One target of a service runs this many times slower for a while.
    double stragglerFactor { 6 };
    Duration stragglerLength { std::chrono::milliseconds(600) };
    Duration stragglerGap { std::chrono::seconds(3) };
    // One target of a service answers 503 at once for a while.
    Duration failerLength { std::chrono::milliseconds(300) };
    Duration failerGap { std::chrono::seconds(6) };
    // One target of a service reports half of its load and service time for a while.
    Duration misleadingLength { std::chrono::seconds(1) };
    Duration misleadingGap { std::chrono::seconds(4) };
    // A restarted target begins this many times slower and reaches its speed over warmUp.
    double coldFactor { 4 };
    Duration warmUp { std::chrono::seconds(2) };
};

struct Arrival {
    Instant time;
    uint32_t entry { 0 };
    uint32_t service { 0 };
    // Time that the call takes on a target of normal speed.
    Duration work {};
};

// A time in which one target of a service misbehaves.
struct Episode {
    Instant from;
    Instant to;
    uint32_t target { 0 };
};

struct ServiceEpisodes {
    std::vector<Episode> stragglers;
    std::vector<Episode> failers;
    std::vector<Episode> misleaders;
};

struct Workload {
    std::vector<Arrival> arrivals;
    std::vector<ServiceEpisodes> episodes;
};

std::vector<FleetShape> customerFleets();
uint32_t entryCount(const FleetShape&);
Workload makeWorkload(const FleetShape&, const WorkloadOptions&, uint64_t seed);

} // namespace Berylport::PolicyBenchmark
