// Maintains the lists of usable targets; implements the selection policies, ejection and readmission.
#include "Routing/TargetSelector.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Berylport {

namespace {

// Weight of the latest report in the service's mean load.
constexpr double meanLoadSmoothing = 0.05;
// Weight of the latest answer in the mean latencies of the service and of its routes.
constexpr double meanTimeSmoothing = 0.02;
// Bounds the memory for per-route statistics. Routes come from the operators' configuration; latencies of routes beyond
// this number are not normalised.
constexpr size_t maximumRoutes = 512;
// Random draws before falling back to a linear search; reached only if nearly all of a long list is excluded.
constexpr int maximumDraws = 8;

} // namespace

std::string_view toText(const SelectionPolicy& policy)
{
    return std::visit(Overloaded {
                          [](const FreshLoad&) { return std::string_view("fresh-load"); },
                          [](const RandomChoice&) { return std::string_view("random"); },
                          [](const RoundRobin&) { return std::string_view("round-robin"); },
                          [](const LeastReported&) { return std::string_view("least-reported"); },
                          [](const TwoChoices&) { return std::string_view("two-choices"); },
                      },
        policy);
}

TargetSelector::TargetSelector(RoutingOptions options)
    : m_options(std::move(options))
{
}

TargetView TargetSelector::makeView(const TargetRecord& record) const
{
    TargetView view;
    view.record = record;
    if (record.region != m_options.region) {
        view.group = ZoneGroup::Remote;
    } else if (record.zone != m_options.zone) {
        view.group = ZoneGroup::Region;
        auto it = m_options.zoneRoundTrips.find(record.zone);
        view.extraRoundTrip = it == m_options.zoneRoundTrips.end() ? m_options.otherZoneRoundTrip : it->second;
    }
    return view;
}

void TargetSelector::mergeRecord(TargetView& view, const TargetRecord& record, Instant now)
{
    auto fresh = makeView(record);
    if (view.record.state != TargetState::Ready && record.state == TargetState::Ready)
        view.rampStart = now;
    if (record.state != TargetState::Ready) {
        view.unavailableUntil.reset();
        view.isUnreachable = false;
    }
    view.record = record;
    view.group = fresh.group;
    view.extraRoundTrip = fresh.extraRoundTrip;
}

void TargetSelector::updateTargets(std::span<const TargetRecord> records, Instant now)
{
    bool isFirst = m_views.empty();
    std::vector<TargetView> views;
    views.reserve(records.size());
    std::unordered_map<TargetId, uint32_t> index;
    for (const auto& record : records) {
        if (!index.emplace(record.id, views.size()).second)
            continue;
        if (auto* known = find(record.id)) {
            mergeRecord(*known, record, now);
            views.push_back(std::move(*known));
            continue;
        }
        views.push_back(makeView(record));
        if (!isFirst)
            views.back().rampStart = record.firstSeen;
    }
    m_views = std::move(views);
    m_index = std::move(index);
    rebuildGroups(now);
}

void TargetSelector::rebuildGroups(Instant now)
{
    size_t alive = 0;
    m_readyCount = 0;
    m_ejectedCount = 0;
    for (const auto& view : m_views) {
        if (view.record.state != TargetState::Ready)
            continue;
        ++m_readyCount;
        alive += !view.record.isSuspect;
        m_ejectedCount += view.ejectedUntil.has_value();
    }
    m_includesSuspects = static_cast<double>(alive) < m_options.alivePanicThreshold * static_cast<double>(m_readyCount);
    fillGroups();
    readmitAbovePanicThreshold(now);
    includeSuspectsIfNoneUsable();
}

void TargetSelector::fillGroups()
{
    for (auto& group : m_groups)
        group.clear();
    for (uint32_t n = 0; n < m_views.size(); ++n) {
        m_views[n].position.reset();
        if (isUsable(m_views[n]))
            addToGroup(n);
    }
}

// Ejection and suspicion together could exclude every target. Remains in effect until the next update of the targets.
void TargetSelector::includeSuspectsIfNoneUsable()
{
    if (m_includesSuspects || !m_readyCount || usableCount())
        return;
    m_includesSuspects = true;
    fillGroups();
}

