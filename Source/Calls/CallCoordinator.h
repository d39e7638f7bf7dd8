// Client side of every call that enters at this node: attempts, retries, hedges, status queries, deadlines and outcome.
#pragma once

#include "Calls/CallActions.h"
#include "Calls/CallOptions.h"
#include "Calls/PendingCall.h"
#include "Calls/ServiceTable.h"

#include <unordered_map>

namespace Berylport {

// Every event handler first runs the timers that are due, so no caller gets an answer after its deadline.
class CallCoordinator {
public:
    struct Counters {
        uint64_t calls { 0 };
        uint64_t attempts { 0 };
        uint64_t retries { 0 };
        uint64_t hedges { 0 };
        uint64_t redispatches { 0 };
        uint64_t queries { 0 };
        // Replies for a call or an attempt that had already ended.
        uint64_t droppedReplies { 0 };
        // Extra attempts rejected by a budget.
        uint64_t budgetRefusals { 0 };
    };

    explicit CallCoordinator(CallOptions);

    // Replaces the target lists of all services.
    void updateTargets(std::span<const TargetRecord>, Instant now);
    void startCall(StartCall, Instant now, CallActions&);
    void replyArrived(const CallReply&, Instant now, CallActions&);
    // The attempt could not be sent: no byte of it left this node.
    void sendFailed(const AttemptId&, Instant now, CallActions&);
    // The connection to that node broke; every attempt waiting there may be lost.
    void linkLost(NodeId, Instant now, CallActions&);
    void queryAnswered(const QueryReply&, Instant now, CallActions&);
    // The query could not be sent or its connection broke; the query timer sends it again.
    void queryFailed(const AttemptId&, Instant now, CallActions&);
    // The process with this node id has ended; a restarted one has a new id.
    void nodeTerminated(NodeId, Instant now, CallActions&);
    void callerDisconnected(const CallId&, Instant now, CallActions&);
    // From now on no call gets a further attempt.
    void stopRetries() { m_mayRetry = false; }
    // The process ends: every pending call gets its final answer.
    void endCalls(Instant now, CallActions&);
    void tick(Instant now, CallActions&);
    // Time at which tick() is due; empty when no call is pending.
    std::optional<Instant> nextWake() const;

    ServiceTable& services() { return m_services; }
    const Counters& counters() const { return m_counters; }
    // Null when the call has ended.
    const StartCall* findCall(const CallId&) const;
    size_t pendingCount() const { return m_calls.size(); }

private:
    // Whether any byte of an attempt that did not run left this node.
    enum class WasSent : bool {
        No,
        Yes,
    };

    PendingCall* find(const CallId&);
    ServiceState& stateOf(const PendingCall&);
    // The call if it is pending, and the attempt if it is still waiting for a reply; null otherwise.
    std::pair<PendingCall*, Attempt*> findLiveAttempt(const AttemptId&);
    std::vector<AttemptId> liveAttemptsAt(NodeId) const;

    void handle(const CallAnswered&, Instant now, CallActions&);
    void handle(const CallRefused&, Instant now, CallActions&);
    void handle(const CallLost&, Instant now, CallActions&);
    void handle(const CallPending&, Instant now, CallActions&);
    void handleQueriedLoss(const CallLost&, Instant now, CallActions&);
    void recordAnswer(PendingCall&, Attempt&, const CallAnswered&, Instant now);
    void redispatchOrFail(PendingCall&, WasSent, Instant now, CallActions&);
    void handleLoss(PendingCall&, Attempt&, LossReason, Instant now, CallActions&);

    Suspicion suspicionOf(const PendingCall&) const;
    bool hasTimeForAttempt(PendingCall&, Instant now);
    bool tryRedispatch(PendingCall&, WasSent, Instant now, CallActions&);
    bool tryRetry(PendingCall&, Instant now, CallActions&);
    void tryHedge(PendingCall&, Instant now, CallActions&);
    bool trySpendToken(PendingCall&, const std::optional<Selection>&, Instant now);
    std::optional<Selection> selectUntried(PendingCall&, Instant now);
    // Selects among the targets that refused softly (asked for another target) when no untried one is left, and bars
    // further soft refusals, so that the selected target has to accept the call.
    std::optional<Selection> selectSoftRefuser(PendingCall&, Instant now);
    std::optional<Selection> selectForRetry(PendingCall&, Instant now);
    void send(PendingCall&, const Selection&, Instant now, CallActions&);
    void scheduleHedge(PendingCall&, Instant now);

    void startQuerying(PendingCall&, Attempt&, Instant now, CallActions&);
    void sendQuery(const PendingCall&, Attempt&, Instant now, CallActions&);
    void sendDueQueries(PendingCall&, Instant now, CallActions&);

    void runTimers(PendingCall&, Instant now, CallActions&);
    void schedule(PendingCall&);
    void unschedule(PendingCall&);
    // Answers with the fallback response if there is one, else with the failure. Erases the call: the reference is
    // invalid afterwards.
    void finishWithFailure(PendingCall&, CallFailure, Instant now, CallActions&);
    void finish(PendingCall&, HttpResponse&&, Instant now, CallActions&);
    void cancelLive(PendingCall&, Instant now, CallActions&);
    void erase(PendingCall&);
    Duration retryAfter(const PendingCall&, RunOutcome) const;
    void rejectCall(const StartCall&, CallFailure, CallActions&) const;

    CallOptions m_options;
    ServiceTable m_services;
    Random m_random;
    std::unordered_map<CallId, PendingCall> m_calls;
    // One entry per pending call, at its next timer.
    TimerQueue m_timers;
    bool m_mayRetry { true };
    Counters m_counters;
};

} // namespace Berylport
