// Admission, load shedding, starts and replies for one target.
#include "Admission/AdmissionController.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Berylport {

namespace {

// Time that a nested call's deadline leaves for returning the parent's answer.
constexpr Duration nestedCallMargin = std::chrono::milliseconds(5);
constexpr uint32_t maximumDepth = 32;
// Most overloads end sooner; a longer retry delay would leave capacity unused after them.
constexpr Duration maximumRetryAfter = std::chrono::seconds(2);

uint16_t toCount(size_t n) { return static_cast<uint16_t>(std::min<size_t>(n, UINT16_MAX)); }

} // namespace

AdmissionController::AdmissionController(AdmissionOptions options)
    : m_options(std::move(options))
    , m_slots(m_options.slots)
    , m_queue(m_tenants)
    , m_coldLimiter(m_options.processStart)
    , m_ledger(m_options.ledger)
{
    m_concurrency.setSlots(m_slots);
}

void AdmissionController::setDefinition(const ServiceDefinition& definition)
{
    if (definition.name == m_options.service)
        m_definition = definition;
}

void AdmissionController::setSlots(Instant now, uint16_t slots, AdmissionActions& actions)
{
    m_slots = slots;
    m_concurrency.setSlots(slots);
    tick(now, actions);
}

void AdmissionController::setTargetState(Instant now, TargetState state, AdmissionActions& actions)
{
    bool isFresh = m_state == TargetState::Starting || m_state == TargetState::Down;
    if (state == TargetState::Ready && isFresh)
        m_warmUntil = now + m_options.warmUp;
    m_state = state;
    if (state == TargetState::Starting || state == TargetState::Down)
        refuseAllQueued(now, RefusalReason::NoTarget, actions);
    tick(now, actions);
}

void AdmissionController::drain(Instant now, AdmissionActions& actions)
{
    m_isNodeDraining = true;
    tick(now, actions);
}

void AdmissionController::setZoneEvacuated(Instant now, bool isEvacuated, AdmissionActions& actions)
{
    m_isZoneEvacuated = isEvacuated;
    if (isEvacuated)
        refuseAllQueued(now, RefusalReason::ZoneEvacuated, actions);
}

void AdmissionController::stop(Instant now, AdmissionActions& actions)
{
    m_isNodeDraining = true;
    refuseAllQueued(now, RefusalReason::Draining, actions);
    for (auto& id : m_ledger.findAllRunning())
        targetLost(now, id, LossReason::NodeStopped, actions);
}

void AdmissionController::linkOpened(LinkId link) { m_pauseGate.addLink(link); }

void AdmissionController::linkClosed(Instant now, LinkId link, AdmissionActions& actions)
{
    m_pauseGate.removeLink(link);
    for (auto& id : m_ledger.removeLink(link)) {
        LedgerEntry* entry = m_ledger.find(id);
        if (entry->kind == RequestKind::Idempotent)
            cancelAttempt(now, *entry, actions);
    }
    tick(now, actions);
}

uint64_t AdmissionController::pauseDetected(Instant now, AdmissionActions& actions)
{
    uint64_t pause = m_pauseGate.beginPause();
    tick(now, actions);
    return pause;
}

void AdmissionController::linkConfirmed(Instant now, LinkId link, uint64_t pause, AdmissionActions& actions)
{
    m_pauseGate.confirmLink(link, pause);
    tick(now, actions);
}

void AdmissionController::tick(Instant now, AdmissionActions& actions)
{
    refuseExpired(now, actions);
    m_ledger.evictExpired(now);
    startQueued(now, actions);
}

std::optional<Instant> AdmissionController::nextWake() const
{
    auto wake = m_queue.earliestDeadline();
    if (!wake || !canRunMore())
        return wake;
    Instant limitsEndAt = m_coldLimiter.nextStartAt();
    if (m_limiter.limit())
        limitsEndAt = std::max(limitsEndAt, m_limiter.nextStartAt());
    return limitsEndAt == Instant() ? wake : std::min(*wake, limitsEndAt);
}

