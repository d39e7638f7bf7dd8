// Connects the state machines of patient actions with the stores, the leases and the call path.
#include "Node/PatientTask.h"

#include "Node/NativeDialect.h"

#include "Log/Log.h"

#include <chrono>

namespace Berylport {

namespace {

constexpr Duration wakeInterval = std::chrono::milliseconds(50);
constexpr Duration assignmentInterval = std::chrono::seconds(1);
// Attempts of patient actions use the same CallId origin as calls of callers; the top bit separates their sequences.
constexpr uint64_t patientSequenceBit = uint64_t { 1 } << 63;
// After this uptime a node is assumed to know every member, so a node that is not a member is considered dead.
constexpr Duration membershipSettleTime = std::chrono::minutes(1);
constexpr double fleetWritesPerSecond = 100;
constexpr size_t tokenDigits = 32;
constexpr std::string_view actionPath = "/berylport/actions/";

HttpClientOptions makeClientOptions(const NodeContext& context, const std::optional<Endpoint>& server)
{
    HttpClientOptions options;
    options.server = server.value_or(Endpoint {});
    options.timeout = context.settings.platform.timeout;
    options.jitterSeed = context.seed + 7;
    return options;
}

int64_t unixMilliseconds()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Uses the native dialect, as patient actions exist only there.
HttpResponse makeUnavailable(std::optional<RunOutcome> outcome, std::string_view reason, Duration retryAfter)
{
    HttpResponse response = makeSystemAnswer(503, outcome, reason);
    if (retryAfter > Duration::zero())
        NativeDialect().setRetryAfter(response, retryAfter);
    return response;
}

HttpResponse answerFor(const AcceptResult& result)
{
    return std::visit(
        Overloaded {
            [](const ActionAccepted& it) {
                // The action will run, so "not-run" would be false, but it may not have run yet.
                HttpResponse response = makeSystemAnswer(202, RunOutcome::MayHaveRun, "accepted");
                setHeader(response.headers, "Location", std::string(actionPath) + it.token);
                setHeader(response.headers, Header::idempotencyKey, it.token);
                return response;
            },
            [](const ActionConflict&) { return makeSystemAnswer(409, RunOutcome::NotRun, "idempotency-key-conflict"); },
            [](const ActionTokenInvalid&) {
                return makeSystemAnswer(400, RunOutcome::NotRun, "invalid-idempotency-key");
            },
            [](const ActionRefused& it) {
                return makeUnavailable(RunOutcome::NotRun, toText(it.reason), it.retryAfter);
            },
            [](const ActionAcceptanceUnknown& it) {
                return makeUnavailable(RunOutcome::MayHaveRun, "acceptance-unknown", it.retryAfter);
            },
        },
        result);
}

HttpResponse answerFor(const ActionStatusResult& result)
{
    return std::visit(Overloaded {
                          [](const ActionFound& it) {
                              HttpResponse response = it.state == ActionState::Done
                                  ? it.result
                                  : makeSystemAnswer(200, std::nullopt, toText(it.state));
                              // The status of the action is a header, as the status of this response is that of the
                              // lookup.
                              setHeader(response.headers, "Berylport-Action-Status", std::to_string(it.result.status));
                              setHeader(response.headers, "Berylport-Action-State", toText(it.state));
                              setHeader(response.headers, Header::reason, toText(it.state));
                              response.status = 200;
                              return response;
                          },
                          [](const ActionNotFound&) { return makeSystemAnswer(404, std::nullopt, "unknown-action"); },
                          [](const ActionStatusUnavailable& it) {
                              return makeUnavailable(std::nullopt, "store-unavailable", it.retryAfter);
                          },
                      },
        result);
}

ActionOutcome outcomeOf(CallReply&& reply)
{
    return std::visit([](auto& it) -> ActionOutcome { return std::move(it); }, reply);
}

ActionOutcome outcomeOf(QueryReply&& reply)
{
    return std::visit([](auto& it) -> ActionOutcome { return std::move(it); }, reply);
}

} // namespace

PatientTask::PatientTask(NodeContext& context, PatientRequestHandler*& requestHandler, ActionLookup*& lookup)
    : Task(context.loop, "patient")
    , m_context(context)
    , m_requestHandler(requestHandler)
    , m_lookup(lookup)
    , m_mailbox(context.loop, guarded([this](PatientMessage&& message) {
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
    }))
    , m_table(context.loop.base(), makeClientOptions(context, context.settings.platform.table))
    , m_objects(context.loop.base(), makeClientOptions(context, context.settings.platform.objects))
    , m_budget({ .fleetWritesPerSecond = fleetWritesPerSecond,
          .share = context.settings.platform.writesPerSecond / fleetWritesPerSecond })
    // Also seeded with the time, as a restarted task must not reuse the request tokens of the earlier one.
    , m_random(context.seed ^ static_cast<uint64_t>(toMicroseconds(steadyNow())))
    , m_acceptor(m_table, m_objects, m_budget, { .node = context.self, .instance = m_random.next() })
    , m_status(m_table, m_objects)
    , m_timer(context.loop, guarded([this] { wake(); }))
{
}

PatientTask::~PatientTask() = default;

void PatientTask::start()
{
    m_context.ports.patient.attach(&m_mailbox);
    m_lastSequence = patientSequenceBit | (m_random.next() >> 1);
    for (uint32_t n = 0; n < actionPartitionCount; ++n) {
        LeaseOptions options { .name = partitionLeaseName(n), .holder = m_context.self, .instance = m_random.next() };
        m_partitions[n] = Partition { .number = n, .lease = std::make_unique<LeaseDriver>(m_table, options) };
    }
    m_requestHandler = this;
    m_lookup = this;
    m_timer.startPeriodic(wakeInterval);
}

void PatientTask::stop() noexcept
{
    m_requestHandler = nullptr;
    m_lookup = nullptr;
    m_context.ports.patient.detach();
    m_context.status.runningActions = 0;
    m_timer.stop();
}

// --- callers and operators

void PatientTask::accept(
    const ServiceDefinition& definition, const CallerRequest& caller, HttpRequest http, Responder responder)
{
    auto key = findHeader(http.headers, Header::idempotencyKey);
    std::string token
        = key ? std::string(*key) : toText(NodeId { m_random.next() }) + toText(NodeId { m_random.next() });
    static_assert(tokenDigits == 2 * 16, "two node ids of 16 digits");
    removeCallerHeaders(http);
    setHeader(http.headers, Header::idempotencyKey, token);
    AcceptRequest request { .token = token,
        .service = definition.name,
        .tenant = caller.tenant,
        .http = std::move(http),
        .deduplicates = definition.deduplicates };
    m_acceptor.accept(steadyNow(), std::move(request),
        [&metrics = m_context.metrics, token, responder](Instant, const AcceptResult& result) {
            if (std::holds_alternative<ActionAccepted>(result)) {
                logEvent(Event::ActionAccepted, { { "token", token } });
                metrics.add("berylport_actions_accepted_total");
            }
            responder.answer(answerFor(result));
        });
}

void PatientTask::showAction(std::string_view token, const HttpRequest& request, Responder responder)
{
    auto tenant = findHeader(request.headers, Header::tenant).value_or("default");
    m_status.query(std::string(token), TenantName(tenant),
        [responder](Instant, const ActionStatusResult& result) { responder.answer(answerFor(result)); });
}

void PatientTask::findAction(std::string token, OperatorReply<ActionReply> reply)
{
    m_status.query(token, std::nullopt, [token, reply](Instant, const ActionStatusResult& result) {
        ActionReply answer { .token = token };
        if (auto* found = std::get_if<ActionFound>(&result)) {
            answer.service = found->service;
            answer.state = toText(found->state);
            answer.resultStatus = found->result.status;
        } else if (std::holds_alternative<ActionNotFound>(result))
            answer.error = { .code = OperatorErrorCode::NotFound, .message = "no such action" };
        else
            answer.error
                = { .code = OperatorErrorCode::StoreUnavailable, .message = "the table service does not answer" };
        reply(std::move(answer));
    });
}

// --- partitions

void PatientTask::assignPartitions(Instant now)
{
    std::vector<NodeId> live;
    for (auto& it : m_context.status.members) {
        if (it.state == MemberState::Alive)
            live.push_back(it.node);
    }
    if (live.empty())
        live.push_back(m_context.self);
    auto tries = partitionsToTry(m_context.self, live);
    for (auto& [number, partition] : m_partitions) {
        auto it = std::ranges::find(tries, number, &PartitionTry::partition);
        if (it == tries.end()) {
            partition.acquireAt.reset();
            partition.lease->standDown();
        } else if (!partition.acquireAt)
            partition.acquireAt = now + it->delay;
    }
}

void PatientTask::startRunner(Partition& partition, Instant now)
{
    uint64_t fencingToken = partition.lease->fencingToken();
    uint32_t number = partition.number;
    auto holds = [lease = partition.lease.get(), fencingToken](Instant at) { return lease->holds(at, fencingToken); };
    logEvent(Event::PartitionAcquired,
        { { "partition", std::to_string(number) }, { "fencing_token", std::to_string(fencingToken) } });
    ActionRunnerOptions options {
        .node = m_context.self, .partition = number, .fencingToken = fencingToken, .instance = m_random.next()
    };
    ActionRunnerPorts ports { .table = m_table,
        .objects = m_objects,
        .budget = m_budget,
        .holds = holds,
        .selectTarget = [this](Instant, const ServiceName& service) { return selectTarget(service); },
        .nextCallId = [this] { return CallId { .origin = m_context.self, .sequence = ++m_lastSequence }; },
        .unixMilliseconds = unixMilliseconds,
        .perform = [this, number](RunnerAction action) { perform(number, std::move(action)); },
        .noteEnded = [this](std::string_view token, ActionState state) { recordActionEnd(token, state); } };
    partition.runner = std::make_unique<ActionRunner>(options, std::move(ports));
    ActionRetentionOptions retention {
        .partition = number, .fencingToken = fencingToken, .node = m_context.self, .instance = m_random.next()
    };
    partition.retention
        = std::make_unique<ActionRetention>(m_table, m_objects, m_budget, holds, unixMilliseconds, retention);
    partition.runner->tick(now);
}

void PatientTask::drivePartition(Partition& partition, Instant now)
{
    if (partition.acquireAt && now >= *partition.acquireAt && !m_isDraining)
        partition.lease->acquire(now);
    partition.lease->tick(now);
    bool mustEnd = partition.runner && (partition.runner->isStopped() || !partition.lease->holds(now));
    if (mustEnd) {
        logEvent(Event::PartitionLost, { { "partition", std::to_string(partition.number) } });
        partition.retention.reset();
        partition.runner.reset();
    }
    if (!partition.runner && partition.lease->holds(now) && !m_isDraining)
        startRunner(partition, now);
    if (partition.runner)
        partition.runner->tick(now);
    if (partition.retention)
        partition.retention->tick(now);
    if (m_isDraining && partition.runner && partition.runner->isIdle()) {
        partition.retention.reset();
        partition.runner.reset();
        partition.lease->release(now);
    }
}

void PatientTask::wake()
{
    Instant now = steadyNow();
    m_acceptor.tick(now);
    if (now >= m_nextAssignment && !m_isDraining) {
        m_nextAssignment = now + assignmentInterval;
        assignPartitions(now);
    }
    size_t running = m_acceptor.pending();
    for (auto& [number, partition] : m_partitions) {
        drivePartition(partition, now);
        running += partition.runner && !partition.runner->isIdle();
    }
    m_context.status.runningActions = running;
}

// --- actions of the runners

void PatientTask::perform(uint32_t partition, RunnerAction action)
{
    std::visit([&](auto& it) { perform(partition, std::move(it)); }, action);
}

std::function<void(ActionOutcome)> PatientTask::makeOutcomeCallback(
    uint32_t partition, std::string token, const AttemptId& attempt)
{
    return [&ports = m_context.ports, partition, token = std::move(token), attempt](ActionOutcome outcome) {
        ports.patient.post(ActionOutcomeArrived {
            .partition = partition, .token = token, .attempt = attempt, .outcome = std::move(outcome) });
    };
}

void PatientTask::perform(uint32_t partition, DispatchAction&& action)
{
    auto definition = m_context.status.catalogue->services.find(action.service);
    bool isKnown = definition != m_context.status.catalogue->services.end();
    CallRequest request { .id = action.attempt,
        .receiver = action.node,
        .service = action.service,
        .tenant = action.tenant,
        .kind = RequestKind::Patient,
        .priority = isKnown ? definition->second.priority : Priority::Bulk,
        .deadline = action.deadline,
        .http = std::move(action.http) };
    auto report = makeOutcomeCallback(partition, action.token, action.attempt);
    AttemptId id = action.attempt;
    auto notSent = [report, id] { report(CallRefused { .id = id, .reason = RefusalReason::ConnectFailed }); };
    bool isPosted = false;
    if (action.node == m_context.self) {
        auto reply = [report](CallReply it) { report(outcomeOf(std::move(it))); };
        isPosted = m_context.ports.target.post(
            OfferCall { .link = LinkId {}, .request = std::move(request), .reply = reply });
    } else {
        auto done = [report, notSent](std::optional<CallReply> it) {
            if (it)
                report(outcomeOf(std::move(*it)));
            else
                notSent();
        };
        isPosted = m_context.ports.link.post(
            SendActionAttempt { .node = action.node, .request = std::move(request), .done = done });
    }
    if (!isPosted)
        notSent();
}

void PatientTask::perform(uint32_t partition, QueryAction&& action)
{
    auto report = makeOutcomeCallback(partition, action.token, action.attempt);
    if (isNodeDead(action.node)) {
        report(NodeGone {});
        return;
    }
    CallQuery query {
        .id = action.attempt, .service = action.service, .receiver = action.node, .deadline = action.deadline
    };
    bool isPosted = false;
    if (action.node == m_context.self) {
        auto reply = [report](QueryReply it) { report(outcomeOf(std::move(it))); };
        isPosted = m_context.ports.target.post(QueryCall { .link = LinkId {}, .query = query, .reply = reply });
    } else {
        auto done = [report](std::optional<QueryReply> it) {
            if (it)
                report(outcomeOf(std::move(*it)));
            else
                report(NodeUnreachable {});
        };
        isPosted = m_context.ports.link.post(QueryActionAttempt { .node = action.node, .query = query, .done = done });
    }
    if (!isPosted)
        report(NodeUnreachable {});
}

void PatientTask::perform(uint32_t partition, RunnerStopped&& stopped)
{
    // The runner must not be destroyed inside its own callback; the next wake() replaces it.
    logEvent(Event::PartitionLost, { { "partition", std::to_string(partition) }, { "reason", stopped.reason } });
}

void PatientTask::handle(ActionOutcomeArrived&& message)
{
    Partition& partition = m_partitions[message.partition];
    if (partition.runner)
        partition.runner->noteOutcome(steadyNow(), message.token, message.attempt, std::move(message.outcome));
}

void PatientTask::handle(BeginDrain&&)
{
    m_isDraining = true;
    for (auto& [number, partition] : m_partitions) {
        partition.acquireAt.reset();
        partition.lease->standDown();
        if (partition.runner)
            partition.runner->drain();
    }
}

void PatientTask::recordActionEnd(std::string_view token, ActionState state)
{
    bool isInDoubt = state == ActionState::InDoubt;
    logEvent(isInDoubt ? Event::ActionInDoubt : Event::ActionDone, { { "token", std::string(token) } });
    m_context.metrics.add(isInDoubt ? "berylport_actions_in_doubt_total" : "berylport_actions_done_total");
}

std::optional<NodeId> PatientTask::selectTarget(const ServiceName& service)
{
    std::vector<NodeId> ready;
    for (auto& it : m_context.status.targets) {
        if (it.id.service == service && it.state == TargetState::Ready && !it.isSuspect)
            ready.push_back(it.id.node);
    }
    if (ready.empty())
        return std::nullopt;
    return ready[m_random.below(ready.size())];
}

bool PatientTask::isNodeDead(NodeId node) const
{
    if (node == m_context.self)
        return false;
    for (auto& it : m_context.status.members) {
        if (it.node == node)
            return it.state == MemberState::Dead;
    }
    return steadyNow() - m_context.status.startedAt >= membershipSettleTime;
}

} // namespace Berylport
