// Decides for one target which calls start, wait, or are refused. All calls to the target are started by it.
#pragma once

#include "Admission/AdmissionAction.h"
#include "Admission/CallLedger.h"
#include "Admission/CallQueue.h"
#include "Admission/ColdLimiter.h"
#include "Admission/ConcurrencyLimit.h"
#include "Admission/LoadIntegrator.h"
#include "Admission/PauseGate.h"
#include "Admission/RequestLimiter.h"
#include "Admission/ServiceTimeEstimator.h"
#include "Admission/TenantTable.h"
#include "Base/Base.h"

#include <optional>
#include <unordered_map>

namespace Berylport {

struct AdmissionOptions {
    NodeId self {};
    ServiceName service {};
    uint16_t slots { 10 };
    Duration warmUp { std::chrono::seconds(10) };
    // Bodies of queued requests; at 1 MiB a request the queue limit alone would allow gigabytes.
    size_t maximumQueuedBytes { 32 * 1024 * 1024 };
    LedgerOptions ledger {};
    // Start of the node's process; see ColdLimiter. The zero instant if no process preceded it.
    Instant processStart {};
    // Enables the adaptive concurrency limit: runs fewer calls at once than slots where that raises throughput.
    bool adaptsConcurrency { false };
    // A VM slower than its long-term mean by this factor refuses calls that the sender may send to another target.
    double slowFactor { 1.5 };
    // A target that cannot start a call refuses calls that the sender may send to another target if the targets of the
    // service have free slots on average and its load exceeds that average by this factor. If all targets are full none
    // refuses them for this reason, so an overload causes no further messages.
    double overloadFactor { 1.25 };
};

// Load as the target itself reports it.
struct ReportedLoad {
    uint16_t running { 0 };
    uint16_t waiting { 0 };
    uint16_t slots { 0 };
    // How long work takes on its VM at present; 100 is its usual speed, zero is unknown.
    uint16_t slownessPercent { 0 };
    bool operator==(const ReportedLoad&) const = default;
};

// What a nested call inherits from its parent.
struct NestedCallBudget {
    Instant deadline;
    uint32_t retryTokens { 0 };
    uint32_t depth { 0 };
};

class AdmissionController {
public:
    // The target begins as Starting and without a definition; both refuse calls.
    explicit AdmissionController(AdmissionOptions);
    // The queue refers to the tenant table beside it.
    AdmissionController(const AdmissionController&) = delete;
    AdmissionController& operator=(const AdmissionController&) = delete;

    void setDefinition(const ServiceDefinition&);
    void setSlots(Instant now, uint16_t slots, AdmissionActions&);
    void setTargetState(Instant now, TargetState, AdmissionActions&);
    // Sets the end of the warm-up that the target itself announces.
    void setWarmUpEnd(Instant until) { m_warmUntil = until; }
    void recordReportedLoad(Instant now, const ReportedLoad&);
    // The target named this limit of requests per second, or none, in its answer to a request sent at the given time.
    // Returns whether the limit changed.
    bool recordRequestLimit(Instant now, std::optional<double> limit, Instant sentAt, AdmissionActions&);
    // A request to the target that is not a call, such as a health probe, counts towards its limit.
    void recordProbe(Instant now) { m_limiter.recordStart(now); }
    // The target is another process, which has named no limit yet.
    void resetRequestLimit() { m_limiter.reset(); }
    const RequestLimiter& requestLimiter() const { return m_limiter; }
    // Bound of the requests that a cold target gets; see ColdLimiter. Changes take effect with the next tick.
    ColdLimiter& coldLimiter() { return m_coldLimiter; }
    const ColdLimiter& coldLimiter() const { return m_coldLimiter; }
    // Starts that had to wait for the bound of a cold target although a slot was free.
    uint64_t coldDelays() const { return m_coldDelays; }
    // The node shuts down: new calls are refused from now on, regardless of the target's state.
    void drain(Instant now, AdmissionActions&);
    // Operators have evacuated the zone, or have taken that back. Running calls continue.
    void setZoneEvacuated(Instant now, bool isEvacuated, AdmissionActions&);
    // While the node's configuration may be older than an accepted one, new calls are refused; admitted calls continue.
    void setConfigurationConfirmed(bool isConfirmed) { m_isConfirmed = isConfirmed; }

    // Registers the link with the pause gate. A link that opens while starts are held has to be pinged as well.
    void linkOpened(LinkId);
    // Cancels idempotent calls without a remaining requester; other calls continue.
    void linkClosed(Instant now, LinkId, AdmissionActions&);
    // Holds all starts. Each link is then pinged with the returned number, which linkConfirmed hands back.
    uint64_t pauseDetected(Instant now, AdmissionActions&);
    void linkConfirmed(Instant now, LinkId, uint64_t pause, AdmissionActions&);

    // The drain timeout has passed, or the node's task restarts: all queued and running calls get their final reply.
    void stop(Instant now, AdmissionActions&);

    void offer(Instant now, LinkId, CallRequest, AdmissionActions&);
    void cancel(Instant now, const CallCancel&, AdmissionActions&);
    void query(Instant now, LinkId, const CallQuery&, AdmissionActions&);

    void targetAnswered(Instant now, const AttemptId&, HttpResponse, AdmissionActions&);
    // Some of the request may have reached the target. targetEnd as in CallLost.
    void targetLost(Instant now, const AttemptId&, LossReason, AdmissionActions&, uint64_t targetEnd = 0);
    // No byte of the request was sent.
    void targetNotReached(Instant now, const AttemptId&, AdmissionActions&);

