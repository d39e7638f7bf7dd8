// Implements the state of one pending call.
#include "Calls/PendingCall.h"

#include <algorithm>
#include <iterator>

namespace Berylport {

Attempt& PendingCall::beginAttempt(const Selection& selection, Instant now)
{
    // Keeps ceil(tokens / 2) for further attempts; the rest goes to the attempt, for the calls that it makes in turn.
    uint32_t given = m_tokens / 2;
    m_tokens -= given;
    auto number = static_cast<uint32_t>(m_attempts.size() + 1);
    m_triedTargets.push_back(selection.target);
    auto& attempt = m_attempts.emplace_back();
    attempt.id = { m_start.id, number };
    attempt.selection = selection;
    attempt.sentAt = now;
    attempt.tokensGiven = given;
    return attempt;
}

CallRequest PendingCall::request(const Attempt& attempt) const
{
    return {
        .id = attempt.id,
        .receiver = attempt.selection.target.node,
        .service = m_start.definition.name,
        .tenant = m_start.tenant,
        .kind = m_start.definition.kind,
        .priority = m_start.definition.priority,
        .deadline = m_start.deadline,
        .objective = std::min(m_start.objective, m_start.deadline),
        .retryTokens = attempt.tokensGiven,
        .depth = m_start.depth,
        .http = m_start.http,
        .requestId = m_start.requestId,
        .route = m_start.route,
        .mayHandOn = m_softRefusalsLeft > 0,
    };
}

Attempt* PendingCall::find(const AttemptId& id)
{
    auto it = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto& attempt) { return attempt.id == id; });
    return it == m_attempts.end() ? nullptr : &*it;
}

size_t PendingCall::liveAttemptCount() const
{
    return static_cast<size_t>(
        std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto& attempt) { return attempt.isLive(); }));
}

bool PendingCall::mayHaveRun() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
        [](const auto& attempt) { return attempt.isLive() || attempt.phase == AttemptPhase::Lost; });
}

void PendingCall::returnTokens(const Attempt& attempt, uint32_t used)
{
    m_tokens += attempt.tokensGiven - std::min(attempt.tokensGiven, used);
}

void PendingCall::recordRefusal(RefusalReason reason, Duration retryAfter)
{
    ++m_refusals;
    m_lastRefusal = reason;
    if (retryAfter <= Duration::zero())
        return;
    bool isFirst = m_shortestRetryAfter == Duration::zero();
    m_shortestRetryAfter = isFirst ? retryAfter : std::min(m_shortestRetryAfter, retryAfter);
}

Instant PendingCall::nextWake() const
{
    auto wake = m_start.deadline;
    if (hedgeAt)
        wake = std::min(wake, *hedgeAt);
    for (const auto& attempt : m_attempts) {
        if (attempt.phase == AttemptPhase::Querying)
            wake = std::min(wake, attempt.nextQuery);
    }
    return wake;
}

void PendingCall::recordSoftRefusal(const TargetId& target)
{
    m_softRefusalsLeft -= m_softRefusalsLeft > 0;
    m_softRefusedBy.push_back(target);
}

std::vector<TargetId> PendingCall::triedTargetsWithoutSoftRefusal() const
{
    std::vector<TargetId> others;
    std::ranges::copy_if(m_triedTargets, std::back_inserter(others),
        [&](auto& it) { return std::ranges::find(m_softRefusedBy, it) == m_softRefusedBy.end(); });
    return others;
}

} // namespace Berylport