uint16_t AdmissionController::limit() const
{
    return m_options.adaptsConcurrency ? std::min(m_slots, m_concurrency.limit()) : m_slots;
}

// Service time at the expected VM speed with the target running at its concurrency limit, as it does while calls wait.
Duration AdmissionController::expectedServiceTime(Instant now, const CallRequest& request) const
{
    return serviceTimeAtLimit(now, m_concurrency.baseTime(request.route));
}

// Expected service time plus the mean deviation of the route; most calls of the route finish within it.
Duration AdmissionController::conservativeServiceTime(Instant now, const CallRequest& request) const
{
    return serviceTimeAtLimit(now, m_concurrency.baseTime(request.route) + m_concurrency.deviation(request.route));
}

Duration AdmissionController::serviceTimeAtLimit(Instant now, Duration timeAtFullSpeed) const
{
    if (timeAtFullSpeed <= Duration::zero())
        return m_serviceTime.average();
    double factor = m_loadIntegrator.expectedSlowness() * m_concurrency.slowdownAtLimit(now);
    return Duration(std::llround(static_cast<double>(timeAtFullSpeed.count()) * factor));
}

Duration AdmissionController::estimateWaitForSlots(size_t calls) const
{
    return static_cast<int64_t>(calls) * m_serviceTime.average() / std::max<int64_t>(limit(), 1);
}

Duration AdmissionController::estimateQueueWait(Instant now, size_t calls) const
{
    return std::max(estimateWaitForSlots(calls), waitForLimits(calls, now));
}

Duration AdmissionController::waitForLimits(size_t calls, Instant now) const
{
    return std::max(m_limiter.waitFor(calls, now), m_coldLimiter.waitFor(calls, now));
}

Duration AdmissionController::startInterval(Instant now) const
{
    return std::max({ estimateWaitForSlots(1), m_limiter.interval(), m_coldLimiter.interval(now) });
}

bool AdmissionController::isServiceRateKnown(Instant now) const
{
    return m_serviceTime.isKnown() || m_limiter.limit() || m_coldLimiter.isInForce(now);
}

// Without an objective, or with one at the deadline or later, calls cannot miss the objective before they expire.
bool AdmissionController::hasObjective(const CallRequest& request)
{
    return request.objective != Instant() && request.objective < request.deadline;
}

bool AdmissionController::canMeetObjective(Instant now, const CallRequest& request) const
{
    if (!hasObjective(request) || !isServiceRateKnown(now))
        return true;
    Duration wait = estimateQueueWait(now, m_queue.countAhead(request.tenant, request.priority) + 1);
    return now + wait + expectedServiceTime(now, request) <= request.objective;
}

// A service definition that has become stricter also applies to requests sent under the previous definition.
RequestKind AdmissionController::effectiveKind(const CallRequest& request) const
{
    return request.kind == RequestKind::Idempotent ? retentionKind() : request.kind;
}

void AdmissionController::offer(Instant now, LinkId link, CallRequest request, AdmissionActions& actions)
{
    m_pauseGate.addLink(link);
    tick(now, actions);
    RequestKind kind = effectiveKind(request);
    LedgerLookup found = m_ledger.lookUp(now, request.id, request.deadline, kind, retentionKind());
    if (found.match == LedgerMatch::Known && found.entry->isLive()) {
        m_ledger.addRequester(*found.entry, { .link = link, .requestedId = request.id });
        return;
    }
    if (found.match != LedgerMatch::Unknown) {
        actions.push_back(Reply { .link = link, .reply = makeReply(now, request.id, found) });
        return;
    }
    if (auto reason = findRefusal(now, request)) {
        refuseNew(now, link, request, *reason, actions);
        return;
    }
    admit(now, link, std::move(request), actions);
}