    // The target has answered that it did not run the request and will not.
    void targetRefused(Instant now, const AttemptId&, AdmissionActions&);

    void tick(Instant now, AdmissionActions&);
    // When tick has something to do, unless another input comes first.
    std::optional<Instant> nextWake() const;

    Result<NestedCallBudget, RefusalReason> findNestedCallBudget(Instant now, const CallId&) const;
    // Takes up to the given number from the running parent for a nested call; returns how many.
    uint32_t takeRetryTokens(const CallId& parent, uint32_t wanted);
    void returnRetryTokens(const CallId& parent, uint32_t unused);

    bool isDrained() const { return !m_running && m_queue.isEmpty(); }
    bool areStartsHeld() const { return !m_pauseGate.isOpen(); }
    LoadReport load(Instant now) const;
    // The zero instant when nothing runs.
    Instant latestRunningDeadline() const;
    const CallLedger& ledger() const { return m_ledger; }

private:
    RequestKind effectiveKind(const CallRequest&) const;
    RequestKind retentionKind() const { return m_definition ? m_definition->kind : RequestKind::AtMostOnce; }
    std::optional<RefusalReason> findRefusal(Instant now, const CallRequest&) const;
    std::optional<RefusalReason> findStateRefusal() const;
    bool isVmSlow() const;
    bool isBusierThanOthers(Instant now, const CallRequest&) const;
    bool isServiceRateKnown(Instant now) const;
    bool wouldMissDeadline(Instant now, const CallRequest&) const;
    static bool hasObjective(const CallRequest&);
    // Whether the call can be answered within its objective behind those that wait.
    bool canMeetObjective(Instant now, const CallRequest&) const;
    Duration expectedServiceTime(Instant now, const CallRequest&) const;
    Duration conservativeServiceTime(Instant now, const CallRequest&) const;
    Duration serviceTimeAtLimit(Instant now, Duration timeAtFullSpeed) const;
    Duration estimateWaitForSlots(size_t calls) const;
    // Time until the given number of further calls may have started.
    Duration estimateQueueWait(Instant now, size_t calls) const;
    // Mean time between two starts while calls wait.
    Duration startInterval(Instant now) const;
    // Calls that may run at once.
    uint16_t limit() const;
    std::optional<RefusalReason> reserveQueuePosition(Instant now, const CallRequest&, AdmissionActions&);
    uint32_t fairShare(const TenantName&) const;
    void admit(Instant now, LinkId, CallRequest, AdmissionActions&);
    // A slot is free for another call, whether or not the limits below let one start.
    bool canRunMore() const;
    // The request limit, and the bound while the target is cold.
    bool doLimitsAllowStart(Instant now) const { return m_limiter.mayStart(now) && m_coldLimiter.mayStart(now); }
    Duration waitForLimits(size_t calls, Instant now) const;
    bool canStart(Instant now) const;
    void startQueued(Instant now, AdmissionActions&);
    void startOrRefuse(Instant now, CallRequest, AdmissionActions&);
    void start(Instant now, LedgerEntry&, CallRequest, AdmissionActions&);
    void refuseExpired(Instant now, AdmissionActions&);
    void refuseAllQueued(Instant now, RefusalReason, AdmissionActions&);
    void refuse(Instant now, LedgerEntry&, RefusalReason, AdmissionActions&);
    void refuseNew(Instant now, LinkId, const CallRequest&, RefusalReason, AdmissionActions&);
    void cancelAttempt(Instant now, LedgerEntry&, AdmissionActions&);
    // Frees the slot of a running attempt; null when it is not running.
    LedgerEntry* releaseSlot(Instant now, const AttemptId&);
    // Feeds the concurrency limit with a run that is about to end.
    void recordRun(Instant now, const AttemptId&, uint16_t status);
    Duration retryAfter(Instant now, RefusalReason);
    CallRefused makeRefusal(Instant now, const AttemptId&, RefusalReason);
    CallReply makeReply(Instant now, const AttemptId& requestedId, const LedgerEntry&);
    CallReply makeReply(Instant now, const AttemptId& requestedId, const LedgerLookup&);

    AdmissionOptions m_options;
    std::optional<ServiceDefinition> m_definition;
    TargetState m_state { TargetState::Starting };
    bool m_isNodeDraining { false };
    bool m_isConfirmed { true };
    // Nothing waits while set.
    bool m_isZoneEvacuated { false };
    uint16_t m_slots;
    // Equal to the number of ledger entries that are running.
    uint32_t m_running { 0 };
    Instant m_warmUntil;
    ServiceTimeEstimator m_serviceTime;
    // Zero while the target has not reported any.
    uint16_t m_slownessPercent { 0 };
    TenantTable m_tenants;
    CallQueue m_queue;
    // Retry time given to the most recently refused caller; the next one gets a later time.
    Instant m_nextRetryAt;
    ConcurrencyLimit m_concurrency;
    LoadIntegrator m_loadIntegrator;
    struct RunningCall {
        std::string route;
        LoadIntegrator::Snapshot startSnapshot;
        // Itself included.
        uint32_t runningAtStart { 0 };
        Instant deadline;
    };
    // Every running attempt.
    std::unordered_map<AttemptId, RunningCall> m_runningCalls;
    PauseGate m_pauseGate;
    RequestLimiter m_limiter;
    ColdLimiter m_coldLimiter;
    uint64_t m_coldDelays { 0 };
    CallLedger m_ledger;
};

} // namespace Berylport
