// Decides on retries, hedges, redispatches and status queries, and on the final answer of each call.
#include "Calls/CallCoordinator.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <tuple>

namespace Berylport {

namespace {

constexpr uint16_t firstServerError = 500;

// Gateway errors (502, 503, 504): another target may be able to answer.
bool isRetryableStatus(uint16_t status) { return status == 502 || status == 503 || status == 504; }

// The refusal is due to the call itself, so every target would refuse it.
bool isCausedByCall(RefusalReason reason)
{
    return reason == RefusalReason::UnknownParent || reason == RefusalReason::DepthExceeded;
}

// The refusal is due to the state of the node, which would refuse any other call for this target too.
bool refusesAllCalls(RefusalReason reason)
{
    return reason == RefusalReason::Draining || reason == RefusalReason::NoTarget || reason == RefusalReason::WrongNode
        || reason == RefusalReason::Unconfirmed || reason == RefusalReason::ZoneEvacuated;
}

} // namespace

CallCoordinator::CallCoordinator(CallOptions options)
    : m_options(options)
    , m_services(std::move(options))
    , m_random(m_options.seed)
{
}

void CallCoordinator::updateTargets(std::span<const TargetRecord> records, Instant now)
{
    m_services.updateTargets(records, now);
}

void CallCoordinator::startCall(StartCall start, Instant now, CallActions& actions)
{
    tick(now, actions);
    if (find(start.id))
        return;
    if (start.depth > m_options.maximumDepth)
        return rejectCall(start, CallFailure::DepthExceeded, actions);
    if (start.deadline <= now)
        return rejectCall(start, CallFailure::DeadlineExceeded, actions);
    if (m_options.suspicion && m_options.suspicion(start) == Suspicion::Refused)
        return rejectCall(start, CallFailure::Refused, actions);
    ++m_counters.calls;
    auto id = start.id;
    auto& call = m_calls.try_emplace(id, std::move(start)).first->second;
    call.allowSoftRefusals(m_options.maximumSoftRefusals);
    stateOf(call).retryBudget.recordCall();
    stateOf(call).redispatchBudget.recordCall();
    schedule(call);
    auto selection = selectUntried(call, now);
    if (!selection)
        selection = stateOf(call).selector.selectLastResort(now, {});
    if (!selection)
        return finishWithFailure(call, CallFailure::NoTarget, now, actions);
    send(call, *selection, now, actions);
    scheduleHedge(call, now);
}

void CallCoordinator::replyArrived(const CallReply& reply, Instant now, CallActions& actions)
{
    tick(now, actions);
    std::visit([&](const auto& message) { handle(message, now, actions); }, reply);
}

void CallCoordinator::queryAnswered(const QueryReply& reply, Instant now, CallActions& actions)
{
    tick(now, actions);
    std::visit(Overloaded {
                   [&](const CallLost& lost) { handleQueriedLoss(lost, now, actions); },
                   [&](const auto& message) { handle(message, now, actions); },
               },
        reply);
}

void CallCoordinator::sendFailed(const AttemptId& id, Instant now, CallActions& actions)
{
    tick(now, actions);
    auto [call, attempt] = findLiveAttempt(id);
    if (!attempt || attempt->phase != AttemptPhase::Waiting)
        return;
    stateOf(*call).selector.recordSendFailure(attempt->selection.target, now);
    attempt->isOutstanding = false;
    attempt->phase = AttemptPhase::NotRun;
    call->returnTokens(*attempt, 0);
    call->recordRefusal(RefusalReason::ConnectFailed, {});
    redispatchOrFail(*call, WasSent::No, now, actions);
}

void CallCoordinator::linkLost(NodeId node, Instant now, CallActions& actions)
{
    tick(now, actions);
    for (const auto& id : liveAttemptsAt(node)) {
        auto [call, attempt] = findLiveAttempt(id);
        if (attempt && attempt->phase == AttemptPhase::Waiting)
            handleLoss(*call, *attempt, LossReason::LinkLost, now, actions);
    }
}

void CallCoordinator::nodeTerminated(NodeId node, Instant now, CallActions& actions)
{
    tick(now, actions);
    for (const auto& id : liveAttemptsAt(node)) {
        auto [call, attempt] = findLiveAttempt(id);
        if (attempt)
            handleLoss(*call, *attempt, LossReason::NodeRestarted, now, actions);
    }
}

void CallCoordinator::queryFailed(const AttemptId&, Instant now, CallActions& actions) { tick(now, actions); }

void CallCoordinator::callerDisconnected(const CallId& id, Instant now, CallActions& actions)
{
    tick(now, actions);
    auto* call = find(id);
    if (!call)
        return;
    cancelLive(*call, now, actions);
    erase(*call);
}

void CallCoordinator::endCalls(Instant now, CallActions& actions)
{
    tick(now, actions);
    while (!m_calls.empty()) {
        auto& call = m_calls.begin()->second;
        finishWithFailure(call, call.mayHaveRun() ? CallFailure::ResponseLost : CallFailure::Refused, now, actions);
    }
}

void CallCoordinator::tick(Instant now, CallActions& actions)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now)
        runTimers(*find(m_timers.begin()->second), now, actions);
}

