// Events of the policy benchmark.
#include "PolicySimulation.h"

#include <algorithm>
#include <limits>

namespace Berylport::PolicyBenchmark {

namespace {

constexpr Duration ownZoneOneWay = std::chrono::microseconds(100);
constexpr Duration failureTime = std::chrono::microseconds(500);
constexpr Duration gossipDelay = std::chrono::milliseconds(500);
constexpr Duration restartTime = std::chrono::milliseconds(200);
constexpr uint32_t queueLimit = 20;
constexpr uint16_t slots = 10;
constexpr uint32_t maximumRefusals = 3;
// Above any answer time, in microseconds.
constexpr double refusalCost = 1e7;
// Size of a load report on a reply, as the design page gives it.
constexpr uint64_t reportBytes = 12;
// Assumed size of a request with its answer, headers included.
constexpr uint64_t requestBytes = 600;
constexpr uint64_t answerBytes = 2000;

bool readsReports(const Contestant& contestant)
{
    return contestant && !std::holds_alternative<RandomChoice>(*contestant)
        && !std::holds_alternative<RoundRobin>(*contestant);
}

const Episode* findEpisode(const std::vector<Episode>& episodes, uint32_t target, Instant now)
{
    auto it = std::find_if(episodes.begin(), episodes.end(),
        [&](const auto& episode) { return episode.target == target && episode.from <= now && now < episode.to; });
    return it == episodes.end() ? nullptr : &*it;
}

} // namespace

Simulation::Simulation(const FleetShape& fleet, const WorkloadOptions& options, const Workload& workload,
    Contestant contestant, uint64_t seed)
    : m_fleet(fleet)
    , m_options(options)
    , m_workload(workload)
    , m_contestant(contestant)
    , m_random(seed)
    , m_zones { ZoneName { "zone-a" }, ZoneName { "zone-b" }, ZoneName { "zone-c" } }
{
    addTargets();
    addSelectors();
    m_calls.reserve(workload.arrivals.size());
    for (const auto& arrival : workload.arrivals) {
        auto& call = m_calls.emplace_back();
        call.arrival = arrival;
        push(arrival.time, EventKind::Arrive, static_cast<uint32_t>(m_calls.size() - 1));
    }
}

void Simulation::addTargets()
{
    for (uint32_t service = 0; service < m_fleet.services.size(); ++service) {
        m_firstTarget.push_back(static_cast<uint32_t>(m_targets.size()));
        const auto& shape = m_fleet.services[service];
        for (uint32_t n = 0; n < shape.targets; ++n) {
            auto& target = m_targets.emplace_back();
            target.service = service;
            target.numberInService = n;
            target.meanServiceTime = shape.serviceTime;
            target.record.id = { NodeId { m_nextNode++ }, ServiceName { shape.name } };
            target.record.zone = m_zones[n % m_zones.size()];
            target.record.region = RegionName { "region" };
            target.record.state = TargetState::Ready;
        }
        // One target of each service leaves and is replaced by a cold one.
        push(Instant(m_options.duration / 3 + service * gossipDelay), EventKind::Restart, m_firstTarget.back());
    }
    m_firstTarget.push_back(static_cast<uint32_t>(m_targets.size()));
}

void Simulation::addSelectors()
{
    m_selectors.resize(entryCount(m_fleet));
    for (uint32_t entry = 0; entry < m_selectors.size(); ++entry) {
        RoutingOptions options;
        options.zone = zoneOf(entry);
        options.region = RegionName { "region" };
        options.policy = m_contestant.value_or(FreshLoad {});
        options.otherZoneRoundTrip = 2 * m_fleet.oneWayDelay;
        for (size_t n = 0; n < m_fleet.services.size(); ++n)
            m_selectors[entry].emplace_back(options);
    }
    updateSelectors();
}

void Simulation::updateSelectors()
{
    for (uint32_t service = 0; service < m_fleet.services.size(); ++service) {
        std::vector<TargetRecord> records;
        for (uint32_t n = m_firstTarget[service]; n < m_firstTarget[service + 1]; ++n)
            records.push_back(m_targets[n].record);
        for (auto& selectors : m_selectors)
            selectors[service].updateTargets(records, m_now);
    }
}

void Simulation::push(Instant time, EventKind kind, uint32_t index)
{
    m_events.push({ time, m_sequence++, kind, index });
}

SimulationResult Simulation::run()
{
    while (!m_events.empty()) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        handle(event);
    }
    return std::move(m_result);
}

