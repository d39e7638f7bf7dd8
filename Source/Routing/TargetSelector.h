// Selects a target of one service for each attempt, based on what this sender has observed.
#pragma once

#include "Base/CallMessages.h"
#include "Base/Random.h"
#include "Base/TargetRecord.h"
#include "Routing/LatencyEstimate.h"
#include "Routing/RoutingOptions.h"
#include "Routing/TargetView.h"

#include <array>
#include <map>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Berylport {

struct Selection {
    TargetId target;
    ZoneGroup group { ZoneGroup::Own };
    Duration extraRoundTrip {};
};

struct ObservedAnswer {
    Duration latency {};
    bool hasFailed { false };
    // Empty for services without routes.
    std::string_view route {};
};

class TargetSelector {
public:
    explicit TargetSelector(RoutingOptions);

    // Replaces the target list. Targets of the first update skip slow start, as they existed before this sender.
    void updateTargets(std::span<const TargetRecord>, Instant now);
    std::optional<Selection> select(Instant now, Random&, std::span<const TargetId> excluded);

    // Selects an ejected or unreachable target for a call for which no usable target is left.
    std::optional<Selection> selectLastResort(Instant now, std::span<const TargetId> excluded) const;

    void recordSend(const TargetId&, Instant now);
    void recordReply(const TargetId&, const LoadReport&, const ObservedAnswer&, Instant now);
    void recordRefusal(const TargetId&, const LoadReport&, Instant now);
    // The target's node refuses all calls for it, which membership has not reported yet.
    void recordUnavailable(const TargetId&, Instant now);
    // The response was lost. Counts as a failure.
    void recordLoss(const TargetId&, Instant now);
    // No byte could be sent. Counts as a failure and excludes the target for unreachableRetryDelay.
    void recordSendFailure(const TargetId&, Instant now);
    // The sender stopped waiting after this time, a lower bound on the latency: recorded only if it raises the average.
    void recordCancellation(const TargetId&, std::string_view route, Duration waited, Instant now);

    size_t readyCount() const { return m_readyCount; }
    size_t usableCount() const;
    size_t ejectedCount() const { return m_ejectedCount; }
    bool isEjected(const TargetId&) const;
    // Null when the target is not known.
    const TargetView* view(const TargetId&) const;
    Duration median() const { return m_latencies.median(); }
    // Moving average of the running and queued calls over the reports of all targets.
    double meanLoad() const { return m_meanLoad; }
    ServiceMeans means() const
    {
        return { .load = m_meanLoad, .answerTime = m_latencies.isKnown() ? m_latencies.median() : Duration() };
    }

private:
    using Indices = std::vector<uint32_t>;
    struct Candidate {
        uint32_t index { 0 };
        // Factor on its expected time; above 1 for a target in slow start that lost the draw against its weight.
        double penalty { 1 };
    };
    struct Readmission {
        Instant time;
        TargetId target;
        bool operator<(const Readmission& other) const { return time > other.time; }
    };

    TargetView makeView(const TargetRecord&) const;
    void mergeRecord(TargetView&, const TargetRecord&, Instant now);
    void rebuildGroups(Instant now);
    void fillGroups();
    void includeSuspectsIfNoneUsable();
    bool isUsable(const TargetView&) const;
    void addToGroup(uint32_t index);
    void removeFromGroup(uint32_t index);

    TargetView* find(const TargetId&);
    void decrementOutstanding(TargetView&);
    void recordRouteTime(std::string_view route, Duration latency);
    Duration normalizeForRoute(std::string_view route, Duration latency) const;
    void addFailure(TargetView&, Instant now);
    void recordLoad(TargetView&, const LoadReport&, Instant now);
    void ejectIfOutlier(TargetView&, Instant now);
    bool isOutlier(const TargetView&) const;
    bool mayEjectOneMore() const;
    void eject(TargetView&, Instant now);
    void readmitDue(Instant now);
    void readmit(TargetView&, Instant now);
    void excludeUntil(TargetView&, Instant until);
    void endUnavailability(TargetView&);
    void readmitAbovePanicThreshold(Instant now);

    std::optional<Candidate> pick(const Indices&, Instant now, Random&, std::span<const TargetId> excluded);
    std::optional<Candidate> pickRoundRobin(const Indices&, Instant now, Random&, std::span<const TargetId> excluded);
    template <typename Score>
    std::optional<Candidate> pickBest(
        const Indices&, uint32_t candidates, Instant now, Random&, std::span<const TargetId> excluded, Score&&);
    std::optional<uint32_t> drawCandidate(const Indices&, Random&, std::span<const TargetId> excluded) const;
    std::optional<Candidate> drawByWeight(
        const Indices&, Instant now, Random&, std::span<const TargetId> excluded) const;
    bool isExcluded(uint32_t index, std::span<const TargetId> excluded) const;
    // Expected time of a call under the policy; empty for a policy that ignores load.
    std::optional<double> expectedTime(const Candidate&, Instant now) const;
    double expectedTimeWithoutPenalty(uint32_t index, Instant now) const;
    Selection makeSelection(uint32_t index) const;

    RoutingOptions m_options;
    std::vector<TargetView> m_views;
    std::unordered_map<TargetId, uint32_t> m_index;
    // Usable targets by ZoneGroup; TargetView::position is the index in the list.
    std::array<Indices, 3> m_groups;
    size_t m_readyCount { 0 };
    size_t m_ejectedCount { 0 };
    bool m_includesSuspects { false };
    uint32_t m_roundRobinCursor { 0 };
    // Moving average of the reported load over all targets; the estimate for targets with old reports tends to it.
    double m_meanLoad { 0 };
    LatencyEstimate m_latencies;
    // Moving averages of the latency in microseconds, for all calls with a route and per route.
    struct MeanTime {
        double value { 0 };
        uint32_t samples { 0 };
        void add(double sample);
    };
    MeanTime m_serviceMeanTime;
    std::map<std::string, MeanTime, std::less<>> m_routeMeanTimes;
    std::priority_queue<Readmission> m_readmissions;
    // Jitter of readmission times. Independent of the Random given to select(), so that replies do not change that
    // sequence.
    Random m_jitter { 1 };
};

} // namespace Berylport