std::optional<Instant> CallCoordinator::nextWake() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

PendingCall* CallCoordinator::find(const CallId& id)
{
    auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second;
}

const StartCall* CallCoordinator::findCall(const CallId& id) const
{
    auto it = m_calls.find(id);
    return it == m_calls.end() ? nullptr : &it->second.start();
}

ServiceState& CallCoordinator::stateOf(const PendingCall& call)
{
    return m_services.stateOf(call.start().definition.name);
}

std::pair<PendingCall*, Attempt*> CallCoordinator::findLiveAttempt(const AttemptId& id)
{
    auto* call = find(id.call);
    auto* attempt = call ? call->find(id) : nullptr;
    if (attempt && attempt->isLive())
        return { call, attempt };
    return { call, nullptr };
}

std::vector<AttemptId> CallCoordinator::liveAttemptsAt(NodeId node) const
{
    std::vector<AttemptId> found;
    for (const auto& [id, call] : m_calls) {
        for (const auto& attempt : call.attempts()) {
            if (attempt.isLive() && attempt.selection.target.node == node)
                found.push_back(attempt.id);
        }
    }
    // Makes the order of processing independent of the hash map's iteration order.
    std::sort(found.begin(), found.end(), [](const AttemptId& a, const AttemptId& b) {
        return std::tie(a.call.sequence, a.attempt) < std::tie(b.call.sequence, b.attempt);
    });
    return found;
}

void CallCoordinator::handle(const CallAnswered& answered, Instant now, CallActions& actions)
{
    auto* call = find(answered.id.call);
    auto* attempt = call ? call->find(answered.id) : nullptr;
    // A late answer to an attempt marked as lost is still used while the call is pending.
    if (!attempt || (!attempt->isLive() && attempt->phase != AttemptPhase::Lost)) {
        ++m_counters.droppedReplies;
        return;
    }
    recordAnswer(*call, *attempt, answered, now);
    auto http = answered.http;
    bool mayImprove = isRetryableStatus(http.status) || (m_options.retriesServerErrors && http.status == 500);
    if (!call->isIdempotent() || !mayImprove)
        return finish(*call, std::move(http), now, actions);
    call->setFallbackAnswer(std::move(http));
    if (call->hasLiveAttempt() || tryRetry(*call, now, actions))
        return;
    finish(*call, std::move(*call->fallbackAnswer()), now, actions);
}

void CallCoordinator::recordAnswer(PendingCall& call, Attempt& attempt, const CallAnswered& answered, Instant now)
{
    auto latency = now - attempt.sentAt;
    bool hasFailed = answered.http.status >= firstServerError;
    auto& state = stateOf(call);
    if (attempt.isOutstanding)
        state.selector.recordReply(attempt.selection.target, answered.load,
            { .latency = latency, .hasFailed = hasFailed, .route = call.start().route }, now);
    if (!hasFailed)
        state.latency.add(latency);
    // The tokens of a lost attempt already count as used.
    if (attempt.isLive())
        call.returnTokens(attempt, answered.retryTokensUsed);
    attempt.isOutstanding = false;
    attempt.phase = AttemptPhase::Answered;
}

