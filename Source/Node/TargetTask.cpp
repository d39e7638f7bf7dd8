// Executes the actions of admission and reports their results back to it.
#include "Node/TargetTask.h"

#include "Log/Log.h"
#include "Node/CallerAnswers.h"
#include "Node/HealthTask.h"
#include "Trace/Trace.h"

namespace Berylport {

namespace {

// Interval of the checks of announcements and probes. Expiry of queued calls has a timer of its own in admission.
constexpr Duration checkInterval = std::chrono::milliseconds(250);

// Estimated cost of one health probe: bytes of request and response with headers, and the CPU time of both.
constexpr uint64_t probeBytes = 300;
constexpr Duration probeCpu = std::chrono::microseconds(100);
// The load of a target is polled until this long after the last call that arrived for it.
constexpr Duration loadReadWindow = std::chrono::seconds(1);
constexpr Duration probeTimeout = std::chrono::milliseconds(500);
// The health of a target that may become cold is read this often while calls arrive. Between two reads a target that
// has become cold gets what it would get warm, at most a few calls.
constexpr Duration coldReadInterval = std::chrono::milliseconds(100);

// A target waits about one second for the response to its announcement. If the store takes longer than this, the
// departure is acknowledged anyway; this process enforces it even if it was not persisted.
constexpr Duration departureRecordTimeout = std::chrono::milliseconds(700);

// A target that has not answered its first probe by then is used without knowing whether it limits requests.
constexpr Duration firstAnswerTimeout = std::chrono::milliseconds(250);
// How long it may take to learn whether a target that closed its connections has ended, and how often it is asked when
// it closes that connection too.
constexpr Duration endCheckTimeout = std::chrono::milliseconds(250);
constexpr uint32_t maximumEndChecks = 3;
// While a target limits requests, at most one in this many is a probe, as far as the longest probe interval allows.
constexpr int64_t requestsPerProbe = 10;

AnswerOwner ownerOf(const TargetReport& report, std::string_view tag)
{
    if (report.answerTag.empty() || tag.empty())
        return AnswerOwner::Unnamed;
    return report.answerTag == tag ? AnswerOwner::Own : AnswerOwner::Other;
}

HttpResponse makeTextResponse(uint16_t status, std::string_view text)
{
    return { .status = status,
        .headers = { { .name = "Content-Type", .value = "text/plain" } },
        .body = std::string(text) + "\n" };
}

uint64_t bytesOf(const HttpRequest& request)
{
    uint64_t n = request.method.size() + request.target.size() + request.body.size();
    for (auto& it : request.headers)
        n += it.name.size() + it.value.size();
    return n;
}

uint64_t bytesOf(const HttpResponse& response)
{
    uint64_t n = response.body.size();
    for (auto& it : response.headers)
        n += it.name.size() + it.value.size();
    return n;
}

MeasureOptions makeMeasureOptions(const MeasureSection& settings)
{
    MeasureOptions options;
    options.bytesFraction = settings.byteShare;
    options.cpuFraction = settings.cpuShare;
    return options;
}

} // namespace

TargetTask::TargetTask(NodeContext& context)
    : Task(context.loop, "target")
    , m_context(context)
    , m_mailbox(context.loop, guarded([this](TargetMessage&& message) {
        // A process pause within this loop iteration must be detected before any call is started.
        m_pauses.check();
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
        wake();
    }))
    , m_server(context.loop.base(), guarded([this](HttpRequest request, const Endpoint& peer, Responder responder) {
        localRequestArrived(std::move(request), peer, std::move(responder));
    }),
          { .memory = { .maximumBytes = memoryLimits(context.settings.memory).otherServerBytes } })
    , m_timer(context.loop, guarded([this] { wake(); }))
    , m_pauses(context.loop, {}, guarded([this](Duration gap) { pauseDetected(gap); }))
    , m_budget(makeMeasureOptions(context.settings.measure), steadyNow())
    , m_order(makeOrderOptions())
    , m_catalogue(std::make_shared<ServiceCatalogue>())
{
}

TargetTask::~TargetTask() = default;

AnnouncementOrder::Options TargetTask::makeOrderOptions() const
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return { .startedAt = m_context.status.startedAt,
        .startedAtMilliseconds
        = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()),
        .mayHavePredecessor = !m_context.settings.node.isFirstStart,
        .isKnownService = [this](const ServiceName& service) {
            return service.text == m_context.settings.node.service || m_catalogue->services.contains(service);
        } };
}

void TargetTask::start()
{
    auto endpoint = m_server.listen(m_context.settings.listen.local);
    if (!endpoint)
        throw std::runtime_error("cannot listen for local targets on " + toText(m_context.settings.listen.local) + ": "
            + std::string(toText(endpoint.error())));
    m_context.ports.target.attach(&m_mailbox);
    m_isZoneEvacuated = m_context.status.evacuation.contains(m_context.settings.node.zone);
    m_nextCheck = steadyNow();
    wake();
}

void TargetTask::stop() noexcept
{
    m_context.ports.target.detach();
    m_server.stopListening();
    m_timer.stop();
}