bool TargetSelector::isUsable(const TargetView& view) const
{
    if (view.record.state != TargetState::Ready || view.ejectedUntil || view.unavailableUntil)
        return false;
    return m_includesSuspects || !view.record.isSuspect;
}

void TargetSelector::addToGroup(uint32_t index)
{
    auto& group = m_groups[static_cast<size_t>(m_views[index].group)];
    m_views[index].position = static_cast<uint32_t>(group.size());
    group.push_back(index);
}

void TargetSelector::removeFromGroup(uint32_t index)
{
    auto& view = m_views[index];
    if (!view.position)
        return;
    auto& group = m_groups[static_cast<size_t>(view.group)];
    group[*view.position] = group.back();
    m_views[group.back()].position = view.position;
    group.pop_back();
    view.position.reset();
}

size_t TargetSelector::usableCount() const
{
    size_t count = 0;
    for (const auto& group : m_groups)
        count += group.size();
    return count;
}

TargetView* TargetSelector::find(const TargetId& target)
{
    auto it = m_index.find(target);
    return it == m_index.end() ? nullptr : &m_views[it->second];
}

const TargetView* TargetSelector::view(const TargetId& target) const
{
    auto it = m_index.find(target);
    return it == m_index.end() ? nullptr : &m_views[it->second];
}

bool TargetSelector::isEjected(const TargetId& target) const
{
    const auto* known = view(target);
    return known && known->ejectedUntil;
}

std::optional<Selection> TargetSelector::select(Instant now, Random& random, std::span<const TargetId> excluded)
{
    readmitDue(now);
    auto own = pick(m_groups[0], now, random, excluded);
    auto ownTime = own ? expectedTime(*own, now) : std::nullopt;
    if (own && !ownTime)
        return makeSelection(own->index);
    auto other = pick(m_groups[1], now, random, excluded);
    if (own && other)
        return makeSelection(
            m_options.otherZoneFactor * *expectedTime(*other, now) < *ownTime ? other->index : own->index);
    if (own || other)
        return makeSelection(own ? own->index : other->index);
    if (auto remote = pick(m_groups[2], now, random, excluded))
        return makeSelection(remote->index);
    return std::nullopt;
}

std::optional<Selection> TargetSelector::selectLastResort(Instant now, std::span<const TargetId> excluded) const
{
    // Prefers ejected targets, which answer late, to unreachable ones, which most likely do not answer at all.
    auto rank = [&](uint32_t n) { return std::pair(m_views[n].isUnreachable, expectedTimeWithoutPenalty(n, now)); };
    std::optional<uint32_t> best;
    for (uint32_t n = 0; n < m_views.size(); ++n) {
        const auto& view = m_views[n];
        bool isLeftOut = view.isUnreachable || (view.ejectedUntil && !view.unavailableUntil);
        if (view.record.state != TargetState::Ready || !isLeftOut || isExcluded(n, excluded))
            continue;
        if (!best || rank(n) < rank(*best))
            best = n;
    }
    return best ? std::optional(makeSelection(*best)) : std::nullopt;
}

std::optional<double> TargetSelector::expectedTime(const Candidate& candidate, Instant now) const
{
    if (std::holds_alternative<RandomChoice>(m_options.policy) || std::holds_alternative<RoundRobin>(m_options.policy))
        return std::nullopt;
    return candidate.penalty * expectedTimeWithoutPenalty(candidate.index, now);
}

double TargetSelector::expectedTimeWithoutPenalty(uint32_t index, Instant now) const
{
    const auto& view = m_views[index];
    if (const auto* fresh = std::get_if<FreshLoad>(&m_options.policy))
        return view.expectedMicroseconds(m_options, *fresh, means(), now);
    // The other policies use the latest report regardless of its age.
    auto serviceTime = std::max(view.load.serviceTime, Duration(1));
    double slots = std::max<double>(view.record.slots, 1);
    double waiting = std::max(0.0, view.reportedLoad() + 1 - slots) / slots;
    return static_cast<double>(serviceTime.count()) * (1 + waiting) + static_cast<double>(view.extraRoundTrip.count());
}