void CallCoordinator::handle(const CallRefused& refused, Instant now, CallActions& actions)
{
    auto [call, attempt] = findLiveAttempt(refused.id);
    if (!attempt) {
        ++m_counters.droppedReplies;
        return;
    }
    auto& selector = stateOf(*call).selector;
    if (attempt->isOutstanding)
        selector.recordRefusal(attempt->selection.target, refused.load, now);
    if (refusesAllCalls(refused.reason))
        selector.recordUnavailable(attempt->selection.target, now);
    attempt->isOutstanding = false;
    attempt->phase = AttemptPhase::NotRun;
    call->returnTokens(*attempt, 0);
    call->recordRefusal(refused.reason, refused.retryAfter);
    if (asksForAnotherTarget(refused.reason))
        call->recordSoftRefusal(attempt->selection.target);
    redispatchOrFail(*call, WasSent::Yes, now, actions);
}

void CallCoordinator::handle(const CallLost& lost, Instant now, CallActions& actions)
{
    auto [call, attempt] = findLiveAttempt(lost.id);
    if (!attempt) {
        ++m_counters.droppedReplies;
        return;
    }
    // The lost connection is already known; the query continues.
    if (attempt->phase == AttemptPhase::Querying && lost.reason == LossReason::LinkLost)
        return;
    handleLoss(*call, *attempt, lost.reason, now, actions);
}

void CallCoordinator::handleQueriedLoss(const CallLost& lost, Instant now, CallActions& actions)
{
    // The node itself reports that it has no answer, so a further query would be pointless.
    auto final = lost;
    if (final.reason == LossReason::LinkLost)
        final.reason = LossReason::AnswerDropped;
    handle(final, now, actions);
}

void CallCoordinator::handle(const CallPending& pending, Instant, CallActions&)
{
    auto [call, attempt] = findLiveAttempt(pending.id);
    // The node sends the final reply when the attempt ends; the query timer covers the loss of that reply.
    if (!attempt)
        ++m_counters.droppedReplies;
}

void CallCoordinator::redispatchOrFail(PendingCall& call, WasSent wasSent, Instant now, CallActions& actions)
{
    if (call.hasLiveAttempt() || tryRedispatch(call, wasSent, now, actions))
        return schedule(call);
    finishWithFailure(call, CallFailure::Refused, now, actions);
}

void CallCoordinator::handleLoss(
    PendingCall& call, Attempt& attempt, LossReason reason, Instant now, CallActions& actions)
{
    if (attempt.isOutstanding)
        stateOf(call).selector.recordLoss(attempt.selection.target, now);
    attempt.isOutstanding = false;
    attempt.phase = AttemptPhase::Lost;
    // A new attempt may reallocate the attempts and invalidate the reference.
    auto id = attempt.id;
    if (call.hasLiveAttempt() || tryRetry(call, now, actions))
        return schedule(call);
    // Only after a lost connection can a query find out more; the other reasons are final.
    if (reason == LossReason::LinkLost && !call.fallbackAnswer())
        return startQuerying(call, *call.find(id), now, actions);
    finishWithFailure(call, CallFailure::ResponseLost, now, actions);
}

Suspicion CallCoordinator::suspicionOf(const PendingCall& call) const
{
    return m_options.suspicion ? m_options.suspicion(call.start()) : Suspicion::None;
}

bool CallCoordinator::hasTimeForAttempt(PendingCall& call, Instant now)
{
    return m_mayRetry && call.remaining(now) > stateOf(call).latency.median();
}

std::optional<Selection> CallCoordinator::selectUntried(PendingCall& call, Instant now)
{
    return stateOf(call).selector.select(now, m_random, call.triedTargets());
}

std::optional<Selection> CallCoordinator::selectForRetry(PendingCall& call, Instant now)
{
    if (auto untried = selectUntried(call, now))
        return untried;
    return stateOf(call).selector.select(now, m_random, {});
}

std::optional<Selection> CallCoordinator::selectSoftRefuser(PendingCall& call, Instant now)
{
    auto excluded = call.triedTargetsWithoutSoftRefusal();
    if (excluded.size() == call.triedTargets().size())
        return std::nullopt;
    auto& selector = stateOf(call).selector;
    auto selection = selector.select(now, m_random, excluded);
    if (!selection)
        selection = selector.selectLastResort(now, excluded);
    if (selection)
        call.allowSoftRefusals(0);
    return selection;
}