void Simulation::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::Arrive:
        ++m_result.calls;
        m_result.offeredWeight += m_fleet.services[m_calls[event.index].arrival.service].weight;
        return dispatch(event.index);
    case EventKind::Reach:
        return reach(event.index);
    case EventKind::End:
        return end(event.index);
    case EventKind::Answer:
        return answer(event.index);
    case EventKind::Restart:
        return restart(event.index);
    case EventKind::Gossip:
        return updateSelectors();
    }
}

// Senders.

TargetSelector& Simulation::selectorOf(const Call& call)
{
    return m_selectors[call.arrival.entry][call.arrival.service];
}

std::optional<uint32_t> Simulation::choose(Call& call)
{
    if (!m_contestant)
        return chooseByTruth(call);
    auto selection = selectorOf(call).select(m_now, m_random, call.tried);
    if (!selection)
        return std::nullopt;
    for (uint32_t n = m_firstTarget[call.arrival.service]; n < m_firstTarget[call.arrival.service + 1]; ++n) {
        if (m_targets[n].record.id == selection->target)
            return n;
    }
    return std::nullopt;
}

std::optional<uint32_t> Simulation::chooseByTruth(const Call& call)
{
    std::optional<uint32_t> best;
    double bestTime = std::numeric_limits<double>::infinity();
    for (uint32_t n = m_firstTarget[call.arrival.service]; n < m_firstTarget[call.arrival.service + 1]; ++n) {
        const auto& target = m_targets[n];
        bool wasTried = std::find(call.tried.begin(), call.tried.end(), target.record.id) != call.tried.end();
        double time = trueTime(call, target);
        if (wasTried || target.isDraining || isFailing(target) || time >= bestTime)
            continue;
        best = n;
        bestTime = time;
    }
    return best;
}

double Simulation::trueTime(const Call& call, const Target& target) const
{
    double load = target.running + static_cast<double>(target.queue.size()) + target.onTheWay;
    double waiting = std::max(0.0, load + 1 - slots) / slots;
    auto oneWayDelay = target.record.zone == zoneOf(call.arrival.entry) ? ownZoneOneWay : m_fleet.oneWayDelay;
    auto serviceTime = static_cast<double>(target.meanServiceTime.count()) * speedFactor(target);
    // A target that would refuse is the last resort.
    double refusal = load >= slots + queueLimit ? refusalCost : 0;
    // The small last term spreads calls over equal targets.
    return refusal + serviceTime * (1 + waiting) + 2 * static_cast<double>(oneWayDelay.count()) + load;
}

void Simulation::dispatch(uint32_t index)
{
    auto& call = m_calls[index];
    auto chosen = choose(call);
    if (!chosen) {
        ++m_result.refusedCalls;
        return;
    }
    ++m_result.attempts;
    call.target = *chosen;
    call.sentAt = m_now;
    auto& target = m_targets[*chosen];
    call.tried.push_back(target.record.id);
    ++target.onTheWay;
    selectorOf(call).recordSend(target.record.id, m_now);
    m_result.callBytes += requestBytes;
    push(m_now + oneWay(call), EventKind::Reach, index);
}

void Simulation::answer(uint32_t index)
{
    auto& call = m_calls[index];
    auto& selector = selectorOf(call);
    const auto& id = call.tried.back();
    if (readsReports(m_contestant))
        m_result.measuringBytes += reportBytes;
    if (call.isRefused) {
        selector.recordRefusal(id, call.load, m_now);
        if (call.isDraining)
            selector.recordUnavailable(id, m_now);
        return giveUpOrRetry(index);
    }
    m_result.callBytes += answerBytes;
    selector.recordReply(id, call.load, { .latency = m_now - call.sentAt, .hasFailed = call.status >= 500 }, m_now);
    if (call.status >= 500) {
        ++m_result.failedCalls;
        return;
    }
    m_result.latencies.push_back(m_now - call.arrival.time);
    m_result.usefulWeight += m_fleet.services[call.arrival.service].weight;
}