LocalTarget* TargetTask::find(const ServiceName& service)
{
    auto it = m_targets.find(service);
    return it == m_targets.end() ? nullptr : it->second.get();
}

LocalTarget& TargetTask::findOrCreate(const ServiceName& service)
{
    auto& target = m_targets[service];
    if (target)
        return *target;
    // At the first start of the whole system no process has preceded this one.
    Instant processStart = m_context.settings.node.isFirstStart ? Instant() : m_context.status.startedAt;
    target = std::make_unique<LocalTarget>(m_context.loop.base(), m_context.self, service, m_context.settings.target,
        steadyNow(), processStart, memoryLimits(m_context.settings.memory));
    target->areDeparturesKnown = m_areDeparturesKnown;
    for (LinkId it : m_links)
        target->admission.linkOpened(it);
    auto definition = m_catalogue->services.find(service);
    if (definition != m_catalogue->services.end())
        applyDefinition(*target, definition->second);
    target->admission.setConfigurationConfirmed(m_context.status.guard == GuardState::Confirmed);
    AdmissionActions none;
    target->admission.setZoneEvacuated(steadyNow(), m_isZoneEvacuated, none);
    if (m_isDraining)
        target->admission.drain(steadyNow(), none);
    return *target;
}

template <typename Function> void TargetTask::forEach(Function&& function)
{
    for (auto& [service, target] : m_targets) {
        AdmissionActions actions;
        function(*target, actions);
        perform(*target, actions);
    }
}

// --- calls

void TargetTask::handle(OfferCall&& offer)
{
    LocalTarget& target = findOrCreate(offer.request.service);
    AttemptId id = offer.request.id;
    m_budget.noteCallBytes(bytesOf(offer.request.http), steadyNow());
    target.lastOfferAt = steadyNow();
    auto parent = findHeader(offer.request.http.headers, Header::traceParent).value_or(std::string_view());
    std::shared_ptr<opentracing::Span> span = startSpan(*m_context.tracer, "admission", parent);
    span->SetTag("service", offer.request.service.text);
    setHeader(offer.request.http.headers, Header::traceParent, traceParentText(span->context()));
    // The span ends with the reply, or when the link is closed and the function is dropped.
    target.replies.add(offer.link, id, [span, reply = std::move(offer.reply)](CallReply it) {
        span->Finish();
        reply(std::move(it));
    });
    AdmissionActions actions;
    std::string requestId = offer.request.requestId;
    target.admission.offer(steadyNow(), offer.link, std::move(offer.request), actions);
    bool isWaiting = actions.empty();
    perform(target, actions);
    if (!isWaiting)
        return;
    LoadReport load = target.admission.load(steadyNow());
    logEvent(Event::AdmissionQueued,
        { { "request", requestId }, { "call", toText(id.call) }, { "attempt", std::to_string(id.attempt) },
            { "service", target.service.text }, { "running", std::to_string(load.running) },
            { "waiting", std::to_string(load.queued) }, { "limit", std::to_string(load.slots) },
            { "service_time_ms", std::to_string(toMilliseconds(load.serviceTime)) },
            { "slowness", std::to_string(load.slownessPercent) } });
}

void TargetTask::handle(CancelCall&& message)
{
    // A cancel does not name its service; at most one target knows the attempt.
    forEach([&](LocalTarget& target, AdmissionActions& actions) {
        target.admission.cancel(steadyNow(), message.cancel, actions);
    });
}

void TargetTask::handle(QueryCall&& message)
{
    // The ledger of the service must record a tombstone for an unknown attempt, even if no target was ever announced:
    // the call may still be in the buffer of another link.
    LocalTarget& target = findOrCreate(message.query.service);
    QueryReply answer = CallLost { .id = message.query.id, .reason = LossReason::NodeStopped };
    m_queryReply = [&answer](QueryReply reply) { answer = std::move(reply); };
    AdmissionActions actions;
    target.admission.query(steadyNow(), message.link, message.query, actions);
    perform(target, actions);
    m_queryReply = nullptr;
    message.reply(std::move(answer));
}

void TargetTask::handle(LinkOpened&& message)
{
    m_links.push_back(message.link);
    bool areStartsHeld = false;
    for (auto& [service, target] : m_targets) {
        areStartsHeld |= target->admission.areStartsHeld();
        target->admission.linkOpened(message.link);
    }
    if (areStartsHeld)
        m_context.ports.link.post(ConfirmLinks { .pause = m_pauseNumber });
}

void TargetTask::handle(LinkClosed&& message)
{
    std::erase(m_links, message.link);
    forEach([&](LocalTarget& target, AdmissionActions& actions) {
        target.replies.dropLink(message.link);
        target.admission.linkClosed(steadyNow(), message.link, actions);
    });
}

void TargetTask::pauseDetected(Duration gap)
{
    ++m_pauseNumber;
    logEvent(Event::PauseDetected, { { "gap_ms", std::to_string(toMilliseconds(gap)) } });
    m_context.metrics.add("berylport_pauses_total");
    forEach([&](LocalTarget& target, AdmissionActions& actions) {
        target.pauseNumber = target.admission.pauseDetected(steadyNow(), actions);
    });
    m_context.ports.link.post(ConfirmLinks { .pause = m_pauseNumber });
}

