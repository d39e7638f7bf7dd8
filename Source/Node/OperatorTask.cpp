// Translates between the operator interface and the messages of the tasks.
#include "Node/OperatorTask.h"

#include "Log/Log.h"

namespace Berylport {

namespace {

OperatorError makeError(OperatorErrorCode code, std::string message, uint64_t foundVersion = 0)
{
    return { .code = code, .message = std::move(message), .foundVersion = foundVersion };
}

OperatorError errorOf(const ChangeFinished& finished)
{
    switch (finished.outcome) {
    case ChangeOutcome::Accepted:
    case ChangeOutcome::Pending:
        return {};
    case ChangeOutcome::Conflict:
        return makeError(OperatorErrorCode::Conflict,
            "the service has version " + std::to_string(finished.version) + ", not the one expected", finished.version);
    case ChangeOutcome::NotFound:
        return makeError(OperatorErrorCode::NotFound, "no such service");
    case ChangeOutcome::AlreadyExists:
        return makeError(OperatorErrorCode::AlreadyExists,
            "the service exists already with version " + std::to_string(finished.version), finished.version);
    case ChangeOutcome::Invalid:
        return makeError(OperatorErrorCode::Invalid, finished.detail);
    case ChangeOutcome::StoreUnavailable:
        return makeError(OperatorErrorCode::StoreUnavailable, "the table service does not answer; nothing was changed");
    case ChangeOutcome::Unresolved:
        return makeError(OperatorErrorCode::Unresolved,
            "the table service did not confirm the change, which may have been recorded");
    }
    return {};
}

OperatorError errorOf(RemoteDrainError error)
{
    switch (error) {
    case RemoteDrainError::UnknownNode:
        return makeError(OperatorErrorCode::NotFound, "no member has that node id");
    case RemoteDrainError::UnknownTarget:
        return makeError(OperatorErrorCode::NotFound, "the node has no target of that service");
    case RemoteDrainError::Unreachable:
        return makeError(OperatorErrorCode::Unreachable, "the node cannot be reached");
    }
    return {};
}

} // namespace

OperatorTask::OperatorTask(NodeContext& context, ActionLookup* const& actions)
    : Task(context.loop, "operator")
    , m_context(context)
    , m_actions(actions)
    , m_server(context.loop, *this)
{
}

void OperatorTask::start()
{
    auto endpoint = m_server.listen(m_context.settings.listen.operators);
    if (!endpoint)
        throw std::runtime_error("cannot listen for operators on " + toText(m_context.settings.listen.operators) + ": "
            + std::string(toText(endpoint.error())));
}

void OperatorTask::listServices(OperatorReply<ServiceList> reply)
{
    ServiceList list { .configurationVersion = m_context.status.catalogue->version };
    for (auto& [name, definition] : m_context.status.catalogue->services)
        list.services.push_back(definition);
    reply(std::move(list));
}

void OperatorTask::changeService(ServiceChangeRequest request, OperatorReply<ServiceChangeReply> reply)
{
    logEvent(Event::OperatorChange, { { "token", request.token } });
    ChangeTracker::Request change { .change = std::move(request.change),
        .expectedVersion = request.expectedVersion,
        .token = std::move(request.token) };
    auto done = [reply](ChangeFinished finished) {
        OperatorError error = errorOf(finished);
        if (error.isError())
            logEvent(Event::OperatorRejected, { { "reason", std::string(toText(error.code)) } });
        reply({ .error = std::move(error),
            .state
            = finished.outcome == ChangeOutcome::Pending ? ServiceChangeState::Pending : ServiceChangeState::Accepted,
            .version = finished.version,
            .missingZones = std::move(finished.missingZones) });
    };
    if (!m_context.ports.configuration.post(OperatorChange { .request = std::move(change), .done = done }))
        reply({ .error
            = makeError(OperatorErrorCode::StoreUnavailable, "the node is restarting its configuration task") });
}

void OperatorTask::listTargets(OperatorReply<std::vector<TargetRow>> reply)
{
    std::map<NodeId, Endpoint> peers;
    for (auto& it : m_context.status.members)
        peers[it.node] = it.peer;
    std::vector<TargetRow> rows;
    for (auto& it : m_context.status.targets) {
        rows.push_back({ .service = it.id.service,
            .node = it.id.node,
            .zone = it.zone,
            .region = it.region,
            .state = std::string(toText(it.state)),
            .slots = it.slots,
            .isSuspect = it.isSuspect,
            .address = toText(peers[it.id.node]) });
    }
    reply(std::move(rows));
}

void OperatorTask::drainTarget(NodeId node, ServiceName service, bool isDrained, OperatorReply<OperatorError> reply)
{
    logEvent(Event::OperatorChange,
        { { "drain", isDrained ? "on" : "off" }, { "node", toText(node) }, { "service", service.text } });
    if (node == m_context.self) {
        auto done
            = [reply](bool isKnown) { reply(isKnown ? OperatorError {} : errorOf(RemoteDrainError::UnknownTarget)); };
        m_context.ports.target.post(DrainTarget { .service = service, .isDrained = isDrained, .done = done });
        return;
    }
    auto done = [reply](Result<void, RemoteDrainError> result) {
        reply(result ? OperatorError {} : errorOf(result.error()));
    };
    m_context.ports.link.post(
        DrainRemoteTarget { .node = node, .service = service, .isDrained = isDrained, .done = done });
}

void OperatorTask::listMembers(OperatorReply<std::vector<MemberRow>> reply)
{
    std::vector<MemberRow> rows;
    for (auto& it : m_context.status.members) {
        rows.push_back({ .node = it.node,
            .zone = it.zone,
            .region = it.region,
            .state = std::string(toText(it.state)),
            .address = toText(it.peer),
            .configurationVersion = it.configurationVersion });
    }
    reply(std::move(rows));
}

void OperatorTask::listZones(OperatorReply<ZoneList> reply)
{
    auto done = [reply](ZoneListing listing) {
        ZoneList list { .headVersion = listing.headVersion };
        if (!listing.isStoreReachable)
            list.error = makeError(OperatorErrorCode::StoreUnavailable, "the table service does not answer");
        for (auto& it : listing.zones)
            list.zones.push_back({ .zone = it.zone, .confirmedVersion = it.version });
        reply(std::move(list));
    };
    m_context.ports.configuration.post(ListZones { .done = done });
}

void OperatorTask::retireZone(ZoneName zone, OperatorReply<OperatorError> reply)
{
    logEvent(Event::OperatorChange, { { "retire_zone", zone.text } });
    auto done = [reply](bool isDone) {
        reply(isDone ? OperatorError {}
                     : makeError(OperatorErrorCode::Unresolved, "the table service did not confirm; ask again"));
    };
    m_context.ports.configuration.post(RetireZone { .zone = zone, .done = done });
}

void OperatorTask::measures(OperatorReply<std::vector<MeasureRow>> reply)
{
    std::vector<MeasureRow> rows;
    for (auto& it : m_context.metrics.rows(steadyNow())) {
        std::string label = it.key.labelName.empty() ? std::string() : it.key.labelName + "=" + it.key.labelValue;
        rows.push_back({ .name = it.key.name, .label = std::move(label), .value = it.value });
    }
    reply(std::move(rows));
}

void OperatorTask::status(OperatorReply<OperatorNodeStatus> reply)
{
    const NodeStatus& status = m_context.status;
    uint32_t members = 0;
    for (auto& it : status.members)
        members += it.state == MemberState::Alive || it.state == MemberState::Suspect;
    reply({ .node = m_context.self,
        .zone = m_context.settings.node.zone,
        .region = m_context.settings.node.region,
        .guard = std::string(toText(status.guard)),
        .isDraining = status.isDraining,
        .isStoreReachable = status.isStoreReachable,
        .configurationVersion = status.configurationVersion,
        .members = members,
        .uptime = steadyNow() - status.startedAt,
        .isCoordinator = status.isCoordinator });
}

void OperatorTask::findAction(std::string token, OperatorReply<ActionReply> reply)
{
    if (m_actions)
        m_actions->findAction(std::move(token), std::move(reply));
    else
        reply({ .error
            = makeError(OperatorErrorCode::StoreUnavailable, "patient actions are not available on this node") });
}

} // namespace Berylport