bool CallCoordinator::tryRedispatch(PendingCall& call, WasSent wasSent, Instant now, CallActions& actions)
{
    if (call.refusals() >= m_options.maximumRefusals || isCausedByCall(*call.lastRefusal()))
        return false;
    if (!hasTimeForAttempt(call, now))
        return false;
    if (suspicionOf(call) == Suspicion::Refused) {
        call.recordRefusal(RefusalReason::EndsTargets, m_options.refusedRetryAfter);
        return false;
    }
    bool isSoftRefusal = asksForAnotherTarget(*call.lastRefusal());
    auto selection = selectUntried(call, now);
    if (!selection)
        selection = selectSoftRefuser(call, now);
    if (!selection)
        selection = stateOf(call).selector.selectLastResort(now, call.triedTargets());
    if (!selection)
        return false;
    // An overloaded target has had to process the refused request, so another attempt is charged like a retry.
    bool hasReachedTarget = call.lastRefusal() == RefusalReason::Overloaded;
    auto& budget = hasReachedTarget ? stateOf(call).retryBudget : stateOf(call).redispatchBudget;
    bool isCharged = wasSent == WasSent::Yes && !isSoftRefusal;
    if (isCharged && !budget.tryTake(now)) {
        ++m_counters.budgetRefusals;
        return false;
    }
    ++m_counters.redispatches;
    send(call, *selection, now, actions);
    if (call.hedgeAt)
        scheduleHedge(call, now);
    return true;
}

bool CallCoordinator::trySpendToken(PendingCall& call, const std::optional<Selection>& selection, Instant now)
{
    if (!selection)
        return false;
    if (!stateOf(call).retryBudget.tryTake(now)) {
        ++m_counters.budgetRefusals;
        return false;
    }
    call.takeToken();
    return true;
}

bool CallCoordinator::tryRetry(PendingCall& call, Instant now, CallActions& actions)
{
    if (!call.isIdempotent() || !call.hasToken() || !hasTimeForAttempt(call, now))
        return false;
    if (suspicionOf(call) >= Suspicion::Repeated)
        return false;
    auto selection = selectForRetry(call, now);
    if (!trySpendToken(call, selection, now))
        return false;
    ++m_counters.retries;
    send(call, *selection, now, actions);
    return true;
}

void CallCoordinator::tryHedge(PendingCall& call, Instant now, CallActions& actions)
{
    call.hedgeAt.reset();
    if (call.liveAttemptCount() != 1 || !call.hasToken() || !hasTimeForAttempt(call, now))
        return;
    if (suspicionOf(call) != Suspicion::None)
        return;
    auto selection = selectUntried(call, now);
    if (!trySpendToken(call, selection, now))
        return;
    ++m_counters.hedges;
    send(call, *selection, now, actions);
}

void CallCoordinator::send(PendingCall& call, const Selection& selection, Instant now, CallActions& actions)
{
    // The last target that may be tried must not refuse softly, even if it is slow or busy.
    if (call.refusals() + 1 >= m_options.maximumRefusals)
        call.allowSoftRefusals(0);
    auto& attempt = call.beginAttempt(selection, now);
    stateOf(call).selector.recordSend(selection.target, now);
    ++m_counters.attempts;
    auto request = call.request(attempt);
    request.meanLoad = stateOf(call).selector.meanLoad();
    request.isSuspect = suspicionOf(call) != Suspicion::None;
    actions.push_back(SendAttempt { selection.target, std::move(request) });
}

void CallCoordinator::scheduleHedge(PendingCall& call, Instant now)
{
    const auto& latency = stateOf(call).latency;
    if (!call.isIdempotent() || !call.start().definition.isHedged || !latency.isKnown())
        return;
    // Strictly later than the p95: with constant latency an equal delay would hedge every call.
    call.hedgeAt = now + latency.p95() + Duration(1);
    schedule(call);
}

void CallCoordinator::startQuerying(PendingCall& call, Attempt& attempt, Instant now, CallActions& actions)
{
    attempt.phase = AttemptPhase::Querying;
    attempt.queryInterval = m_options.firstQueryInterval;
    sendQuery(call, attempt, now, actions);
    schedule(call);
}

void CallCoordinator::sendQuery(const PendingCall& call, Attempt& attempt, Instant now, CallActions& actions)
{
    ++m_counters.queries;
    attempt.nextQuery = now + attempt.queryInterval;
    attempt.queryInterval = std::min(2 * attempt.queryInterval, m_options.maximumQueryInterval);
    const auto& target = attempt.selection.target;
    actions.push_back(SendQuery { target,
        { .id = attempt.id, .service = target.service, .receiver = target.node, .deadline = call.start().deadline } });
}

