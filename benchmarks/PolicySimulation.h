// Plays one workload with one policy in virtual time: senders with a TargetSelector each, and receivers with slots and
// a bounded queue. Not a model of a cluster: links never fail and nodes have no cost of their own.
#pragma once

#include "PolicyWorkload.h"
#include "Routing/Routing.h"

#include <deque>
#include <optional>
#include <queue>

namespace Berylport::PolicyBenchmark {

// Empty: the oracle, which knows every target's load, speed and failures at each instant.
using Contestant = std::optional<SelectionPolicy>;

struct SimulationResult {
    // Answer times of the calls that were answered with 200.
    std::vector<Duration> latencies;
    uint64_t calls { 0 };
    uint64_t attempts { 0 };
    // Refusals by receivers, re-dispatched or not.
    uint64_t refusals { 0 };
    // Calls that ended without any answer of a target.
    uint64_t refusedCalls { 0 };
    uint64_t failedCalls { 0 };
    double usefulWeight { 0 };
    double offeredWeight { 0 };
    uint64_t measuringBytes { 0 };
    uint64_t measuringMessages { 0 };
    uint64_t callBytes { 0 };
};

class Simulation {
public:
    Simulation(const FleetShape&, const WorkloadOptions&, const Workload&, Contestant, uint64_t seed);
    SimulationResult run();

private:
    enum class EventKind : uint8_t {
        Arrive,
        Reach,
        End,
        Answer,
        Restart,
        Gossip,
    };
    struct Event {
        Instant time;
        uint64_t sequence { 0 };
        EventKind kind { EventKind::Arrive };
        uint32_t index { 0 };
        bool operator>(const Event& other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    struct Target {
        TargetRecord record;
        uint32_t service { 0 };
        uint32_t numberInService { 0 };
        uint32_t running { 0 };
        // Sent by any sender and not arrived; only the oracle sees them.
        uint32_t onTheWay { 0 };
        std::deque<uint32_t> queue;
        Duration meanServiceTime {};
        bool isDraining { false };
        std::optional<Instant> coldSince;
    };
    struct Call {
        Arrival arrival;
        std::vector<TargetId> tried;
        uint32_t target { 0 };
        Instant sentAt;
        // What the answer carries back.
        LoadReport load;
        uint16_t status { 0 };
        bool isRefused { false };
        bool isDraining { false };
    };

    void push(Instant, EventKind, uint32_t index);
    void addTargets();
    void addSelectors();
    void updateSelectors();
    void handle(const Event&);
    void dispatch(uint32_t call);
    void reach(uint32_t call);
    void startNext(Target&);
    void end(uint32_t call);
    void respond(uint32_t call, bool isRefused);
    void answer(uint32_t call);
    void giveUpOrRetry(uint32_t call);
    void restart(uint32_t target);

    std::optional<uint32_t> choose(Call&);
    std::optional<uint32_t> chooseByTruth(const Call&);
    double trueTime(const Call&, const Target&) const;
    TargetSelector& selectorOf(const Call&);
    const ZoneName& zoneOf(uint32_t entry) const { return m_zones[entry % m_zones.size()]; }
    Duration oneWay(const Call&) const;
    double speedFactor(const Target&) const;
    bool isFailing(const Target&) const;
    LoadReport report(const Target&) const;

    const FleetShape& m_fleet;
    const WorkloadOptions& m_options;
    const Workload& m_workload;
    Contestant m_contestant;
    Random m_random;
    Instant m_now;
    uint64_t m_sequence { 0 };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<ZoneName> m_zones;
    std::vector<Target> m_targets;
    // First target of each service.
    std::vector<uint32_t> m_firstTarget;
    std::vector<Call> m_calls;
    // One per entry node and service.
    std::vector<std::vector<TargetSelector>> m_selectors;
    uint64_t m_nextNode { 1 };
    SimulationResult m_result;
};

} // namespace Berylport::PolicyBenchmark