void TargetTask::handle(LinkConfirmed&& message)
{
    if (message.pause != m_pauseNumber)
        return;
    forEach([&](LocalTarget& target, AdmissionActions& actions) {
        target.admission.linkConfirmed(steadyNow(), message.link, target.pauseNumber, actions);
    });
}

void TargetTask::handle(FindParent&& message)
{
    Result<NestedCallBudget, RefusalReason> result = RefusalReason::UnknownParent;
    for (auto& [service, target] : m_targets) {
        auto allowance = target->admission.findNestedCallBudget(steadyNow(), message.parent);
        if (!allowance) {
            if (allowance.error() != RefusalReason::UnknownParent)
                result = allowance.error();
            continue;
        }
        NestedCallBudget granted = allowance.value();
        granted.retryTokens = target->admission.takeRetryTokens(message.parent, granted.retryTokens);
        result = granted;
        break;
    }
    m_context.ports.entry.post(ParentFound { .child = message.child, .allowance = result });
}

void TargetTask::handle(ReturnRetryTokens&& message)
{
    for (auto& [service, target] : m_targets)
        target->admission.returnRetryTokens(message.parent, message.unused);
}

void TargetTask::handle(DrainTarget&& message)
{
    LocalTarget* target = find(message.service);
    if (!target || !target->announcement) {
        message.done(false);
        return;
    }
    target->isDrainedByOperator = message.isDrained;
    stateChanged(*target);
    message.done(true);
}

void TargetTask::handle(CatalogueChanged&& message)
{
    m_catalogue = std::move(message.catalogue);
    for (auto& [service, definition] : m_catalogue->services) {
        if (LocalTarget* target = find(service))
            applyDefinition(*target, definition);
    }
}

void TargetTask::applyDefinition(LocalTarget& target, const ServiceDefinition& definition)
{
    target.admission.setDefinition(definition);
    if (!m_catalogue->routes)
        return;
    for (auto& it : m_catalogue->routes->configuration().services) {
        if (it.name != target.service)
            continue;
        target.healthPath = it.healthPath;
        target.hasColdBound = it.coldRequestsPerSecond > 0;
        target.admission.coldLimiter().setBound(it.coldRequestsPerSecond, it.coldTime);
    }
}

void TargetTask::handle(ServingChanged&& message)
{
    for (auto& [service, target] : m_targets)
        target->admission.setConfigurationConfirmed(message.state == GuardState::Confirmed);
}

void TargetTask::handle(ZoneEvacuationChanged&& message)
{
    m_isZoneEvacuated = message.isEvacuated;
    forEach([&](LocalTarget& target, AdmissionActions& actions) {
        target.admission.setZoneEvacuated(steadyNow(), m_isZoneEvacuated, actions);
    });
}

void TargetTask::handle(BeginDrain&&)
{
    m_isDraining = true;
    forEach([](LocalTarget& target, AdmissionActions& actions) { target.admission.drain(steadyNow(), actions); });
}

void TargetTask::handle(EndCalls&&)
{
    forEach([](LocalTarget& target, AdmissionActions& actions) { target.admission.stop(steadyNow(), actions); });
    m_context.ports.entry.post(EndCalls {});
}

// --- announcements

void TargetTask::localRequestArrived(HttpRequest request, const Endpoint&, Responder responder)
{
    if (request.target == "/metrics" && request.method == "GET") {
        responder.answer(makeMetricsPage(m_context.metrics));
        return;
    }
    std::visit([&](auto&& it) { targetMessage(std::forward<decltype(it)>(it), responder); },
        dialect().readTargetMessage(request));
}

void TargetTask::targetMessage(UnrelatedMessage, const Responder& responder)
{
    responder.answer(makeTextResponse(404, "only announcements and /metrics are here"));
}

void TargetTask::targetMessage(AnnouncementError ec, const Responder& responder)
{
    m_context.metrics.add({ .name = "berylport_announcements_rejected_total",
        .labelName = "reason",
        .labelValue = std::string(toText(ec)) });
    logEvent(Event::AnnouncementRejected, { { "reason", std::string(toText(ec)) } });
    responder.answer(makeTextResponse(ec == AnnouncementError::WrongMethod ? 405 : 400, toText(ec)));
}