void Simulation::giveUpOrRetry(uint32_t index)
{
    ++m_result.refusals;
    if (m_calls[index].tried.size() >= maximumRefusals)
        ++m_result.refusedCalls;
    else
        dispatch(index);
}

// Receivers.

Duration Simulation::oneWay(const Call& call) const
{
    return m_targets[call.target].record.zone == zoneOf(call.arrival.entry) ? ownZoneOneWay : m_fleet.oneWayDelay;
}

double Simulation::speedFactor(const Target& target) const
{
    const auto& episodes = m_workload.episodes[target.service];
    double factor = findEpisode(episodes.stragglers, target.numberInService, m_now) ? m_options.stragglerFactor : 1;
    if (!target.coldSince || m_now >= *target.coldSince + m_options.warmUp)
        return factor;
    double warm = std::chrono::duration<double>(m_now - *target.coldSince) / m_options.warmUp;
    return factor * (m_options.coldFactor + (1 - m_options.coldFactor) * warm);
}

bool Simulation::isFailing(const Target& target) const
{
    return findEpisode(m_workload.episodes[target.service].failers, target.numberInService, m_now);
}

LoadReport Simulation::report(const Target& target) const
{
    LoadReport load;
    load.slots = slots;
    load.running = static_cast<uint16_t>(target.running);
    load.queued = static_cast<uint16_t>(target.queue.size());
    load.serviceTime = target.meanServiceTime;
    if (findEpisode(m_workload.episodes[target.service].misleaders, target.numberInService, m_now)) {
        load.running /= 2;
        load.queued /= 2;
        load.serviceTime /= 2;
    }
    load.isWarmingUp = target.coldSince && m_now < *target.coldSince + m_options.warmUp;
    return load;
}

void Simulation::reach(uint32_t index)
{
    auto& call = m_calls[index];
    auto& target = m_targets[call.target];
    --target.onTheWay;
    // The node of the replacement refuses what was meant for its predecessor.
    call.isDraining = target.isDraining || target.record.id != call.tried.back();
    if (call.isDraining || (target.running >= slots && target.queue.size() >= queueLimit))
        return respond(index, true);
    target.queue.push_back(index);
    startNext(target);
}

void Simulation::startNext(Target& target)
{
    if (target.queue.empty() || target.running >= slots)
        return;
    auto index = target.queue.front();
    target.queue.pop_front();
    ++target.running;
    bool fails = isFailing(target);
    m_calls[index].status = fails ? 503 : 200;
    auto work = std::chrono::duration_cast<Duration>(m_calls[index].arrival.work * speedFactor(target));
    push(m_now + (fails ? failureTime : work), EventKind::End, index);
}

void Simulation::end(uint32_t index)
{
    auto& call = m_calls[index];
    auto& target = m_targets[call.target];
    --target.running;
    // As the target's node measures it; a failure is quick and therefore not counted.
    if (call.status < 500) {
        auto work = std::chrono::duration_cast<Duration>(call.arrival.work * speedFactor(target));
        target.meanServiceTime += (work - target.meanServiceTime) / 10;
    }
    startNext(target);
    respond(index, false);
}

void Simulation::respond(uint32_t index, bool isRefused)
{
    auto& call = m_calls[index];
    call.isRefused = isRefused;
    call.load = report(m_targets[call.target]);
    push(m_now + oneWay(call), EventKind::Answer, index);
}

void Simulation::restart(uint32_t index)
{
    auto& target = m_targets[index];
    if (!target.isDraining) {
        // Refuses new calls at once; senders learn it by gossip later.
        target.isDraining = true;
        target.record.state = TargetState::Draining;
        push(m_now + gossipDelay, EventKind::Gossip, 0);
        push(m_now + gossipDelay + restartTime, EventKind::Restart, index);
        return;
    }
    target.isDraining = false;
    target.record.id.node = NodeId { m_nextNode++ };
    target.record.state = TargetState::Ready;
    target.record.firstSeen = m_now;
    target.coldSince = m_now;
    push(m_now, EventKind::Gossip, 0);
}

} // namespace Berylport::PolicyBenchmark