std::optional<TargetSelector::Candidate> TargetSelector::pick(
    const Indices& group, Instant now, Random& random, std::span<const TargetId> excluded)
{
    if (group.empty())
        return std::nullopt;
    auto reported = [&](uint32_t n) { return m_views[n].reportedLoad() + 1; };
    ServiceMeans means = this->means();
    return std::visit(Overloaded {
                          [&](const FreshLoad& policy) {
                              return pickBest(group, policy.candidates, now, random, excluded, [&](uint32_t n) {
                                  return m_views[n].expectedMicroseconds(m_options, policy, means, now);
                              });
                          },
                          [&](const RandomChoice&) { return drawByWeight(group, now, random, excluded); },
                          [&](const RoundRobin&) { return pickRoundRobin(group, now, random, excluded); },
                          [&](const LeastReported& policy) {
                              return pickBest(group, policy.candidates, now, random, excluded, reported);
                          },
                          [&](const TwoChoices&) { return pickBest(group, 2, now, random, excluded, reported); },
                      },
        m_options.policy);
}

std::optional<TargetSelector::Candidate> TargetSelector::pickRoundRobin(
    const Indices& group, Instant now, Random& random, std::span<const TargetId> excluded)
{
    std::optional<Candidate> last;
    // At most two rounds, so that a group in which all targets are in slow start still yields one.
    for (size_t n = 0; n < 2 * group.size() && n < 2 * maximumDraws + excluded.size(); ++n) {
        uint32_t index = group[m_roundRobinCursor++ % group.size()];
        if (isExcluded(index, excluded))
            continue;
        last = Candidate { index };
        if (random.chance(m_views[index].weight(m_options, now)))
            return last;
    }
    return last;
}

template <typename Score>
std::optional<TargetSelector::Candidate> TargetSelector::pickBest(const Indices& group, uint32_t candidates,
    Instant now, Random& random, std::span<const TargetId> excluded, Score&& score)
{
    std::optional<Candidate> best;
    double bestScore = std::numeric_limits<double>::infinity();
    auto consider = [&](uint32_t index) {
        double weight = m_views[index].weight(m_options, now);
        bool passesSlowStart = weight >= 1 || random.chance(weight);
        double penalty = passesSlowStart ? 1 : m_options.slowStartPenalty;
        double value = penalty * score(index);
        if (best && value >= bestScore)
            return;
        best = Candidate { index, penalty };
        bestScore = value;
    };
    if (group.size() <= candidates) {
        // Starts at a random index to break ties evenly.
        size_t start = random.below(group.size());
        for (size_t n = 0; n < group.size(); ++n) {
            uint32_t index = group[(start + n) % group.size()];
            if (!isExcluded(index, excluded))
                consider(index);
        }
        return best;
    }
    for (uint32_t n = 0; n < candidates; ++n) {
        if (auto index = drawCandidate(group, random, excluded))
            consider(*index);
    }
    return best;
}

std::optional<uint32_t> TargetSelector::drawCandidate(
    const Indices& group, Random& random, std::span<const TargetId> excluded) const
{
    for (int n = 0; n < maximumDraws; ++n) {
        uint32_t index = group[random.below(group.size())];
        if (!isExcluded(index, excluded))
            return index;
    }
    for (uint32_t index : group) {
        if (!isExcluded(index, excluded))
            return index;
    }
    return std::nullopt;
}

std::optional<TargetSelector::Candidate> TargetSelector::drawByWeight(
    const Indices& group, Instant now, Random& random, std::span<const TargetId> excluded) const
{
    std::optional<Candidate> last;
    for (int n = 0; n < maximumDraws; ++n) {
        auto index = drawCandidate(group, random, excluded);
        if (!index)
            return std::nullopt;
        last = Candidate { *index };
        if (random.chance(m_views[*index].weight(m_options, now)))
            return last;
    }
    return last;
}

bool TargetSelector::isExcluded(uint32_t index, std::span<const TargetId> excluded) const
{
    return std::find(excluded.begin(), excluded.end(), m_views[index].record.id) != excluded.end();
}

Selection TargetSelector::makeSelection(uint32_t index) const
{
    const auto& view = m_views[index];
    return { .target = view.record.id, .group = view.group, .extraRoundTrip = view.extraRoundTrip };
}