void TargetTask::targetMessage(TargetAnnouncement&& announcement, const Responder& responder)
{
    bool isElsewhere = announcement.endpoint.address != m_context.settings.listen.local.address;
    if (!announcement.instance.empty() && isElsewhere) {
        targetMessage(AnnouncementError::InvalidInstance, responder);
        return;
    }
    Instant now = steadyNow();
    auto freshness = m_order.classify(announcement, now);
    if (freshness == AnnouncementFreshness::Departed) {
        // The departure is already known, and the target must not receive calls again.
        responder.answer(dialect().acknowledge(TargetState::Draining));
        return;
    }
    if (freshness != AnnouncementFreshness::Current) {
        bool isStale = freshness == AnnouncementFreshness::Stale;
        std::string reason = isStale ? "stale" : "conflicting";
        m_context.metrics.add(
            { .name = "berylport_announcements_rejected_total", .labelName = "reason", .labelValue = reason });
        logEvent(Event::AnnouncementRejected,
            { { "reason", reason }, { "instance", announcement.instance }, { "service", announcement.service.text },
                { "sequence", std::to_string(announcement.sequence) },
                { "current", m_order.current() ? m_order.current()->instance : "none" } });
        responder.answer(makeTextResponse(
            409, isStale ? "a later announcement is known" : "the target there serves another service"));
        return;
    }
    LocalTarget& target = findOrCreate(announcement.service);
    if (!target.announcement) {
        logEvent(Event::TargetAnnounced,
            { { "service", target.service.text }, { "instance", announcement.instance },
                { "endpoint", toText(announcement.endpoint) } });
    }
    applyAnnouncement(target, announcement, now);
    if (!announcement.instance.empty())
        supersedeOthers(target);
    if (announcement.state != TargetState::Draining || announcement.instance.empty()) {
        responder.answer(dialect().acknowledge(target.effectiveState()));
        return;
    }
    if (auto departed = m_order.withdraw(announcement.instance))
        acknowledgeDeparture(*departed, responder);
}

void TargetTask::targetMessage(TargetWithdrawal&& withdrawal, const Responder& responder)
{
    auto departed = withdrawal.instance.empty() ? std::nullopt : m_order.withdraw(withdrawal.instance);
    LocalTarget* target = withdrawal.instance.empty() ? find(withdrawal.service) : nullptr;
    for (auto& [service, it] : m_targets) {
        if (departed && it->announcement && it->announcement->instance == withdrawal.instance)
            target = it.get();
    }
    if (target && target->announcement) {
        target->announcement->state = TargetState::Draining;
        stateChanged(*target);
    }
    if (departed) {
        acknowledgeDeparture(*departed, responder);
        return;
    }
    if (!withdrawal.instance.empty() && m_order.hasDeparted(withdrawal.instance))
        responder.answer(dialect().acknowledge(TargetState::Draining));
    else if (target && target->announcement)
        responder.answer(dialect().acknowledge(TargetState::Draining));
    else
        responder.answer(makeTextResponse(404, "no such target is announced"));
}

void TargetTask::endFirstAnswerWait(LocalTarget& target)
{
    if (!std::exchange(target.firstAnswerDeadline, std::nullopt))
        return;
    if (target.announcement && target.announcement->state == TargetState::Ready)
        stateChanged(target);
}

void TargetTask::acknowledgeDeparture(const TargetIncarnation& departed, const Responder& responder)
{
    logEvent(Event::TargetDeparted, { { "instance", departed.instance } });
    auto it = m_acknowledgements.insert(
        m_acknowledgements.end(), { .responder = responder, .deadline = steadyNow() + departureRecordTimeout });
    auto done = [this, responder] {
        responder.answer(dialect().acknowledge(TargetState::Draining));
        std::erase_if(m_acknowledgements, [](auto& pending) { return !pending.responder.isOpen(); });
    };
    if (!m_context.ports.configuration.post(RecordDeparture { .departed = departed, .done = guarded(done) })) {
        m_acknowledgements.erase(it);
        responder.answer(dialect().acknowledge(TargetState::Draining));
    }
}

void TargetTask::supersedeOthers(const LocalTarget& present)
{
    for (auto& [service, target] : m_targets) {
        if (target.get() != &present && target->announcement && !target->announcement->instance.empty())
            endProcess(*target);
    }
}

void TargetTask::handle(DepartureRestored&& message)
{
    logEvent(Event::TargetDeparted,
        { { "instance", message.departed.instance }, { "source", std::string(message.source) } });
    std::string instance = message.departed.instance;
    m_order.restoreDeparture(std::move(message.departed));
    for (auto& [service, target] : m_targets) {
        if (target->announcement && m_order.hasDeparted(target->announcement->instance)) {
            target->announcement->state = TargetState::Draining;
            stateChanged(*target);
        }
    }
}

void TargetTask::applyAnnouncement(LocalTarget& target, const TargetAnnouncement& announcement, Instant now)
{
    bool isOtherProcess = !target.announcement || target.announcement->endpoint != announcement.endpoint
        || target.announcement->instance != announcement.instance
        || target.announcement->startedAtMilliseconds != announcement.startedAtMilliseconds;
    bool hasOtherSlots = !target.announcement || target.announcement->slots != announcement.slots;
    if (isOtherProcess && target.client)
        endProcess(target);
    TargetState before = target.effectiveState();
    target.end = 0;
    target.announcement = announcement;
    target.announcedAt = now;
    target.isUnconfirmed = !m_order.isConfirmed(now);
    target.isRefusing = false;
    if (announcement.coldFor > Duration::zero())
        target.admission.coldLimiter().extendColdFor(announcement.coldFor, now);
    if (isOtherProcess) {
        target.connect(announcement.endpoint, dialect().allowsCloseDelimitedAnswers());
        target.admission.resetRequestLimit();
        target.admission.coldLimiter().assumeCold(now);
        target.admission.setWarmUpEnd(now + announcement.coldFor);
        target.firstAnswerDeadline = now + firstAnswerTimeout;
        wakeBy(*target.firstAnswerDeadline);
        probe(target, now);
    }
    if (hasOtherSlots) {
        AdmissionActions actions;
        target.admission.setSlots(now, announcement.slots, actions);
        perform(target, actions);
    }
    if (before != target.effectiveState() || hasOtherSlots)
        stateChanged(target);
}