std::optional<RefusalReason> AdmissionController::findRefusal(Instant now, const CallRequest& request) const
{
    if (request.receiver != m_options.self)
        return RefusalReason::WrongNode;
    if (request.service != m_options.service)
        return RefusalReason::NoTarget;
    if (auto reason = findStateRefusal())
        return reason;
    if (request.depth > maximumDepth)
        return RefusalReason::DepthExceeded;
    if (request.deadline <= now)
        return RefusalReason::DeadlinePassed;
    if (!m_ledger.hasRoom())
        return RefusalReason::LedgerFull;
    if (request.isSuspect && m_ledger.liveSuspects())
        return RefusalReason::BesideSuspect;
    if (request.mayHandOn && isVmSlow())
        return RefusalReason::SlowNow;
    if (request.mayHandOn && isBusierThanOthers(now, request))
        return RefusalReason::BusyNow;
    if (wouldMissDeadline(now, request))
        return RefusalReason::DeadlineTooNear;
    return std::nullopt;
}

std::optional<RefusalReason> AdmissionController::findStateRefusal() const
{
    if (m_isNodeDraining || m_state == TargetState::Draining)
        return RefusalReason::Draining;
    if (m_isZoneEvacuated)
        return RefusalReason::ZoneEvacuated;
    if (!m_isConfirmed)
        return RefusalReason::Unconfirmed;
    if (m_state != TargetState::Ready || !m_definition || !m_slots)
        return RefusalReason::NoTarget;
    return std::nullopt;
}

bool AdmissionController::isVmSlow() const
{
    return m_loadIntegrator.slowness() >= m_options.slowFactor * m_loadIntegrator.meanSlowness();
}

bool AdmissionController::isBusierThanOthers(Instant now, const CallRequest& request) const
{
    auto load = static_cast<double>(m_running + m_queue.size());
    double slots = limit();
    bool isLimited = !doLimitsAllowStart(now);
    if (isLimited)
        load = std::max(load, slots);
    bool isFull = isLimited || m_running >= slots;
    return isFull && request.meanLoad < slots && load > m_options.overloadFactor * request.meanLoad;
}

// The estimate includes the call's own service time, as a call that starts just before its deadline is answered too
// late. It uses the time of the call's route, because the target's average would judge short calls by long ones. With a
// free slot the estimate is ignored: an overestimate would otherwise refuse all calls and never be corrected.
bool AdmissionController::wouldMissDeadline(Instant now, const CallRequest& request) const
{
    if (canStart(now) || !isServiceRateKnown(now))
        return false;
    Duration wait = estimateQueueWait(now, m_queue.countAhead(request.tenant, request.priority) + 1);
    return now + wait + conservativeServiceTime(now, request) > request.deadline;
}

bool AdmissionController::canRunMore() const
{
    bool takesWork = m_state == TargetState::Ready || m_state == TargetState::Draining;
    return takesWork && m_pauseGate.isOpen() && m_running < limit();
}

bool AdmissionController::canStart(Instant now) const { return canRunMore() && doLimitsAllowStart(now); }

// The preceding tick has started every queued call that could start, so the queue is empty when a slot is free.
void AdmissionController::admit(Instant now, LinkId link, CallRequest request, AdmissionActions& actions)
{
    bool startsNow = canStart(now);
    if (!startsNow && !canMeetObjective(now, request)) {
        refuseNew(now, link, request, RefusalReason::QueueFull, actions);
        return;
    }
    auto reason = startsNow ? std::nullopt : reserveQueuePosition(now, request, actions);
    if (reason) {
        refuseNew(now, link, request, *reason, actions);
        return;
    }
    LedgerEntry& entry = m_ledger.insert(request, effectiveKind(request));
    m_ledger.addRequester(entry, { .link = link, .requestedId = request.id });
    if (startsNow)
        start(now, entry, std::move(request), actions);
    else {
        if (canRunMore() && !m_coldLimiter.mayStart(now))
            ++m_coldDelays;
        m_queue.push(std::move(request));
    }
}

