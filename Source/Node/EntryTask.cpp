// Processing of caller requests, from arrival to the single response.
#include "Node/EntryTask.h"

#include "Log/Log.h"
#include "Membership/Membership.h"
#include "Node/MemoryLimits.h"
#include "Node/QuotaTask.h"
#include "Trace/Trace.h"

#include <algorithm>

namespace Berylport {

namespace {

constexpr std::string_view internalPathPrefix = "/berylport/";
// Upper bound of the attempts of one call, whatever its route says; the message format between nodes allows no more.
constexpr uint32_t maximumAttempts = 9;
// How often a call may be transferred to another target. With a quarter of the VMs slow at any time, the third target
// is slow as well in one of 64 calls.
constexpr uint32_t maximumSoftRefusals = 2;
// Added to the parent's deadline when nested calls are recognized, as a nested call carries that deadline in whole
// milliseconds and needs some time to arrive.
constexpr Duration nestedCallTolerance = std::chrono::milliseconds(5);
constexpr uint16_t firstServerError = 500;
// Bodies up to this size are hashed to remember that their requests ended well.
constexpr size_t maximumRememberedBody = 4096;
constexpr Duration memoryLogInterval = std::chrono::seconds(1);
constexpr std::string_view actionPathPrefix = "/berylport/actions/";

SelectionPolicy policyFor(std::string_view name)
{
    if (name == "two-choices")
        return TwoChoices {};
    if (name == "least-reported")
        return LeastReported {};
    if (name == "round-robin")
        return RoundRobin {};
    if (name == "random")
        return RandomChoice {};
    return FreshLoad {};
}

RequestScope scopeOf(const NodeContext& context, const StartCall& call)
{
    std::string_view destination = call.definition.name.text;
    if (!call.route.empty())
        destination = findHeader(call.http.headers, "Host").value_or(std::string_view());
    return { .origin = context.settings.node.service, .account = call.tenant.text, .destination = destination };
}

Suspicion suspicionOf(NodeContext& context, const StartCall& call)
{
    RequestScope scope = scopeOf(context, call);
    Suspicion suspicion = context.suspects.suspicion(scope, call.http);
    if (suspicion == Suspicion::Refused)
        context.suspects.recordRefusal(hashRequest(scope, call.http), steadyNow());
    return suspicion;
}

CallOptions makeCallOptions(NodeContext& context)
{
    CallOptions options;
    options.routing.zone = context.settings.node.zone;
    options.routing.region = context.settings.node.region;
    options.routing.otherZoneFactor = context.settings.routing.otherZoneFactor;
    options.routing.policy = policyFor(context.settings.routing.policy);
    options.routing.otherZoneRoundTrip = context.settings.routing.crossZoneRoundTrip;
    options.seed = context.seed;
    options.retriesServerErrors = context.settings.retry.serverErrors;
    options.maximumSoftRefusals = maximumSoftRefusals;
    options.maximumRefusals += maximumSoftRefusals;
    options.suspicion = [&context](const StartCall& call) { return suspicionOf(context, call); };
    return options;
}

MetricKey outcomeKey(std::string_view outcome)
{
    return { .name = "berylport_calls_total", .labelName = "outcome", .labelValue = std::string(outcome) };
}

} // namespace

EntryTask::EntryTask(NodeContext& context, PatientRequestHandler* const& patient)
    : Task(context.loop, "entry")
    , m_context(context)
    , m_patient(patient)
    , m_mailbox(context.loop,
          guarded([this](EntryMessage&& message) { std::visit([this](auto& it) { handle(std::move(it)); }, message); }))
    , m_coordinator(makeCallOptions(context))
    , m_server(context.loop.base(), guarded([this](HttpRequest request, const Endpoint& peer, Responder responder) {
        requestArrived(std::move(request), peer, std::move(responder));
    }),
          makeServerOptions())
    , m_timer(context.loop, guarded([this] { wake(); }))
    , m_split(context.seed ^ 0x5B117)
    , m_lastTicket(static_cast<QuotaTicket>(toMicroseconds(steadyNow())))
{
}

EntryTask::~EntryTask() = default;

HttpServerOptions EntryTask::makeServerOptions()
{
    const CallerSection& settings = m_context.settings.caller;
    MemoryLimits memory = memoryLimits(m_context.settings.memory);
    return { .limits = { .headBytes = settings.maximumHeaderBytes, .bodyBytes = settings.maximumBodyBytes },
        .headTime = settings.readTimeout,
        .bodyTime = settings.readTimeout,
        .idleTime = settings.idleTimeout,
        .runsBesideOthers = [this](const HttpRequest& request) { return mayRunConcurrently(request); },
        .pipeline = { .requests = settings.pipelinedRequests },
        .maximumPipelinedBytes = memory.pipelinedBytes,
        .memory = { .maximumBytes = memory.callerBytes },
        .onMemoryExceeded = guarded([this](const Endpoint& peer, size_t held) { memoryExceeded(peer, held); }),
        .maxConnections = settings.maximumConnections };
}

void EntryTask::start()
{
    auto endpoint = m_server.listen(m_context.settings.listen.caller);
    if (!endpoint)
        throw std::runtime_error("cannot listen for callers on " + toText(m_context.settings.listen.caller) + ": "
            + std::string(toText(endpoint.error())));
    m_context.ports.entry.attach(&m_mailbox);
    // A restarted task has missed earlier messages, so it takes the present state from the node status.
    m_catalogue = m_context.status.catalogue;
    m_guard = m_context.status.guard;
    if (m_catalogue->routes)
        applyLimits(m_catalogue->routes->configuration());
    m_coordinator.updateTargets(m_context.status.targets, steadyNow());
    updateRetryBudget();
}

void EntryTask::stop() noexcept
{
    m_context.ports.entry.detach();
    m_server.stopListening();
    m_timer.stop();
}

// --- requests

void EntryTask::refuse(const Responder& responder, std::string_view requestId, EntryRefusal refusal)
{
    logEvent(Event::RequestRejected,
        { { "request", std::string(requestId) }, { "reason", std::string(toText(refusal)) },
            { "configuration", std::to_string(m_catalogue->version) }, { "confirmed_ago_ms", confirmationAge() },
            { "confirmed_by", confirmationReader() } });
    m_context.metrics.add({ .name = "berylport_entry_refusals_total",
        .labelName = "reason",
        .labelValue = std::string(toText(refusal)) });
    responder.answer(makeRefusal(refusal, dialect()));
}

std::string EntryTask::confirmationAge() const
{
    auto& confirmation = m_context.status.confirmation;
    return confirmation ? std::to_string(toMilliseconds(steadyNow() - confirmation->at)) : "unknown";
}

std::string EntryTask::confirmationReader() const
{
    auto& confirmation = m_context.status.confirmation;
    return confirmation ? toText(confirmation->reader) : "none";
}

void EntryTask::memoryExceeded(const Endpoint& peer, size_t held)
{
    m_context.metrics.add("berylport_caller_memory_closes_total");
    Instant now = steadyNow();
    if (now < m_memoryQuietUntil)
        return;
    m_memoryQuietUntil = now + memoryLogInterval;
    logEvent(Event::CallerMemoryExceeded, { { "peer", toText(peer) }, { "held_bytes", std::to_string(held) } });
}

bool EntryTask::answerInternalPath(const HttpRequest& request, const Responder& responder)
{
    std::string_view path = request.target;
    if (!path.starts_with(internalPathPrefix))
        return false;
    if (path.starts_with(actionPathPrefix) && m_patient)
        m_patient->showAction(path.substr(actionPathPrefix.size()), request, responder);
    else if (path == "/berylport/health")
        responder.answer({ .status = static_cast<uint16_t>(m_guard == GuardState::Confirmed ? 200 : 503),
            .body = std::string(toText(m_guard)) + "\n" });
    else
        responder.answer({ .status = 404 });
    return true;
}

bool EntryTask::mayRunConcurrently(const HttpRequest& request) const
{
    if (m_catalogue->routes) {
        auto host = findHeader(request.headers, "Host").value_or(std::string_view());
        const TrafficRoute* route = m_catalogue->routes->find(host, request.target);
        return route && route->kind == RequestKind::Idempotent;
    }
    auto caller = dialect().readCaller(request);
    if (!caller)
        return false;
    auto definition = m_catalogue->services.find(caller.value().service.value_or(ServiceName()));
    return definition != m_catalogue->services.end() && definition->second.kind == RequestKind::Idempotent;
}

void EntryTask::requestArrived(HttpRequest request, const Endpoint&, Responder responder)
{
    if (answerInternalPath(request, responder))
        return;
    auto caller = dialect().readCaller(request);
    if (!caller) {
        refuse(responder, {}, caller.error());
        return;
    }
    const std::string& requestId = caller.value().requestId;
    if (m_guard != GuardState::Confirmed) {
        refuse(
            responder, requestId, m_guard == GuardState::Isolated ? EntryRefusal::Isolated : EntryRefusal::Unconfirmed);
        return;
    }
    auto policy = resolvePolicy(caller.value(), request, responder.readAt());
    if (!policy) {
        refuse(responder, requestId, policy.error());
        return;
    }
    const RequestPolicy& resolved = policy.value();
    Duration timeout = std::min(resolved.definition.callerWait, caller.value().timeout.value_or(Duration::max()));
    Duration objective = std::max(resolved.objective, Duration::zero());
    if (m_isEnding || !mayStartRequest(m_context.status.shutdown, steadyNow(), objective, timeout)) {
        refuse(responder, requestId, EntryRefusal::Stopping);
        return;
    }
    if (policy.value().definition.kind != RequestKind::Patient) {
        startWithinQuota(
            std::move(caller).value(), std::move(policy).value(), std::move(request), std::move(responder));
        return;
    }
    if (m_patient)
        m_patient->accept(policy.value().definition, caller.value(), std::move(request), std::move(responder));
    else
        refuse(responder, requestId, EntryRefusal::PatientUnavailable);
}

Result<EntryTask::RequestPolicy, EntryRefusal> EntryTask::resolvePolicy(
    const CallerRequest& caller, const HttpRequest& request, Instant readAt)
{
    if (!m_catalogue->routes) {
        auto definition = m_catalogue->services.find(caller.service.value_or(ServiceName()));
        if (definition == m_catalogue->services.end())
            return EntryRefusal::UnknownService;
        return RequestPolicy {
            .definition = definition->second, .objective = definition->second.callerWait, .route = {}
        };
    }
    auto host = findHeader(request.headers, "Host").value_or(std::string_view());
    const TrafficRoute* route = m_catalogue->routes->find(host, request.target);
    if (!route)
        return EntryRefusal::NoRoute;
    auto found = findAccount(request, *route);
    if (!found)
        return found.error();
    const ClientAccount* account = found.value();
    uint32_t ownRank = account ? account->rank.value_or(route->rank) : route->rank;
    Instant expires = readAt + caller.timeout.value_or(route->timeout);
    m_nested.recordArrival(route->name, expires <= m_context.status.latestRunningDeadline + nestedCallTolerance);
    bool isNested = m_nested.isNested(route->name);
    // A nested call gets a higher priority, as its parent call is already running, and its result is useful until the
    // deadline.
    uint32_t rank = isNested && ownRank ? ownRank - 1 : ownRank;
    Duration objective = isNested ? route->timeout : route->latencyObjective;
    if (!isNested && caller.timeout)
        objective -= m_returning.recordArrival(route->name, *caller.timeout, readAt);
    ServiceDefinition definition { .name = m_split.next(*route),
        .kind = route->kind,
        .priority = priorityOfRank(rank),
        .callerWait = route->timeout,
        .retryTokens = std::clamp<uint32_t>(route->maximumAttempts, 1, maximumAttempts) - 1 };
    return RequestPolicy {
        .definition = std::move(definition),
        .objective = objective,
        .route = route->name,
        .isNested = isNested,
        .account = account ? account->name.text : std::string(),
    };
}

Result<const ClientAccount*, EntryRefusal> EntryTask::findAccount(
    const HttpRequest& request, const TrafficRoute& route) const
{
    if (!m_catalogue->accounts)
        return nullptr;
    auto key = dialect().readKey(request);
    const ClientAccount* account = key ? m_catalogue->accounts->find(*key) : nullptr;
    if (!account && !route.isPublic)
        return EntryRefusal::UnknownKey;
    return account;
}

void EntryTask::startWithinQuota(CallerRequest request, RequestPolicy policy, HttpRequest http, Responder responder)
{
    if (policy.account.empty()) {
        startCall(request, policy, std::move(http), std::move(responder), {});
        return;
    }
    QuotaTicket ticket = ++m_lastTicket;
    QuotaActions actions;
    QuotaDecision decision = m_context.quota.request(ticket, policy.account, steadyNow(), actions);
    if (auto* admitted = std::get_if<QuotaAdmitted>(&decision))
        startCall(request, policy, std::move(http), std::move(responder), admitted->token);
    else if (auto* refused = std::get_if<QuotaRefused>(&decision))
        refuseOverQuota(responder, request, policy, *refused);
    else {
        m_pendingRequests.emplace(ticket,
            PendingRequest { .request = std::move(request),
                .policy = std::move(policy),
                .http = std::move(http),
                .responder = std::move(responder) });
        updateStatus();
    }
    performQuotaActions(m_context, actions);
    m_context.ports.quota.post(QuotaRequested {});
}

void EntryTask::handle(QuotaDecided&& message)
{
    auto it = m_pendingRequests.find(message.decided.ticket);
    auto* admitted = std::get_if<QuotaAdmitted>(&message.decided.decision);
    bool isWanted = it != m_pendingRequests.end() && it->second.responder.isOpen();
    if (admitted && !isWanted)
        m_context.quota.giveBack(admitted->token, steadyNow());
    if (it == m_pendingRequests.end())
        return;
    PendingRequest pending = std::move(it->second);
    m_pendingRequests.erase(it);
    if (!isWanted)
        updateStatus();
    else if (admitted)
        startCall(
            pending.request, pending.policy, std::move(pending.http), std::move(pending.responder), admitted->token);
    else {
        refuseOverQuota(
            pending.responder, pending.request, pending.policy, std::get<QuotaRefused>(message.decided.decision));
        updateStatus();
    }
}

void EntryTask::refuseOverQuota(
    const Responder& responder, const CallerRequest& request, const RequestPolicy& policy, const QuotaRefused& refused)
{
    logEvent(Event::RequestRejected,
        { { "request", request.requestId }, { "reason", std::string(toText(EntryRefusal::OverQuota)) },
            { "account", policy.account }, { "answered", refused.isUnanswered ? "no" : "yes" },
            { "retry_after_ms", std::to_string(toMilliseconds(refused.retryAfter)) },
            { "configuration", std::to_string(m_catalogue->version) } });
    m_context.metrics.add(
        { .name = "berylport_quota_refusals_total", .labelName = "account", .labelValue = policy.account });
    responder.answer(makeRefusal(EntryRefusal::OverQuota, dialect(), refused.retryAfter));
}

void EntryTask::startCall(const CallerRequest& request, const RequestPolicy& policy, HttpRequest http,
    Responder responder, const QuotaToken& quotaToken)
{
    // The timeout starts when the request was read, so it includes the time that the request waited for other requests
    // of its connection.
    Instant readAt = responder.readAt();
    const ServiceDefinition& definition = policy.definition;
    Duration wait = std::min(definition.callerWait, request.timeout.value_or(definition.callerWait));
    auto parentSpan = findHeader(http.headers, Header::traceParent).value_or(std::string_view());
    auto span = startSpan(*m_context.tracer, "call", parentSpan);
    span->SetTag("service", definition.name.text);
    dialect().prepareForward(http, m_context.settings.node.service);
    if (m_catalogue->accounts)
        dialect().setAccount(http, policy.account);
    CallId id { .origin = m_context.self, .sequence = ++m_lastSequence };
    StartCall call { .id = id,
        .definition = definition,
        .tenant = policy.account.empty() ? request.tenant : TenantName(policy.account),
        .http = std::move(http),
        .deadline = readAt + wait,
        .objective = readAt + policy.objective,
        .retryTokens = definition.retryTokens,
        .parent = request.parent,
        .requestId = request.requestId,
        .route = policy.route };
    Caller caller { .responder = std::move(responder),
        .span = std::move(span),
        .arrived = readAt,
        .service = definition.name,
        .route = policy.route,
        .requestId = request.requestId,
        .configuration = m_catalogue->version,
        .quotaToken = quotaToken,
        .parent = request.parent };
    if (!request.parent) {
        beginCall(std::move(call), std::move(caller));
        return;
    }
    if (!m_context.ports.target.post(FindParent { .child = id, .parent = *request.parent }))
        m_mailbox.post(ParentFound { .child = id, .allowance = RefusalReason::UnknownParent });
    m_pendingChildCalls.emplace(id, PendingChildCall { .call = std::move(call), .caller = std::move(caller) });
}

void EntryTask::handle(ParentFound&& found)
{
    auto it = m_pendingChildCalls.find(found.child);
    if (it == m_pendingChildCalls.end())
        return;
    PendingChildCall child = std::move(it->second);
    m_pendingChildCalls.erase(it);
    if (!found.allowance) {
        m_context.quota.giveBack(child.caller.quotaToken, steadyNow());
        AnswerCaller answer { .id = found.child, .result = CallFailure::Refused, .refusal = found.allowance.error() };
        child.caller.responder.answer(makeAnswer(std::move(answer), dialect()));
        return;
    }
    const NestedCallBudget& allowance = found.allowance.value();
    child.call.deadline = std::min(child.call.deadline, allowance.deadline);
    child.call.retryTokens = allowance.retryTokens;
    child.call.depth = allowance.depth;
    child.caller.tokensFromParent = allowance.retryTokens;
    beginCall(std::move(child.call), std::move(child.caller));
}

void EntryTask::beginCall(StartCall call, Caller caller)
{
    CallId id = call.id;
    caller.responder.onCallerGone(guarded([this, id] {
        auto gone = m_callers.find(id);
        if (gone != m_callers.end()) {
            logEvent(Event::CallerLeft,
                { { "request", gone->second.requestId }, { "call", toText(id) },
                    { "elapsed_ms", std::to_string(toMilliseconds(steadyNow() - gone->second.arrived)) } });
        }
        CallActions actions;
        m_coordinator.callerDisconnected(id, steadyNow(), actions);
        perform(actions);
        m_callers.erase(id);
        updateStatus();
    }));
    m_callers.emplace(id, std::move(caller));
    CallActions actions;
    m_coordinator.startCall(std::move(call), steadyNow(), actions);
    perform(actions);
}

// --- messages

void EntryTask::recordAttemptEnd(const AttemptId& id, std::string_view outcome)
{
    auto it = m_callers.find(id.call);
    if (it == m_callers.end())
        return;
    std::string& attempts = it->second.attempts;
    attempts += (attempts.empty() ? "" : " ") + std::to_string(id.attempt) + ":" + std::string(outcome) + "@"
        + std::to_string(toMilliseconds(steadyNow() - it->second.arrived));
}

void EntryTask::handle(AttemptReplied&& message)
{
    AttemptId id = std::visit([](auto& it) { return it.id; }, message.reply);
    m_attemptSpans.erase(id);
    if (auto* refused = std::get_if<CallRefused>(&message.reply))
        recordAttemptEnd(id, toText(refused->reason));
    else if (auto* lost = std::get_if<CallLost>(&message.reply)) {
        recordAttemptEnd(id, toText(lost->reason));
        recordEvidence(*lost);
    } else
        recordEvidence(std::get<CallAnswered>(message.reply));
    CallActions actions;
    m_coordinator.replyArrived(message.reply, steadyNow(), actions);
    perform(actions);
}

void EntryTask::recordEvidence(const CallLost& lost)
{
    const StartCall* call = m_coordinator.findCall(lost.id.call);
    if (!lost.targetEnd || !call)
        return;
    auto& suspects = m_context.suspects;
    RequestFingerprint fingerprint = hashRequest(scopeOf(m_context, *call), call->http);
    suspects.recordEnd(fingerprint, lost.targetEnd, steadyNow());
    m_context.ports.membership.post(SuspectsChanged {});
    logEvent(Event::CallEndedWithTarget,
        { { "request", call->requestId }, { "call", toText(lost.id.call) },
            { "attempt", std::to_string(lost.id.attempt) }, { "service", call->definition.name.text },
            { "end", std::to_string(lost.targetEnd) }, { "fingerprint", toText(fingerprint) },
            { "suspicion", std::string(toText(suspects.suspicion(fingerprint))) } });
}

void EntryTask::recordEvidence(const CallAnswered& answered)
{
    const StartCall* call = m_coordinator.findCall(answered.id.call);
    if (!call || answered.http.status >= firstServerError)
        return;
    auto& suspects = m_context.suspects;
    RequestScope scope = scopeOf(m_context, *call);
    bool isLarge = call->http.body.size() > maximumRememberedBody;
    if (isLarge && suspects.suspicion(scope, call->http) == Suspicion::None)
        return;
    uint64_t before = suspects.revision();
    suspects.recordGoodEnd(hashRequest(scope, call->http), steadyNow());
    if (suspects.revision() != before)
        m_context.ports.membership.post(SuspectsChanged {});
}

void EntryTask::handle(AttemptNotSent&& message)
{
    m_attemptSpans.erase(message.id);
    recordAttemptEnd(message.id, "not-sent");
    CallActions actions;
    m_coordinator.sendFailed(message.id, steadyNow(), actions);
    perform(actions);
}

void EntryTask::handle(QueryReplied&& message)
{
    if (auto* lost = std::get_if<CallLost>(&message.reply))
        recordEvidence(*lost);
    else if (auto* answered = std::get_if<CallAnswered>(&message.reply))
        recordEvidence(*answered);
    CallActions actions;
    m_coordinator.queryAnswered(message.reply, steadyNow(), actions);
    perform(actions);
}

void EntryTask::handle(QueryFailed&& message)
{
    CallActions actions;
    m_coordinator.queryFailed(message.id, steadyNow(), actions);
    perform(actions);
}

void EntryTask::handle(TargetsChanged&& message)
{
    m_coordinator.updateTargets(message.targets, steadyNow());
    updateRetryBudget();
}

void EntryTask::updateRetryBudget()
{
    const RetrySection& retry = m_context.settings.retry;
    if (!retry.fleetExtra)
        return;
    FleetBudget fleet { .share = retry.share, .extra = retry.fleetExtra, .window = retry.window };
    const NodeStatus& status = m_context.status;
    // Members are sorted, so all nodes with the same view compute consistent ranks.
    auto rank = std::ranges::count_if(
        status.members, [&](auto& it) { return isPresent(it.state) && it.node < m_context.self; });
    FleetPosition position { .nodes = status.isDiscoveryDone ? status.knownNodes : 0,
        .rank = static_cast<size_t>(rank) };
    m_coordinator.services().setRetryBudget(CallBudget::forNode(fleet, position));
}

void EntryTask::handle(CatalogueChanged&& message)
{
    m_catalogue = std::move(message.catalogue);
    if (m_catalogue->routes)
        applyLimits(m_catalogue->routes->configuration());
}

void EntryTask::applyLimits(const TrafficConfiguration& configuration)
{
    m_split.retain(configuration);
    const CallerLimits& limits = configuration.limits;
    const CallerSection& settings = m_context.settings.caller;
    m_server.setLimits(
        { .headBytes = limits.headerBytes, .bodyBytes = std::min(limits.bodyBytes, settings.maximumBodyBytes) },
        limits.headerTimeout, limits.idleTimeout);
}

void EntryTask::handle(MemberGone&& message)
{
    CallActions actions;
    m_coordinator.nodeTerminated(message.node, steadyNow(), actions);
    perform(actions);
}

void EntryTask::handle(ServingChanged&& message) { m_guard = message.state; }

void EntryTask::handle(BeginDrain&&)
{
    // Requests that still arrive on open connections are served; rejecting them would make callers lose requests.
    m_server.stopListening();
    m_server.closeAfterAnswers();
}

void EntryTask::handle(StopRetries&&)
{
    m_isEnding = true;
    m_coordinator.stopRetries();
}

void EntryTask::handle(EndCalls&&)
{
    for (auto& [id, child] : std::exchange(m_pendingChildCalls, {}))
        refuse(child.caller.responder, child.caller.requestId, EntryRefusal::Stopping);
    for (auto& [ticket, pending] : std::exchange(m_pendingRequests, {})) {
        m_context.quota.cancel(ticket);
        refuse(pending.responder, pending.request.requestId, EntryRefusal::Stopping);
    }
    CallActions actions;
    m_coordinator.endCalls(steadyNow(), actions);
    perform(actions);
}

// --- actions

void EntryTask::perform(CallActions& actions)
{
    for (auto& action : actions)
        std::visit([this](auto& it) { perform(std::move(it)); }, action);
    if (auto next = m_coordinator.nextWake())
        m_timer.startAt(*next);
    else
        m_timer.stop();
    updateStatus();
}

void EntryTask::perform(SendAttempt&& attempt)
{
    auto caller = m_callers.find(attempt.request.id.call);
    if (caller != m_callers.end()) {
        auto parent = traceParentText(caller->second.span->context());
        auto span = startSpan(*m_context.tracer, "attempt", parent);
        span->SetTag("target-node", toText(attempt.target.node));
        setHeader(attempt.request.http.headers, Header::traceParent, traceParentText(span->context()));
        m_attemptSpans[attempt.request.id] = std::move(span);
    }
    m_context.metrics.add("berylport_attempts_total");
    logAttempt(attempt);
    AttemptId id = attempt.request.id;
    if (attempt.target.node == m_context.self)
        sendToOwnTarget(std::move(attempt.request));
    else if (!m_context.ports.link.post(std::move(attempt)))
        m_mailbox.post(AttemptNotSent { .id = id });
}

void EntryTask::logAttempt(const SendAttempt& attempt)
{
    const CallRequest& request = attempt.request;
    const TargetView* view = m_coordinator.services().stateOf(request.service).selector.view(attempt.target);
    Instant now = steadyNow();
    auto caller = m_callers.find(request.id.call);
    uint64_t configuration = caller == m_callers.end() ? m_catalogue->version : caller->second.configuration;
    std::string age = "none";
    if (view && view->reportedAt)
        age = std::to_string(toMilliseconds(now - *view->reportedAt));
    logEvent(Event::AttemptSent,
        { { "request", request.requestId }, { "call", toText(request.id.call) },
            { "attempt", std::to_string(request.id.attempt) }, { "service", request.service.text },
            { "node", toText(attempt.target.node) }, { "account", request.tenant.text },
            { "configuration", std::to_string(configuration) }, { "confirmed_ago_ms", confirmationAge() },
            { "confirmed_by", confirmationReader() }, { "outstanding", std::to_string(view ? view->outstanding : 0) },
            { "reported_load", view ? std::to_string(view->load.running + view->load.queued) : "none" },
            { "report_age_ms", age }, { "left_ms", std::to_string(toMilliseconds(request.deadline - now)) } });
}

void EntryTask::sendToOwnTarget(CallRequest request)
{
    AttemptId id = request.id;
    auto reply
        = [&ports = m_context.ports](CallReply it) { ports.entry.post(AttemptReplied { .reply = std::move(it) }); };
    bool isPosted = m_context.ports.target.post(
        OfferCall { .link = LinkId {}, .request = std::move(request), .reply = std::move(reply) });
    if (!isPosted)
        m_mailbox.post(AttemptNotSent { .id = id });
}

void EntryTask::perform(SendCancel&& cancel)
{
    if (cancel.target.node == m_context.self)
        m_context.ports.target.post(CancelCall { .cancel = cancel.cancel });
    else
        m_context.ports.link.post(std::move(cancel));
}

void EntryTask::perform(SendQuery&& query)
{
    AttemptId id = query.query.id;
    if (query.target.node == m_context.self) {
        auto reply
            = [&ports = m_context.ports](QueryReply it) { ports.entry.post(QueryReplied { .reply = std::move(it) }); };
        if (!m_context.ports.target.post(
                QueryCall { .link = LinkId {}, .query = query.query, .reply = std::move(reply) }))
            m_mailbox.post(QueryFailed { .id = id });
        return;
    }
    if (!m_context.ports.link.post(std::move(query)))
        m_mailbox.post(QueryFailed { .id = id });
}

void EntryTask::perform(AnswerCaller&& answer)
{
    auto it = m_callers.find(answer.id);
    if (it == m_callers.end())
        return;
    Caller caller = std::move(it->second);
    m_callers.erase(it);
    if (caller.parent && caller.tokensFromParent > answer.retryTokensUsed) {
        m_context.ports.target.post(
            ReturnRetryTokens { .parent = *caller.parent, .unused = caller.tokensFromParent - answer.retryTokensUsed });
    }
    Instant now = steadyNow();
    if (answer.outcome == RunOutcome::NotRun)
        m_context.quota.giveBack(caller.quotaToken, now);
    caller.span->SetTag("outcome", std::string(toText(answer.outcome)));
    caller.span->SetTag("attempts", answer.attempts);
    m_context.metrics.add(outcomeKey(toText(answer.outcome)));
    MetricKey latency { .name = "berylport_call_seconds", .labelName = "service", .labelValue = caller.service.text };
    m_context.metrics.record(latency, now - caller.arrived, now);
    logAnswer(answer, caller, now);
    caller.responder.answer(makeAnswer(std::move(answer), dialect()));
}

void EntryTask::logAnswer(const AnswerCaller& answer, const Caller& caller, Instant now)
{
    std::string elapsed = std::to_string(toMilliseconds(now - caller.arrived));
    if (auto* response = std::get_if<HttpResponse>(&answer.result)) {
        logEvent(Event::CallAnswered,
            { { "request", caller.requestId }, { "call", toText(answer.id) }, { "service", caller.service.text },
                { "route", caller.route }, { "status", std::to_string(response->status) },
                { "attempts", std::to_string(answer.attempts) }, { "elapsed_ms", elapsed } });
        return;
    }
    bool isTargetMissing = std::get<CallFailure>(answer.result) == CallFailure::NoTarget;
    if (isTargetMissing && m_context.status.isViewPartial)
        m_context.ports.membership.post(MembershipRefreshRequested {});
    Event event = answer.outcome == RunOutcome::MayHaveRun ? Event::CallOutcomeUnknown : Event::CallGivenUp;
    logEvent(event,
        { { "request", caller.requestId }, { "call", toText(answer.id) }, { "service", caller.service.text },
            { "route", caller.route }, { "outcome", std::string(toText(answer.outcome)) },
            { "reason", std::string(toText(std::get<CallFailure>(answer.result))) },
            { "refusal", answer.refusal ? std::string(toText(*answer.refusal)) : "none" },
            { "history", caller.attempts }, { "members", std::to_string(m_context.status.members.size()) },
            { "members_complete", m_context.status.isViewPartial ? "no" : "yes" },
            { "attempts", std::to_string(answer.attempts) }, { "elapsed_ms", elapsed },
            { "retry_after_ms", std::to_string(toMilliseconds(answer.retryAfter)) } });
}

void EntryTask::wake()
{
    CallActions actions;
    m_coordinator.tick(steadyNow(), actions);
    perform(actions);
}

void EntryTask::updateStatus()
{
    m_context.status.entryCalls = m_callers.size() + m_pendingChildCalls.size() + m_pendingRequests.size();
    m_context.metrics.set("berylport_caller_held_bytes", static_cast<double>(m_server.heldBytes()));
}

} // namespace Berylport