void CallCoordinator::sendDueQueries(PendingCall& call, Instant now, CallActions& actions)
{
    for (auto& attempt : call.attempts()) {
        if (attempt.phase == AttemptPhase::Querying && attempt.nextQuery <= now)
            sendQuery(call, attempt, now, actions);
    }
}

void CallCoordinator::runTimers(PendingCall& call, Instant now, CallActions& actions)
{
    if (call.start().deadline <= now)
        return finishWithFailure(call, CallFailure::DeadlineExceeded, now, actions);
    if (call.hedgeAt && *call.hedgeAt <= now)
        tryHedge(call, now, actions);
    sendDueQueries(call, now, actions);
    schedule(call);
}

void CallCoordinator::schedule(PendingCall& call)
{
    auto next = call.nextWake();
    if (call.timerEntry && (*call.timerEntry)->first == next)
        return;
    unschedule(call);
    call.timerEntry = m_timers.emplace(next, call.start().id);
}

void CallCoordinator::unschedule(PendingCall& call)
{
    if (call.timerEntry)
        m_timers.erase(*call.timerEntry);
    call.timerEntry.reset();
}

void CallCoordinator::finishWithFailure(PendingCall& call, CallFailure failure, Instant now, CallActions& actions)
{
    if (call.fallbackAnswer())
        return finish(call, std::move(*call.fallbackAnswer()), now, actions);
    auto outcome = call.mayHaveRun() ? RunOutcome::MayHaveRun : RunOutcome::NotRun;
    // If an earlier attempt was lost, the call may have run although the retry was refused.
    if (failure == CallFailure::Refused && outcome == RunOutcome::MayHaveRun)
        failure = CallFailure::ResponseLost;
    cancelLive(call, now, actions);
    actions.push_back(AnswerCaller {
        .id = call.start().id,
        .outcome = outcome,
        .result = failure,
        .refusal = call.lastRefusal(),
        .retryAfter = retryAfter(call, outcome),
        .retryTokensUsed = call.tokensUsed(),
        .attempts = static_cast<uint32_t>(call.attempts().size()),
    });
    erase(call);
}

void CallCoordinator::finish(PendingCall& call, HttpResponse&& http, Instant now, CallActions& actions)
{
    cancelLive(call, now, actions);
    actions.push_back(AnswerCaller {
        .id = call.start().id,
        .outcome = RunOutcome::Run,
        .result = std::move(http),
        .refusal = {},
        .retryTokensUsed = call.tokensUsed(),
        .attempts = static_cast<uint32_t>(call.attempts().size()),
    });
    erase(call);
}

void CallCoordinator::cancelLive(PendingCall& call, Instant now, CallActions& actions)
{
    for (auto& attempt : call.attempts()) {
        if (!attempt.isLive())
            continue;
        const auto& target = attempt.selection.target;
        if (attempt.isOutstanding)
            stateOf(call).selector.recordCancellation(target, call.start().route, now - attempt.sentAt, now);
        actions.push_back(SendCancel { target, { attempt.id } });
    }
}

void CallCoordinator::erase(PendingCall& call)
{
    unschedule(call);
    m_calls.erase(CallId(call.start().id));
}

Duration CallCoordinator::retryAfter(const PendingCall& call, RunOutcome outcome) const
{
    // Do not suggest a retry of an at-most-once call whose outcome is unknown.
    if (outcome == RunOutcome::MayHaveRun && !call.isIdempotent())
        return {};
    if (call.shortestRetryAfter() > Duration::zero())
        return call.shortestRetryAfter();
    return m_options.defaultRetryAfter;
}

void CallCoordinator::rejectCall(const StartCall& start, CallFailure failure, CallActions& actions) const
{
    AnswerCaller answer { .id = start.id, .outcome = RunOutcome::NotRun, .result = failure, .refusal = {} };
    // Of all reasons for which a call is never sent, only one is a refusal.
    if (failure == CallFailure::Refused) {
        answer.refusal = RefusalReason::EndsTargets;
        answer.retryAfter = m_options.refusedRetryAfter;
    }
    actions.push_back(std::move(answer));
}

} // namespace Berylport
