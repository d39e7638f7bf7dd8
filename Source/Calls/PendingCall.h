// State of one pending call: attempts, retry tokens and timers. Target selection and budgets are left to the
// coordinator.
#pragma once

#include "Calls/CallActions.h"
#include "Routing/Routing.h"

#include <map>

namespace Berylport {

enum class AttemptPhase : uint8_t {
    // Sent; no reply yet.
    Waiting,
    // The connection broke; the target's node is queried for the attempt's outcome.
    Querying,
    // Refused, or no byte of it was sent.
    NotRun,
    // May have run; no answer is expected any more.
    Lost,
    Answered,
};

struct Attempt {
    AttemptId id;
    Selection selection;
    Instant sentAt;
    uint32_t tokensGiven { 0 };
    AttemptPhase phase { AttemptPhase::Waiting };
    // The selector still counts it among the target's outstanding calls.
    bool isOutstanding { true };
    Instant nextQuery;
    Duration queryInterval {};

    bool isLive() const { return phase == AttemptPhase::Waiting || phase == AttemptPhase::Querying; }
};

// Pending calls by the time of their next timer.
using TimerQueue = std::multimap<Instant, CallId>;

class PendingCall {
public:
    explicit PendingCall(StartCall&& start)
        : m_start(std::move(start))
        , m_tokens(m_start.retryTokens)
    {
    }

    const StartCall& start() const { return m_start; }
    bool isIdempotent() const { return m_start.definition.kind == RequestKind::Idempotent; }
    Duration remaining(Instant now) const { return m_start.deadline - now; }

    // Grants the attempt its part of the tokens. The reference is valid until the next attempt begins.
    Attempt& beginAttempt(const Selection&, Instant now);
    CallRequest request(const Attempt&) const;
    // Null when this call has no such attempt.
    Attempt* find(const AttemptId&);
    std::vector<Attempt>& attempts() { return m_attempts; }
    const std::vector<Attempt>& attempts() const { return m_attempts; }
    const std::vector<TargetId>& triedTargets() const { return m_triedTargets; }
    size_t liveAttemptCount() const;
    bool hasLiveAttempt() const { return liveAttemptCount() > 0; }
    // Whether an attempt without an answer may have run.
    bool mayHaveRun() const;

    bool hasToken() const { return m_tokens > 0; }
    void takeToken() { --m_tokens; }
    void returnTokens(const Attempt&, uint32_t used);
    uint32_t tokensUsed() const { return m_start.retryTokens - m_tokens; }

    void recordRefusal(RefusalReason, Duration retryAfter);
    uint32_t refusals() const { return m_refusals; }
    std::optional<RefusalReason> lastRefusal() const { return m_lastRefusal; }
    // Zero when no refusal stated a retry delay.
    Duration shortestRetryAfter() const { return m_shortestRetryAfter; }

    // An error response that is retried; sent to the caller if no better one arrives.
    void setFallbackAnswer(HttpResponse&& http) { m_fallbackAnswer = std::move(http); }
    std::optional<HttpResponse>& fallbackAnswer() { return m_fallbackAnswer; }

    // Sets how many more soft refusals (by slow or busy targets that ask for another one) the call accepts.
    void allowSoftRefusals(uint32_t count) { m_softRefusalsLeft = count; }
    void recordSoftRefusal(const TargetId&);
    std::vector<TargetId> triedTargetsWithoutSoftRefusal() const;

    std::optional<Instant> hedgeAt;
    // This call's entry in the coordinator's timer queue.
    std::optional<TimerQueue::iterator> timerEntry;
    Instant nextWake() const;

private:
    StartCall m_start;
    std::vector<Attempt> m_attempts;
    std::vector<TargetId> m_triedTargets;
    // Tokens not granted to an attempt.
    uint32_t m_tokens;
    uint32_t m_softRefusalsLeft { 0 };
    // Targets that refused softly: they could have accepted the call but asked for another target.
    std::vector<TargetId> m_softRefusedBy;
    uint32_t m_refusals { 0 };
    std::optional<RefusalReason> m_lastRefusal;
    Duration m_shortestRetryAfter {};
    std::optional<HttpResponse> m_fallbackAnswer;
};

} // namespace Berylport