void TargetTask::stateChanged(LocalTarget& target)
{
    ++target.stateVersion;
    logEvent(Event::TargetStateChanged,
        { { "service", target.service.text }, { "state", std::string(toText(target.effectiveState())) } });
    AdmissionActions actions;
    target.admission.setTargetState(steadyNow(), target.effectiveState(), actions);
    perform(target, actions);
    publishTargets();
}

void TargetTask::publishTargets()
{
    TargetsAnnounced message;
    for (auto& [service, target] : m_targets) {
        if (!target->announcement)
            continue;
        message.targets.push_back({ .service = service,
            .slots = target->announcement->slots,
            .state = target->effectiveState(),
            .stateVersion = target->stateVersion });
    }
    m_context.ports.membership.post(std::move(message));
}

void TargetTask::updateDeparturesKnown()
{
    const NodeStatus& status = m_context.status;
    bool isKnown = status.isDiscoveryDone || (status.isRowRead && status.hasJoined);
    if (m_areDeparturesKnown || !isKnown)
        return;
    m_areDeparturesKnown = true;
    for (auto& [service, target] : m_targets) {
        target->areDeparturesKnown = true;
        if (target->announcement)
            stateChanged(*target);
    }
}

void TargetTask::updateConfirmed(Instant now)
{
    if (m_context.status.hasRowReadFailed)
        m_order.noteStoreFailure();
    for (auto& [service, target] : m_targets) {
        bool isCurrent = target->announcement && m_order.current()
            && target->announcement->instance == m_order.current()->instance;
        if (!isCurrent || target->isUnconfirmed == !m_order.isConfirmed(now))
            continue;
        target->isUnconfirmed = !target->isUnconfirmed;
        stateChanged(*target);
    }
}

void TargetTask::expireAnnouncements(Instant now)
{
    for (auto& [service, target] : m_targets) {
        bool hasLapsed
            = target->announcement && now - target->announcedAt >= m_context.settings.target.announcementTimeout;
        if (!hasLapsed)
            continue;
        target->announcement.reset();
        stateChanged(*target);
    }
}

// --- actions of admission

void TargetTask::perform(LocalTarget& target, AdmissionActions& actions)
{
    for (auto& action : actions)
        std::visit([&](auto& it) { perform(target, std::move(it)); }, action);
}

void TargetTask::perform(LocalTarget& target, StartOnTarget&& start)
{
    Instant now = steadyNow();
    HttpRequest http = std::move(start.http);
    TargetRequestContext handover {
        .call = start.id.call, .remaining = start.deadline - now, .requestId = start.requestId, .instance = {}
    };
    if (target.announcement)
        handover.instance = target.announcement->instance;
    dialect().prepareForTarget(http, handover);
    logEvent(Event::AdmissionStarted,
        { { "request", start.requestId }, { "call", toText(start.id.call) },
            { "attempt", std::to_string(start.id.attempt) }, { "service", target.service.text },
            { "instance", std::string(handover.instance) },
            { "running", std::to_string(target.admission.load(now).running) },
            { "left_ms", std::to_string(toMilliseconds(handover.remaining)) } });

    AttemptId id = start.id;
    if (!target.client) {
        targetFinished(target, id, NotSent {});
        return;
    }
    SendOptions options { .deadline = start.deadline, .isIdempotent = start.kind == RequestKind::Idempotent };
    options.tag = dialect().answerTag(handover);
    options.ownerOf = [this, tag = options.tag](const HttpResponse& response) {
        auto owner = ownerOf(dialect().readTargetAnswer(response), tag);
        if (owner == AnswerOwner::Other)
            m_context.metrics.add("berylport_foreign_answers_total");
        return owner;
    };
    target.running[id]
        = { .handle = target.client->send(std::move(http), options,
                guarded([this, &target, id](SendResult result) { requestEnded(target, id, std::move(result)); })),
              .sentAt = now };
}

void TargetTask::perform(LocalTarget& target, CancelOnTarget&& cancel)
{
    auto it = target.running.find(cancel.id);
    if (it == target.running.end())
        return;
    bool hasNotLeft = it->second.handle.cancel();
    SendResult result = Lost { .reason = LossReason::TargetClosed };
    if (hasNotLeft)
        result = NotSent {};
    targetFinished(target, cancel.id, std::move(result));
}