// Slots plus queue positions, divided by the number of tenants with a running or queued call.
uint32_t AdmissionController::fairShare(const TenantName& tenant) const
{
    uint32_t positions = m_slots + m_definition->queueLimit;
    uint32_t active = m_tenants.countActive(tenant);
    return (positions + active - 1) / active;
}

std::optional<RefusalReason> AdmissionController::reserveQueuePosition(
    Instant now, const CallRequest& request, AdmissionActions& actions)
{
    if (m_queue.bytes() + request.http.body.size() > m_options.maximumQueuedBytes)
        return RefusalReason::QueueFull;
    if (m_queue.size() < m_definition->queueLimit)
        return std::nullopt;
    uint32_t share = fairShare(request.tenant);
    bool isOverShare = m_tenants.usage(request.tenant) >= share;
    RefusalReason ownReason = isOverShare ? RefusalReason::TenantOverShare : RefusalReason::QueueFull;
    const CallRequest* victim = m_queue.findVictim();
    if (!victim || victim->priority < request.priority)
        return ownReason;
    bool isVictimOverShare = m_tenants.usage(victim->tenant) > share;
    if (victim->priority == request.priority && (isOverShare || !isVictimOverShare))
        return ownReason;
    auto reason = isVictimOverShare ? RefusalReason::TenantOverShare : RefusalReason::QueueFull;
    auto shed = m_queue.take(AttemptId(victim->id));
    refuse(now, *m_ledger.find(shed->id), reason, actions);
    return std::nullopt;
}

// Calls that can still meet their objective get slots first. The others get the remaining slots or are refused with a
// retry delay: in a sustained overload they would wait for slots that do not become free.
void AdmissionController::startQueued(Instant now, AdmissionActions& actions)
{
    std::vector<CallRequest> late;
    while (canStart(now)) {
        auto request = m_queue.takeNext(m_serviceTime.average());
        if (!request)
            break;
        bool missesObjective = hasObjective(*request) && now + expectedServiceTime(now, *request) > request->objective;
        if (missesObjective && !m_queue.isEmpty())
            late.push_back(std::move(*request));
        else
            startOrRefuse(now, std::move(*request), actions);
    }
    for (auto& it : late) {
        if (canStart(now))
            startOrRefuse(now, std::move(it), actions);
        else
            refuse(now, *m_ledger.find(it.id), RefusalReason::QueueFull, actions);
    }
}

// Refuses a call that would miss its deadline only while another call waits: an overestimated service time must not
// leave the slot idle.
void AdmissionController::startOrRefuse(Instant now, CallRequest request, AdmissionActions& actions)
{
    LedgerEntry& entry = *m_ledger.find(request.id);
    bool isTooLateToUse = now + conservativeServiceTime(now, request) > request.deadline;
    if (request.deadline <= now)
        refuse(now, entry, RefusalReason::DeadlinePassed, actions);
    else if (isTooLateToUse && !m_queue.isEmpty())
        refuse(now, entry, RefusalReason::DeadlineTooNear, actions);
    else
        start(now, entry, std::move(request), actions);
}

void AdmissionController::start(Instant now, LedgerEntry& entry, CallRequest request, AdmissionActions& actions)
{
    m_ledger.start(entry, now);
    m_tenants.incrementRunning(entry.tenant);
    m_running++;
    m_limiter.recordStart(now);
    m_coldLimiter.recordStart(now);
    m_loadIntegrator.setRunning(m_running, now);
    m_runningCalls[request.id] = { .route = request.route,
        .startSnapshot = m_loadIntegrator.snapshot(now),
        .runningAtStart = m_running,
        .deadline = request.deadline };
    actions.push_back(StartOnTarget {
        .id = request.id,
        .service = std::move(request.service),
        .tenant = std::move(request.tenant),
        .kind = entry.kind,
        .deadline = request.deadline,
        .http = std::move(request.http),
        .requestId = std::move(request.requestId),
    });
}

