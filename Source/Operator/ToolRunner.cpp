// Commands as calls of the client.
#include "Operator/ToolRunner.h"

#include "Operator/ToolOutput.h"

#include <algorithm>
#include <ostream>
#include <random>

namespace Berylport::Tool {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(2);

ExitCode toExitCode(OperatorErrorCode code)
{
    switch (code) {
    case OperatorErrorCode::None:
        return ExitCode::Done;
    case OperatorErrorCode::NotFound:
        return ExitCode::NotFound;
    case OperatorErrorCode::AlreadyExists:
    case OperatorErrorCode::Conflict:
        return ExitCode::Conflict;
    case OperatorErrorCode::Invalid:
        return ExitCode::Usage;
    case OperatorErrorCode::StoreUnavailable:
    case OperatorErrorCode::Unreachable:
        return ExitCode::Unavailable;
    case OperatorErrorCode::Unresolved:
        return ExitCode::Unresolved;
    }
    return ExitCode::Unavailable;
}

std::string describe(const OperatorError& error)
{
    std::string text = error.message.empty() ? std::string(toText(error.code)) : error.message;
    if (error.code == OperatorErrorCode::Conflict)
        text += " (found version " + std::to_string(error.foundVersion) + ")";
    return text;
}

Table serviceTable(const std::vector<ServiceDefinition>& services)
{
    Table table { { "name", "kind", "priority", "callerWaitMs", "retryTokens", "hedged", "queueLimit", "deduplicates",
                      "version" },
        {} };
    for (const auto& it : services) {
        table.rows.push_back({ it.name.text, std::string(toText(it.kind)), std::string(toText(it.priority)),
            static_cast<uint64_t>(toMilliseconds(it.callerWait)), uint64_t(it.retryTokens), it.isHedged,
            uint64_t(it.queueLimit), it.deduplicates, it.version });
    }
    return table;
}

Table targetTable(const std::vector<TargetRow>& rows)
{
    Table table { { "service", "node", "zone", "region", "state", "slots", "suspect", "address" }, {} };
    for (const auto& it : rows) {
        table.rows.push_back({ it.service.text, toText(it.node), it.zone.text, it.region.text, it.state,
            uint64_t(it.slots), it.isSuspect, it.address });
    }
    return table;
}

Table memberTable(const std::vector<MemberRow>& rows)
{
    Table table { { "node", "zone", "region", "state", "address", "configurationVersion" }, {} };
    for (const auto& it : rows) {
        table.rows.push_back(
            { toText(it.node), it.zone.text, it.region.text, it.state, it.address, it.configurationVersion });
    }
    return table;
}

Table zoneTable(const ZoneList& list)
{
    Table table { { "zone", "confirmedVersion", "headVersion" }, {} };
    for (const auto& it : list.zones)
        table.rows.push_back({ it.zone.text, it.confirmedVersion, list.headVersion });
    return table;
}

Table measureTable(const std::vector<MeasureRow>& rows)
{
    Table table { { "name", "label", "value" }, {} };
    for (const auto& it : rows)
        table.rows.push_back({ it.name, it.label, it.value });
    return table;
}

Table statusTable(const OperatorNodeStatus& status)
{
    return { { "node", "zone", "region", "guard", "draining", "storeReachable", "configurationVersion", "members",
                 "uptimeMs", "coordinator" },
        { { toText(status.node), status.zone.text, status.region.text, status.guard, status.isDraining,
            status.isStoreReachable, status.configurationVersion, uint64_t(status.members),
            static_cast<uint64_t>(toMilliseconds(status.uptime)), status.isCoordinator } } };
}

Table actionTable(const ActionReply& action)
{
    return { { "token", "service", "state", "resultStatus" },
        { { action.token, action.service.text, action.state, uint64_t(action.resultStatus) } } };
}

class Runner {
public:
    Runner(const CommandLine& line, OperatorClient& client, std::ostream& out, std::ostream& err)
        : m_line(line)
        , m_client(client)
        , m_out(out)
        , m_err(err)
    {
    }

    ExitCode operator()(const ListServices&)
    {
        auto reply = m_client.listServices();
        return reply ? printList(serviceTable(reply.value().services)) : fail(reply.error());
    }

    ExitCode operator()(const ShowService& command)
    {
        ServiceDefinition found;
        if (auto error = find(command.name, found))
            return *error;
        return printOne(serviceTable({ found }));
    }

    ExitCode operator()(const CreateService& command)
    {
        return change(command.definition.name, PutService { command.definition }, 0);
    }

    ExitCode operator()(const EditService& command)
    {
        ServiceDefinition current;
        if (auto error = find(command.name, current))
            return *error;
        ServiceDefinition edited = applyEdits(current, command.edits);
        edited.version = command.version.value_or(current.version);
        if (auto error = validate(edited))
            return fail(ExitCode::Usage, std::string(toText(*error)));
        return change(command.name, PutService { edited }, edited.version);
    }

    ExitCode operator()(const DeleteService& command)
    {
        if (command.version)
            return change(command.name, RemoveService { command.name }, *command.version);
        ServiceDefinition current;
        if (auto error = find(command.name, current))
            return *error;
        return change(command.name, RemoveService { command.name }, current.version);
    }

    ExitCode operator()(const ListTargets&)
    {
        auto reply = m_client.listTargets();
        return reply ? printList(targetTable(reply.value())) : fail(reply.error());
    }

    ExitCode operator()(const SetDrain& command)
    {
        auto reply = m_client.drainTarget(command.node, command.service, command.isDrained);
        if (!reply)
            return fail(reply.error());
        if (reply.value().isError())
            return fail(reply.value());
        return printOne({ { "node", "service", "drained" },
            { { toText(command.node), command.service.text, command.isDrained } } });
    }