void TargetTask::perform(LocalTarget& target, Reply&& reply)
{
    AttemptId id = std::visit([](auto& it) { return it.id; }, reply.reply);
    if (auto* refused = std::get_if<CallRefused>(&reply.reply)) {
        m_context.metrics.add({ .name = "berylport_refusals_total",
            .labelName = "reason",
            .labelValue = std::string(toText(refused->reason)) });
        logEvent(Event::AdmissionRefused,
            { { "call", toText(id.call) }, { "attempt", std::to_string(id.attempt) },
                { "service", target.service.text }, { "reason", std::string(toText(refused->reason)) },
                { "running", std::to_string(refused->load.running) },
                { "waiting", std::to_string(refused->load.queued) }, { "limit", std::to_string(refused->load.slots) },
                { "service_time_ms", std::to_string(toMilliseconds(refused->load.serviceTime)) },
                { "slowness", std::to_string(refused->load.slownessPercent) },
                { "retry_after_ms", std::to_string(toMilliseconds(refused->retryAfter)) } });
    }
    // A target that both its health probes and its calls show to be degraded gets less load, like one that is warming
    // up.
    bool isLowered = target.probe.standing() == TargetStanding::Lowered;
    std::visit([&](auto& it) { it.load.isWarmingUp |= isLowered; }, reply.reply);

    if (auto function = target.replies.take(reply.link, id))
        function(std::move(reply.reply));
}

void TargetTask::perform(LocalTarget&, AnswerQuery&& answer)
{
    if (m_queryReply)
        m_queryReply(std::move(answer.reply));
}

void TargetTask::requestEnded(LocalTarget& target, const AttemptId& id, SendResult result)
{
    auto* lost = std::get_if<Lost>(&result);
    if (!lost || lost->reason != LossReason::TargetClosed) {
        targetFinished(target, id, std::move(result));
        return;
    }
    target.closedCalls.push_back(id);
    if (target.closedCalls.size() == 1)
        checkForEnd(target, 1);
}

void TargetTask::checkForEnd(LocalTarget& target, uint32_t attempt)
{
    if (target.isRefusing) {
        endChecked(target, true);
        return;
    }
    HttpRequest request { .method = "GET", .target = target.healthPath };
    m_context.metrics.add("berylport_measuring_bytes_total", probeBytes);
    target.client->send(std::move(request), { .deadline = steadyNow() + endCheckTimeout, .isIdempotent = true },
        guarded([this, &target, attempt](const SendResult& result) {
            auto* lost = std::get_if<Lost>(&result);
            bool isUnclear = lost && lost->reason == LossReason::TargetClosed;
            if (isUnclear && attempt < maximumEndChecks) {
                checkForEnd(target, attempt + 1);
                return;
            }
            auto* notSent = std::get_if<NotSent>(&result);
            bool hasEnded = notSent && notSent->reason == NotSentReason::ConnectFailed;
            if (auto* response = std::get_if<HttpResponse>(&result)) {
                std::string instance = dialect().readTargetAnswer(*response).instance;
                hasEnded = !instance.empty() && target.announcement && instance != target.announcement->instance;
            }
            endChecked(target, hasEnded);
        }));
}

void TargetTask::endChecked(LocalTarget& target, bool hasEnded)
{
    auto calls = std::exchange(target.closedCalls, {});
    if (hasEnded)
        recordEnd(target, calls.size());
    for (auto& id : calls)
        targetFinished(target, id, Lost { .reason = LossReason::TargetClosed }, hasEnded ? target.end : 0);
}

void TargetTask::recordEnd(LocalTarget& target, size_t calls)
{
    // The connections of one process may close one after the other.
    if (!target.end) {
        // Differs from the numbers of other processes with near certainty, as node ids are random.
        target.end = m_context.self.value + ++m_targetEnds;
        m_context.metrics.add(
            { .name = "berylport_target_ends_total", .labelName = "service", .labelValue = target.service.text });
    }
    logEvent(Event::TargetEnded,
        { { "service", target.service.text },
            { "instance", target.announcement ? target.announcement->instance : std::string() },
            { "calls", std::to_string(calls) }, { "end", std::to_string(target.end) } });
    if (!std::exchange(target.isRefusing, true))
        stateChanged(target);
}

void TargetTask::targetFinished(LocalTarget& target, const AttemptId& id, SendResult result, uint64_t targetEnd)
{
    Instant now = steadyNow();
    auto running = target.running.find(id);
    Instant sentAt = running == target.running.end() ? now : running->second.sentAt;
    target.running.erase(id);
    AdmissionActions actions;
    logTargetAnswer(target, id, result);
    if (auto* response = std::get_if<HttpResponse>(&result)) {
        m_budget.noteCallBytes(bytesOf(*response), now);
        if (recordReport(target, *response, sentAt, now).hasNotRun) {
            target.admission.targetRefused(now, id, actions);
            perform(target, actions);
            updateStatus();
            return;
        }
        if (response->status >= 500)
            target.probe.noteCallFailed(now);
        else
            target.probe.noteCallSucceeded(now);
        target.admission.targetAnswered(now, id, std::move(*response), actions);
    } else if (auto* lost = std::get_if<Lost>(&result)) {
        target.probe.noteCallFailed(now);
        target.admission.targetLost(now, id, lost->reason, actions, targetEnd);
    } else {
        auto reason = std::get<NotSent>(result).reason;
        bool isRefused = reason == NotSentReason::ConnectFailed || reason == NotSentReason::ConnectTimeout;
        if (isRefused && !target.isRefusing) {
            target.isRefusing = true;
            stateChanged(target);
        }
        target.admission.targetNotReached(now, id, actions);
    }
    perform(target, actions);
    if (auto due = target.admission.nextWake())
        wakeBy(*due);
    updateStatus();
}