void AdmissionController::refuseExpired(Instant now, AdmissionActions& actions)
{
    while (auto request = m_queue.takeExpired(now))
        refuse(now, *m_ledger.find(request->id), RefusalReason::DeadlinePassed, actions);
}

void AdmissionController::refuseAllQueued(Instant now, RefusalReason reason, AdmissionActions& actions)
{
    while (auto request = m_queue.takeNext(m_serviceTime.average()))
        refuse(now, *m_ledger.find(request->id), reason, actions);
}

void AdmissionController::cancel(Instant now, const CallCancel& message, AdmissionActions& actions)
{
    LedgerEntry* entry = m_ledger.find(message.id);
    if (!entry)
        return;
    if (auto* joined = std::get_if<AttemptJoined>(&entry->state))
        entry = m_ledger.find(joined->original);
    if (entry)
        cancelAttempt(now, *entry, actions);
}

void AdmissionController::cancelAttempt(Instant now, LedgerEntry& entry, AdmissionActions& actions)
{
    if (m_queue.take(entry.id)) {
        refuse(now, entry, RefusalReason::Cancelled, actions);
        return;
    }
    auto* running = std::get_if<AttemptRunning>(&entry.state);
    if (!running || running->isCancelSent || entry.kind != RequestKind::Idempotent)
        return;
    running->isCancelSent = true;
    actions.push_back(CancelOnTarget { .id = entry.id });
}

void AdmissionController::query(Instant now, LinkId link, const CallQuery& message, AdmissionActions& actions)
{
    m_pauseGate.addLink(link);
    tick(now, actions);
    LedgerLookup found = m_ledger.lookUp(now, message.id, message.deadline, std::nullopt, retentionKind());
    if (found.match == LedgerMatch::Known && found.entry->isLive()) {
        m_ledger.addRequester(*found.entry, { .link = link, .requestedId = message.id });
        actions.push_back(AnswerQuery { .link = link, .reply = CallPending { .id = message.id } });
        return;
    }
    bool isUnknown = found.match == LedgerMatch::Unknown;
    if (isUnknown && message.receiver != m_options.self) {
        // The process that previously had this node's address may have run the attempt.
        CallLost lost { .id = message.id, .reason = LossReason::NodeRestarted, .load = load(now) };
        actions.push_back(AnswerQuery { .link = link, .reply = lost });
        return;
    }
    if (isUnknown)
        m_ledger.insertTombstone(now, message.id, message.deadline, retentionKind(), RefusalReason::RefusedBefore);
    CallReply reply = makeReply(now, message.id, found);
    std::visit([&](auto& it) { actions.push_back(AnswerQuery { .link = link, .reply = std::move(it) }); }, reply);
}

LedgerEntry* AdmissionController::releaseSlot(Instant now, const AttemptId& id)
{
    LedgerEntry* entry = m_ledger.find(id);
    if (!entry || !entry->is<AttemptRunning>())
        return nullptr;
    m_running--;
    m_loadIntegrator.setRunning(m_running, now);
    m_runningCalls.erase(id);
    return entry;
}

void AdmissionController::recordRun(Instant now, const AttemptId& id, uint16_t status)
{
    auto run = m_runningCalls.find(id);
    // The duration of a failed call says nothing about the service time.
    if (run == m_runningCalls.end() || status >= 500)
        return;
    double slowness = std::max(m_loadIntegrator.meanSlowness(run->second.startSnapshot, now), 0.1);
    auto elapsed = static_cast<double>((now - run->second.startSnapshot.at).count());
    m_concurrency.recordRun({ .route = run->second.route,
                                .elapsed = Duration(std::llround(elapsed / slowness)),
                                .runningAtStart = run->second.runningAtStart,
                                .meanRunning = m_loadIntegrator.meanRunning(run->second.startSnapshot, now) },
        now);
}