void TargetSelector::recordSend(const TargetId& target, Instant now)
{
    if (auto* view = find(target)) {
        if (!view->outstanding)
            view->silentSince = now;
        ++view->outstanding;
        ++view->sentSinceReport;
    }
}

void TargetSelector::decrementOutstanding(TargetView& view)
{
    if (view.outstanding)
        --view.outstanding;
}

void TargetSelector::recordLoad(TargetView& view, const LoadReport& load, Instant now)
{
    view.applyReport(load, now);
    view.silentSince = now;
    // A target whose request limit lets no call start has no room, however few calls it runs.
    if (load.startWait <= Duration::zero())
        m_meanLoad += meanLoadSmoothing * (view.reportedLoad() - m_meanLoad);
}

void TargetSelector::MeanTime::add(double sample)
{
    ++samples;
    value += std::max(meanTimeSmoothing, 1.0 / samples) * (sample - value);
}

void TargetSelector::recordRouteTime(std::string_view route, Duration latency)
{
    if (route.empty())
        return;
    auto it = m_routeMeanTimes.find(route);
    if (it == m_routeMeanTimes.end() && m_routeMeanTimes.size() < maximumRoutes)
        it = m_routeMeanTimes.emplace(std::string(route), MeanTime {}).first;
    if (it == m_routeMeanTimes.end())
        return;
    it->second.add(static_cast<double>(latency.count()));
    m_serviceMeanTime.add(static_cast<double>(latency.count()));
}

// Scales the latency to that of the service's average call. Latency varies more between routes than between targets, so
// without this the scores would reflect which routes a target has served lately rather than its speed.
Duration TargetSelector::normalizeForRoute(std::string_view route, Duration latency) const
{
    auto it = m_routeMeanTimes.find(route);
    if (it == m_routeMeanTimes.end())
        return latency;
    double factor = m_serviceMeanTime.value / std::max(it->second.value, 1.0);
    return Duration(std::llround(static_cast<double>(latency.count()) * factor));
}

void TargetSelector::recordReply(
    const TargetId& target, const LoadReport& load, const ObservedAnswer& answer, Instant now)
{
    auto* view = find(target);
    if (!view)
        return;
    decrementOutstanding(*view);
    recordLoad(*view, load, now);
    if (answer.hasFailed) {
        addFailure(*view, now);
        return;
    }
    auto local = std::max(answer.latency - view->extraRoundTrip, Duration::zero());
    recordRouteTime(answer.route, local);
    local = normalizeForRoute(answer.route, local);
    view->hasRoutes = !answer.route.empty();
    m_latencies.add(local);
    view->addLatency(m_options, local);
    ejectIfOutlier(*view, now);
}

void TargetSelector::recordRefusal(const TargetId& target, const LoadReport& load, Instant now)
{
    auto* view = find(target);
    if (!view)
        return;
    decrementOutstanding(*view);
    recordLoad(*view, load, now);
}

void TargetSelector::recordUnavailable(const TargetId& target, Instant now)
{
    auto* view = find(target);
    if (!view)
        return;
    view->isUnreachable = false;
    excludeUntil(*view, now + m_options.unavailableRetryDelay);
}

void TargetSelector::excludeUntil(TargetView& view, Instant until)
{
    if (view.unavailableUntil >= until)
        return;
    view.unavailableUntil = until;
    m_readmissions.push({ until, view.record.id });
    removeFromGroup(m_index.at(view.record.id));
    includeSuspectsIfNoneUsable();
}

void TargetSelector::endUnavailability(TargetView& view)
{
    view.unavailableUntil.reset();
    view.isUnreachable = false;
    if (isUsable(view) && !view.position)
        addToGroup(m_index.at(view.record.id));
}

void TargetSelector::recordLoss(const TargetId& target, Instant now)
{
    auto* view = find(target);
    if (!view)
        return;
    decrementOutstanding(*view);
    addFailure(*view, now);
}

void TargetSelector::recordSendFailure(const TargetId& target, Instant now)
{
    recordLoss(target, now);
    auto* view = find(target);
    if (!view)
        return;
    view->isUnreachable = !view->unavailableUntil || view->isUnreachable;
    excludeUntil(*view, now + m_options.unreachableRetryDelay);
}