void TargetTask::logTargetAnswer(const LocalTarget& target, const AttemptId& id, const SendResult& result)
{
    std::string status = std::visit(Overloaded { [](const HttpResponse& it) { return std::to_string(it.status); },
                                        [](const Lost& it) { return std::string(toText(it.reason)); },
                                        [](const NotSent& it) { return std::string(toText(it.reason)); } },
        result);
    logEvent(Event::TargetAnswered,
        { { "call", toText(id.call) }, { "attempt", std::to_string(id.attempt) }, { "service", target.service.text },
            { "status", status } });
}

void TargetTask::endProcess(LocalTarget& target)
{
    // The check is over, as its answer will not come.
    if (!target.closedCalls.empty())
        endChecked(target, true);
    std::vector<std::pair<AttemptId, SendResult>> ended;
    for (auto& [id, request] : std::exchange(target.running, {})) {
        SendResult result = Lost { .reason = LossReason::TargetClosed };
        if (request.handle.cancel())
            result = NotSent { .reason = NotSentReason::PoolFull };
        ended.emplace_back(id, std::move(result));
    }
    target.disconnect();
    target.announcement.reset();
    // Refuses the waiting calls, which would otherwise start in the slots that are freed below.
    stateChanged(target);
    for (auto& [id, result] : ended)
        targetFinished(target, id, std::move(result));
}

// --- health and load probes

void TargetTask::probeTargets(Instant now)
{
    for (auto& [service, target] : m_targets) {
        bool isReachable = target->client && target->announcement && !target->isProbing;
        if (!isReachable || !target->probe.isDue(now))
            continue;
        if (m_budget.mayMeasure(probeBytes, probeCpu, now)) {
            probe(*target, now);
            continue;
        }
        target->probe.noteReadRefused(now);
        m_context.metrics.add("berylport_measuring_skipped_total");
        logEvent(Event::MeasuringSkipped, { { "service", service.text } });
    }
}

bool TargetTask::isFromOtherTarget(const LocalTarget& target, const TargetReport& report)
{
    return !report.instance.empty() && target.announcement && !target.announcement->instance.empty()
        && report.instance != target.announcement->instance;
}

TargetReport TargetTask::recordReport(LocalTarget& target, const HttpResponse& response, Instant sentAt, Instant now)
{
    auto report = dialect().readTargetAnswer(response);
    if (isFromOtherTarget(target, report))
        return report;
    if (report.load) {
        target.lastLoadReportAt = now;
        target.admission.recordReportedLoad(now, *report.load);
    }
    recordRequestLimit(target, report, sentAt, now);
    bool isNewDeparture
        = report.isLeaving && target.announcement && target.announcement->state != TargetState::Draining;
    if (isNewDeparture)
        beginDeparture(target);
    return report;
}

// The target has said so in an answer; its announcement follows up to a heartbeat later.
void TargetTask::beginDeparture(LocalTarget& target)
{
    auto departed = m_order.withdraw(target.announcement->instance);
    target.announcement->state = TargetState::Draining;
    stateChanged(target);
    if (!departed)
        return;
    logEvent(Event::TargetDeparted, { { "instance", departed->instance }, { "source", "answer" } });
    m_context.ports.configuration.post(RecordDeparture { .departed = std::move(*departed), .done = [] {} });
}

void TargetTask::recordRequestLimit(LocalTarget& target, const TargetReport& report, Instant sentAt, Instant now)
{
    bool wasMalformed = std::exchange(target.isLimitMalformed, report.isRequestLimitMalformed);
    if (report.isRequestLimitMalformed) {
        if (!wasMalformed)
            logEvent(Event::TargetLimitMalformed, { { "service", target.service.text } });
        return;
    }
    AdmissionActions actions;
    if (target.admission.recordRequestLimit(now, report.requestLimit, sentAt, actions)) {
        std::string limit = report.requestLimit ? std::to_string(*report.requestLimit) : "none";
        logEvent(Event::TargetLimitChanged,
            { { "service", target.service.text },
                { "instance", target.announcement ? target.announcement->instance : std::string() },
                { "requests_per_second", limit } });
        m_context.metrics.set(
            { .name = "berylport_request_limit", .labelName = "service", .labelValue = target.service.text },
            report.requestLimit.value_or(0));
    }
    perform(target, actions);
}