void AdmissionController::targetAnswered(
    Instant now, const AttemptId& id, HttpResponse answer, AdmissionActions& actions)
{
    recordRun(now, id, answer.status);
    LedgerEntry* entry = releaseSlot(now, id);
    if (!entry)
        return;
    Duration elapsed = now - std::get<AttemptRunning>(entry->state).startedAt;
    m_serviceTime.recordAnswer(elapsed);
    m_tenants.recordServiceTime(entry->tenant, elapsed);
    m_tenants.decrementRunning(entry->tenant);
    for (auto& it : m_ledger.finish(*entry, std::move(answer)))
        actions.push_back(Reply { .link = it.link, .reply = makeReply(now, it.requestedId, *entry) });
    tick(now, actions);
}

void AdmissionController::targetLost(
    Instant now, const AttemptId& id, LossReason reason, AdmissionActions& actions, uint64_t targetEnd)
{
    LedgerEntry* entry = releaseSlot(now, id);
    if (!entry)
        return;
    m_serviceTime.recordLoss(now - std::get<AttemptRunning>(entry->state).startedAt);
    m_tenants.decrementRunning(entry->tenant);
    for (auto& it : m_ledger.lose(*entry, { .reason = reason, .targetEnd = targetEnd }))
        actions.push_back(Reply { .link = it.link, .reply = makeReply(now, it.requestedId, *entry) });
    tick(now, actions);
}

void AdmissionController::targetNotReached(Instant now, const AttemptId& id, AdmissionActions& actions)
{
    LedgerEntry* entry = releaseSlot(now, id);
    if (!entry)
        return;
    m_limiter.revokeStart(now);
    m_coldLimiter.revokeStart(std::get<AttemptRunning>(entry->state).startedAt);
    m_tenants.decrementRunning(entry->tenant);
    refuse(now, *entry, RefusalReason::ConnectFailed, actions);
    tick(now, actions);
}

void AdmissionController::targetRefused(Instant now, const AttemptId& id, AdmissionActions& actions)
{
    LedgerEntry* entry = releaseSlot(now, id);
    if (!entry)
        return;
    m_tenants.decrementRunning(entry->tenant);
    refuse(now, *entry, RefusalReason::Overloaded, actions);
    tick(now, actions);
}

void AdmissionController::recordReportedLoad(Instant now, const ReportedLoad& load)
{
    m_loadIntegrator.setSlowness(load.slownessPercent, now);
    m_slownessPercent = load.slownessPercent;
}

bool AdmissionController::recordRequestLimit(
    Instant now, std::optional<double> limit, Instant sentAt, AdmissionActions& actions)
{
    bool isChanged = m_limiter.recordAnswer(limit, sentAt, now);
    if (isChanged)
        tick(now, actions);
    return isChanged;
}

void AdmissionController::refuse(Instant now, LedgerEntry& entry, RefusalReason reason, AdmissionActions& actions)
{
    for (auto& it : m_ledger.refuse(now, entry, reason))
        actions.push_back(Reply { .link = it.link, .reply = makeRefusal(now, it.requestedId, reason) });
}

void AdmissionController::refuseNew(
    Instant now, LinkId link, const CallRequest& request, RefusalReason reason, AdmissionActions& actions)
{
    m_ledger.insertTombstone(now, request.id, request.deadline, effectiveKind(request), reason);
    actions.push_back(Reply { .link = link, .reply = makeRefusal(now, request.id, reason) });
}

// A tenant above its fair share is told to retry when the whole queue has drained, others when half of it has.
// Successive refusals get successive retry times, spaced by the rate at which the target finishes calls.
Duration AdmissionController::retryAfter(Instant now, RefusalReason reason)
{
    bool clearsWithQueue = reason == RefusalReason::QueueFull || reason == RefusalReason::TenantOverShare
        || reason == RefusalReason::DeadlineTooNear;
    if (!clearsWithQueue || !m_slots)
        return {};
    Duration drainTime = estimateWaitForSlots(m_queue.size() + 1);
    Duration wait = reason == RefusalReason::TenantOverShare ? drainTime : drainTime / 2;
    // Before that, the request limit would only refuse the call again.
    wait = std::max(wait, waitForLimits(m_queue.size() + 1, now));
    m_nextRetryAt = std::max(m_nextRetryAt + startInterval(now), now + wait);
    m_nextRetryAt = std::min(m_nextRetryAt, now + maximumRetryAfter);
    return m_nextRetryAt - now;
}