void TargetSelector::recordCancellation(const TargetId& target, std::string_view route, Duration waited, Instant now)
{
    auto* view = find(target);
    if (!view)
        return;
    decrementOutstanding(*view);
    auto local = normalizeForRoute(route, waited - view->extraRoundTrip);
    if (local <= view->latency)
        return;
    view->addLatency(m_options, local);
    ejectIfOutlier(*view, now);
}

void TargetSelector::addFailure(TargetView& view, Instant now)
{
    const auto& ejection = m_options.ejection;
    auto penalty
        = Duration(std::llround(ejection.failurePenaltyFactor * static_cast<double>(m_latencies.median().count())));
    view.addLatency(m_options, std::max(penalty, ejection.failurePenaltyFloor));
    ejectIfOutlier(view, now);
}

bool TargetSelector::isOutlier(const TargetView& view) const
{
    const auto& ejection = m_options.ejection;
    if (!m_latencies.isKnown() || view.answers < ejection.minimumAnswers)
        return false;
    auto median = m_latencies.median();
    return static_cast<double>(view.latency.count()) > ejection.latencyFactor * static_cast<double>(median.count())
        && view.latency > median + ejection.latencyMargin;
}

bool TargetSelector::mayEjectOneMore() const
{
    auto limit = m_options.ejection.maximumShare * static_cast<double>(m_readyCount);
    return static_cast<double>(m_ejectedCount + 1) <= limit;
}

void TargetSelector::ejectIfOutlier(TargetView& view, Instant now)
{
    if (view.position && isOutlier(view) && mayEjectOneMore())
        eject(view, now);
}

void TargetSelector::eject(TargetView& view, Instant now)
{
    const auto& ejection = m_options.ejection;
    auto forgiven = (now - view.lastEjection) / ejection.ejectionCountDecayPeriod;
    view.ejections -= static_cast<uint32_t>(std::min<int64_t>(forgiven, view.ejections));
    auto ejectionTime = std::min(std::exp2(view.ejections) * static_cast<double>(ejection.baseTime.count()),
        static_cast<double>(ejection.maximumTime.count()));
    double jitter = 1 + ejection.jitterShare * (2 * m_jitter.unit() - 1);
    ++view.ejections;
    view.lastEjection = now;
    view.ejectedUntil = now + Duration(std::llround(ejectionTime * jitter));
    m_readmissions.push({ *view.ejectedUntil, view.record.id });
    ++m_ejectedCount;
    removeFromGroup(m_index.at(view.record.id));
    includeSuspectsIfNoneUsable();
}

void TargetSelector::readmitDue(Instant now)
{
    while (!m_readmissions.empty() && m_readmissions.top().time <= now) {
        auto due = m_readmissions.top();
        m_readmissions.pop();
        auto* view = find(due.target);
        // Stale entry unless the times match: the target may have been removed, or readmitted and ejected again, since.
        if (view && view->unavailableUntil == due.time)
            endUnavailability(*view);
        if (view && view->ejectedUntil == due.time)
            readmit(*view, now);
    }
}

void TargetSelector::readmit(TargetView& view, Instant now)
{
    view.ejectedUntil.reset();
    // The target is already warm, so only the last part of slow start is applied.
    view.rampStart = now - m_options.slowStart + m_options.ejection.readmissionRamp;
    // Only answers from now on decide about a further ejection.
    view.answers = 0;
    view.latency = {};
    view.longTermLatency = {};
    if (view.record.state == TargetState::Ready)
        --m_ejectedCount;
    if (isUsable(view) && !view.position)
        addToGroup(m_index.at(view.record.id));
}

void TargetSelector::readmitAbovePanicThreshold(Instant now)
{
    auto limit = m_options.ejection.maximumShare * static_cast<double>(m_readyCount);
    for (auto& view : m_views) {
        if (static_cast<double>(m_ejectedCount) <= limit)
            return;
        if (view.ejectedUntil && view.record.state == TargetState::Ready)
            readmit(view, now);
    }
}

} // namespace Berylport