void TargetTask::recordColdTime(LocalTarget& target, const TargetReport& report)
{
    if (!target.hasColdBound || isFromOtherTarget(target, report))
        return;
    Instant now = steadyNow();
    ColdLimiter& limiter = target.admission.coldLimiter();
    limiter.setColdFor(report.coldFor.value_or(Duration::zero()), now);
    bool isCold = limiter.isInForce(now);
    if (isCold == std::exchange(target.isCold, isCold))
        return;
    logEvent(isCold ? Event::TargetCold : Event::TargetWarm,
        { { "service", target.service.text },
            { "instance", target.announcement ? target.announcement->instance : std::string() },
            { "cold_ms", std::to_string(toMilliseconds(report.coldFor.value_or(Duration::zero()))) },
            { "delayed_starts", std::to_string(target.admission.coldDelays()) } });
    MetricKey key { .name = "berylport_target_cold", .labelName = "service", .labelValue = target.service.text };
    m_context.metrics.set(key, isCold ? 1 : 0);
    key.name = "berylport_cold_delayed_starts";
    m_context.metrics.set(key, static_cast<double>(target.admission.coldDelays()));
}

std::optional<Instant> TargetTask::nextLoadRead(const LocalTarget& target, Instant now) const
{
    uint32_t rate = m_context.settings.measure.loadReadsPerSecond;
    bool isReadable = target.client && target.announcement && now - target.lastOfferAt < loadReadWindow;
    if (!isReadable)
        return std::nullopt;
    std::optional<Instant> due;
    // Only the health path tells that a target has become cold, however many answers report its load.
    if (target.hasColdBound)
        due = target.lastProbeAt + coldReadInterval;
    // A target that limits requests has none to spare for reads of its load.
    if (rate && target.lastLoadReportAt != Instant() && !target.admission.requestLimiter().limit()) {
        Instant loadDue = target.lastLoadReportAt + std::chrono::microseconds(std::chrono::seconds(1)) / rate;
        due = std::min(due.value_or(loadDue), loadDue);
    }
    return due;
}

void TargetTask::probe(LocalTarget& target, Instant now)
{
    target.lastProbeAt = now;
    target.probe.noteReadStarted(now, target.admission.requestLimiter().interval() * requestsPerProbe);
    target.admission.recordProbe(now);
    target.isProbing = true;
    m_context.metrics.add("berylport_measuring_bytes_total", probeBytes);
    HttpRequest request { .method = "GET", .target = target.healthPath };
    target.client->send(std::move(request), { .deadline = now + probeTimeout, .isIdempotent = true },
        guarded([this, &target, now](SendResult result) {
            target.isProbing = false;
            auto* response = std::get_if<HttpResponse>(&result);
            HealthResult health = HealthResult::Unreadable;
            if (response) {
                auto report = recordReport(target, *response, now, steadyNow());
                // An error without a cold time does not say that the target is warm.
                if (response->status == 200 || report.coldFor)
                    recordColdTime(target, report);
                health = response->status == 200 ? HealthResult::Good : HealthResult::Bad;
            }
            target.probe.noteHealth(health, steadyNow());
            endFirstAnswerWait(target);
            wake();
        }));
}

// --- time

void TargetTask::wake()
{
    m_pauses.check();
    updateDeparturesKnown();
    Instant now = steadyNow();
    updateConfirmed(now);
    forEach([&](LocalTarget& target, AdmissionActions& actions) { target.admission.tick(now, actions); });
    if (now >= m_nextCheck) {
        m_nextCheck = now + checkInterval;
        expireAnnouncements(now);
        probeTargets(now);
    }
    Instant next = m_nextCheck;
    if (now < m_order.graceEnd())
        next = std::min(next, m_order.graceEnd());
    for (auto& [service, target] : m_targets) {
        if (target->firstAnswerDeadline && now >= *target->firstAnswerDeadline)
            endFirstAnswerWait(*target);
        if (target->firstAnswerDeadline)
            next = std::min(next, *target->firstAnswerDeadline);
        auto due = nextLoadRead(*target, now);
        if (!due || target->isProbing)
            continue;
        if (*due <= now)
            probe(*target, now);
        else
            next = std::min(next, *due);
    }
    while (!m_acknowledgements.empty() && m_acknowledgements.front().deadline <= now) {
        m_acknowledgements.front().responder.answer(dialect().acknowledge(TargetState::Draining));
        m_acknowledgements.pop_front();
    }
    if (!m_acknowledgements.empty())
        next = std::min(next, m_acknowledgements.front().deadline);
    for (auto& [service, target] : m_targets) {
        if (auto due = target->admission.nextWake())
            next = std::min(next, *due);
    }
    m_nextWake = next;
    m_timer.startAt(next);
    updateStatus();
}

void TargetTask::wakeBy(Instant due)
{
    if (due >= m_nextWake)
        return;
    m_nextWake = due;
    m_timer.startAt(due);
}

void TargetTask::updateStatus()
{
    size_t admitted = 0;
    Instant latest;
    uint32_t running = 0;
    for (auto& [service, target] : m_targets) {
        LoadReport load = target->admission.load(steadyNow());
        admitted += load.running + load.queued;
        latest = std::max(latest, target->admission.latestRunningDeadline());
        running += load.running;
    }
    m_context.status.admittedCalls = admitted;
    m_context.status.latestRunningDeadline = latest;
    m_context.metrics.set("berylport_slots_in_use", running);
}

} // namespace Berylport