CallRefused AdmissionController::makeRefusal(Instant now, const AttemptId& id, RefusalReason reason)
{
    return { .id = id, .reason = reason, .retryAfter = retryAfter(now, reason), .load = load(now) };
}

// The entry must have ended.
CallReply AdmissionController::makeReply(Instant now, const AttemptId& requestedId, const LedgerEntry& entry)
{
    if (auto* finished = std::get_if<AttemptFinished>(&entry.state)) {
        return CallAnswered {
            .id = requestedId, .http = finished->answer, .load = load(now), .retryTokensUsed = finished->retryTokensUsed
        };
    }
    if (auto* lost = std::get_if<AttemptLost>(&entry.state))
        return CallLost { .id = requestedId, .reason = lost->reason, .load = load(now), .targetEnd = lost->targetEnd };
    return makeRefusal(now, requestedId, RefusalReason::RefusedBefore);
}

CallReply AdmissionController::makeReply(Instant now, const AttemptId& requestedId, const LedgerLookup& found)
{
    if (found.match == LedgerMatch::Known)
        return makeReply(now, requestedId, *found.entry);
    if (found.match == LedgerMatch::OutcomeUnknown)
        return CallLost { .id = requestedId, .reason = LossReason::AnswerDropped, .load = load(now) };
    return makeRefusal(now, requestedId, RefusalReason::RefusedBefore);
}

Result<NestedCallBudget, RefusalReason> AdmissionController::findNestedCallBudget(Instant now, const CallId& call) const
{
    const LedgerEntry* parent = m_ledger.findRunning(call);
    if (!parent || std::get<AttemptRunning>(parent->state).isCancelSent)
        return RefusalReason::UnknownParent;
    if (parent->depth >= maximumDepth)
        return RefusalReason::DepthExceeded;
    Instant deadline = parent->deadline - nestedCallMargin;
    if (deadline <= now)
        return RefusalReason::DeadlinePassed;
    return NestedCallBudget {
        .deadline = deadline,
        .retryTokens = parent->retryTokensLeft,
        .depth = parent->depth + 1,
    };
}

uint32_t AdmissionController::takeRetryTokens(const CallId& call, uint32_t wanted)
{
    LedgerEntry* parent = m_ledger.findRunning(call);
    if (!parent)
        return 0;
    uint32_t taken = std::min(wanted, parent->retryTokensLeft);
    parent->retryTokensLeft -= taken;
    return taken;
}

void AdmissionController::returnRetryTokens(const CallId& call, uint32_t unused)
{
    LedgerEntry* parent = m_ledger.findRunning(call);
    if (!parent)
        return;
    parent->retryTokensLeft += std::min(unused, parent->retryTokens - parent->retryTokensLeft);
}

Instant AdmissionController::latestRunningDeadline() const
{
    Instant latest;
    for (auto& [id, run] : m_runningCalls)
        latest = std::max(latest, run.deadline);
    return latest;
}

LoadReport AdmissionController::load(Instant now) const
{
    return {
        .slots = limit(),
        .running = toCount(m_running),
        .queued = toCount(m_queue.size()),
        .serviceTime = m_serviceTime.average(),
        .slownessPercent = m_slownessPercent,
        .isWarmingUp = m_state == TargetState::Ready && now < m_warmUntil,
        .startWait = waitForLimits(m_queue.size() + 1, now),
        .startInterval = std::max(m_limiter.interval(), m_coldLimiter.interval(now)),
    };
}

} // namespace Berylport