    ExitCode operator()(const ListMembers&)
    {
        auto reply = m_client.listMembers();
        return reply ? printList(memberTable(reply.value())) : fail(reply.error());
    }

    ExitCode operator()(const ListZones&)
    {
        auto reply = m_client.listZones();
        if (!reply)
            return fail(reply.error());
        if (reply.value().error.isError())
            return fail(reply.value().error);
        return printList(zoneTable(reply.value()));
    }

    ExitCode operator()(const RetireZone& command)
    {
        auto reply = m_client.retireZone(command.zone);
        if (!reply)
            return fail(reply.error());
        if (reply.value().isError())
            return fail(reply.value());
        return printOne({ { "zone", "retired" }, { { command.zone.text, true } } });
    }

    ExitCode operator()(const ShowStatus&)
    {
        auto reply = m_client.status();
        return reply ? printOne(statusTable(reply.value())) : fail(reply.error());
    }

    ExitCode operator()(const ShowMeasures&)
    {
        auto reply = m_client.measures();
        return reply ? printList(measureTable(reply.value())) : fail(reply.error());
    }

    ExitCode operator()(const ShowAction& command)
    {
        auto reply = m_client.findAction(command.token);
        if (!reply)
            return fail(reply.error());
        if (reply.value().error.isError())
            return fail(reply.value().error);
        return printOne(actionTable(reply.value()));
    }

private:
    ExitCode printList(const Table& table)
    {
        m_out << (m_line.isJson ? toJsonArray(table) : formatTable(table));
        return ExitCode::Done;
    }

    ExitCode printOne(const Table& table)
    {
        m_out << (m_line.isJson ? toJsonObject(table) : formatRecord(table));
        return ExitCode::Done;
    }

    ExitCode fail(ExitCode code, const std::string& message)
    {
        m_err << "berylportctl: " << message << "\n";
        return code;
    }

    ExitCode fail(const OperatorError& error) { return fail(toExitCode(error.code), describe(error)); }

    ExitCode fail(OperatorClientError error)
    {
        return fail(ExitCode::Unavailable, toText(m_line.node) + ": " + std::string(toText(error)));
    }

    // Returns an exit code when there is no such service.
    std::optional<ExitCode> find(const ServiceName& name, ServiceDefinition& found)
    {
        auto reply = m_client.listServices();
        if (!reply)
            return fail(reply.error());
        const auto& services = reply.value().services;
        auto it = std::find_if(services.begin(), services.end(), [&](const auto& each) { return each.name == name; });
        if (it == services.end())
            return fail(ExitCode::NotFound, "there is no service " + name.text);
        found = *it;
        return std::nullopt;
    }

    ExitCode change(const ServiceName& name, ServiceChange serviceChange, uint64_t expectedVersion)
    {
        ServiceChangeRequest request { .change = std::move(serviceChange),
            .expectedVersion = expectedVersion,
            .token = m_line.token ? *m_line.token : createToken() };
        auto reply = m_client.changeService(request);
        if (!reply) {
            if (isNotSent(reply.error()))
                return fail(reply.error());
            return failUnresolved(request, name, std::string(toText(reply.error())));
        }
        if (reply.value().error.code == OperatorErrorCode::Unresolved)
            return failUnresolved(request, name, describe(reply.value().error));
        if (reply.value().error.isError())
            return fail(reply.value().error);
        return printChange(name, request, reply.value());
    }

    ExitCode failUnresolved(const ServiceChangeRequest& request, const ServiceName& name, const std::string& reason)
    {
        std::string repeat = "--token " + request.token;
        if (request.expectedVersion)
            repeat += " --version " + std::to_string(request.expectedVersion);
        return fail(ExitCode::Unresolved,
            "the change of " + name.text + " may have been written (" + reason + "); repeat it with " + repeat);
    }

    ExitCode printChange(const ServiceName& name, const ServiceChangeRequest& request, const ServiceChangeReply& reply)
    {
        std::vector<std::string> zones;
        std::string zoneList;
        for (const auto& it : reply.missingZones) {
            zones.push_back(it.text);
            zoneList += (zoneList.empty() ? "" : ", ") + it.text;
        }
        printOne({ { "service", "state", "version", "missingZones", "token" },
            { { name.text, std::string(toText(reply.state)), reply.version, zones, request.token } } });
        if (reply.state == ServiceChangeState::Accepted)
            return ExitCode::Done;
        return fail(ExitCode::Pending,
            "version " + std::to_string(reply.version) + " is recorded but not yet confirmed by "
                + (zoneList.empty() ? "all zones" : "zones " + zoneList));
    }

    const CommandLine& m_line;
    OperatorClient& m_client;
    std::ostream& m_out;
    std::ostream& m_err;
};

} // namespace

std::string createToken()
{
    std::random_device device;
    auto draw = [&] { return uint64_t(device()) << 32 | device(); };
    return toText(NodeId { draw() }) + toText(NodeId { draw() });
}

ExitCode runCommand(const CommandLine& line, OperatorClient& client, std::ostream& out, std::ostream& err)
{
    return std::visit(Runner(line, client, out, err), line.command);
}

ExitCode runTool(std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    auto parsed = parseArguments(arguments);
    if (const auto* help = std::get_if<HelpText>(&parsed)) {
        out << help->text;
        return ExitCode::Done;
    }
    if (const auto* error = std::get_if<UsageError>(&parsed)) {
        err << "berylportctl: " << error->message << "\n";
        return ExitCode::Usage;
    }
    const auto& line = std::get<CommandLine>(parsed);
    OperatorClient client(
        line.node, { .connectTimeout = std::min(connectTimeout, line.timeout), .timeout = line.timeout });
    return runCommand(line, client, out, err);
}

} // namespace Berylport::Tool
