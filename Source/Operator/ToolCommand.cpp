// Parsing of the command line.
#include "Operator/ToolCommand.h"

#include "Operator/OperatorCodec.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <stdexcept>

namespace Berylport::Tool {

namespace {

constexpr uint32_t maximumTimeoutMilliseconds = 600'000;

constexpr const char* exitCodeHelp = R"(
Exit codes:
  0  done and accepted
  2  wrong usage
  3  conflict with another change, or already exists
  4  not found
  5  pending: recorded, not yet confirmed by the zones named
  6  store or node unavailable
  7  unresolved: may have been written; repeat it with the token printed
)";

// Ends the parsing; does not leave this file.
class BadUsage : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

enum class CommandName : uint8_t {
    ServiceList,
    ServiceShow,
    ServiceCreate,
    ServiceChange,
    ServiceRemove,
    TargetList,
    TargetDrain,
    TargetUndrain,
    MemberList,
    ZoneList,
    ZoneRetire,
    NodeStatus,
    NodeMeasures,
    ActionShow,
};

struct CommandSpec {
    CommandName name;
    // Group and verb.
    std::string_view words;
    std::vector<std::string> positionals;
    // Allowed besides the global ones.
    std::vector<std::string> options;
    std::string_view summary;
};

const std::vector<std::string> definitionOptions
    = { "kind", "priority", "caller-wait-ms", "retry-tokens", "hedged", "queue-limit", "deduplicates" };

std::vector<std::string> withDefinition(std::vector<std::string> others)
{
    others.insert(others.begin(), definitionOptions.begin(), definitionOptions.end());
    return others;
}

const std::vector<CommandSpec>& commandSpecs()
{
    static const std::vector<CommandSpec> specs = {
        { CommandName::ServiceList, "service list", {}, {}, "Lists the services." },
        { CommandName::ServiceShow, "service show", { "NAME" }, {}, "Shows one service." },
        { CommandName::ServiceCreate, "service create", { "NAME" }, withDefinition({ "token" }), "Creates a service." },
        { CommandName::ServiceChange, "service change", { "NAME" }, withDefinition({ "version", "token" }),
            "Changes the fields named of a service." },
        { CommandName::ServiceRemove, "service remove", { "NAME" }, { "version", "token" }, "Removes a service." },
        { CommandName::TargetList, "target list", {}, {}, "Lists the targets." },
        { CommandName::TargetDrain, "target drain", { "NODE", "SERVICE" }, {}, "Stops new work to a target." },
        { CommandName::TargetUndrain, "target undrain", { "NODE", "SERVICE" }, {}, "Ends the drain of a target." },
        { CommandName::MemberList, "member list", {}, {}, "Lists the nodes." },
        { CommandName::ZoneList, "zone list", {}, {}, "Lists the zones and the versions they have confirmed." },
        { CommandName::ZoneRetire, "zone retire", { "ZONE" }, {},
            "States that a zone is switched off, so that changes no longer wait for it." },
        { CommandName::NodeStatus, "node status", {}, {}, "Shows the state of the node." },
        { CommandName::NodeMeasures, "node measures", {}, {}, "Shows the metrics of the node." },
        { CommandName::ActionShow, "action show", { "TOKEN" }, {}, "Shows a patient action." },
    };
    return specs;
}

cxxopts::Options createOptions()
{
    cxxopts::Options options("berylportctl", "Manages Berylport through any of its nodes.");
    options.add_options()("node", "Endpoint of a node", cxxopts::value<std::string>()->default_value("127.0.0.1:7082"),
        "ADDRESS:PORT")("json", "Print JSON: one object or array")("timeout-ms", "Limit on each request to the node",
        cxxopts::value<uint32_t>()->default_value("10000"), "N")("help", "Print this help and exit");
    options.add_options("command")("kind", "idempotent, at-most-once or patient", cxxopts::value<std::string>(),
        "KIND")("priority", "critical, normal or bulk", cxxopts::value<std::string>(), "PRIORITY")("caller-wait-ms",
        "How long a caller waits", cxxopts::value<uint32_t>(),
        "N")("retry-tokens", "Retries of one call and all below it, 0 to 8", cxxopts::value<uint32_t>(), "N")(
        "hedged", "Send a second attempt after the p95 delay (--hedged=false ends it)", cxxopts::value<bool>())(
        "queue-limit", "Calls that may wait beside one target", cxxopts::value<uint32_t>(), "N")("deduplicates",
        "The targets keep Idempotency-Key durably (--deduplicates=false ends it)", cxxopts::value<bool>())("version",
        "Version of the service that the change is based on", cxxopts::value<uint64_t>(),
        "N")("token", "Repeat the change that had this token", cxxopts::value<std::string>(), "TOKEN");
    options.add_options("hidden")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

std::string usageOf(const CommandSpec& spec)
{
    std::string usage(spec.words);
    for (const auto& it : spec.positionals)
        usage += " " + it;
    return usage;
}

std::string generalHelp()
{
    auto options = createOptions();
    options.custom_help("[OPTION...] COMMAND").positional_help("");
    std::string text = options.help({ "" }) + "\nCommands:\n";
    for (const auto& it : commandSpecs()) {
        std::string usage = usageOf(it);
        usage.resize(std::max<size_t>(usage.size() + 2, 32), ' ');
        text += "  " + usage + std::string(it.summary) + "\n";
    }
    return text + exitCodeHelp;
}

std::string commandHelp(const CommandSpec& spec)
{
    cxxopts::Options shown("berylportctl", std::string(spec.summary));
    auto all = createOptions();
    shown.custom_help(usageOf(spec) + " [OPTION...]").positional_help("");
    for (const auto& group : { std::string(), std::string("command") }) {
        for (const auto& it : all.group_help(group).options) {
            const std::string& name = it.l.front();
            bool isAllowed = group.empty() || std::count(spec.options.begin(), spec.options.end(), name);
            if (!isAllowed)
                continue;
            auto value = it.is_boolean ? cxxopts::value<bool>() : std::shared_ptr<cxxopts::Value>();
            if (!value) {
                value = cxxopts::value<std::string>();
                if (it.has_default)
                    value->default_value(it.default_value);
            }
            shown.add_option("", "", name, it.desc, value, it.arg_help);
        }
    }
    return shown.help() + exitCodeHelp;
}

template <typename T> std::optional<T> optionalValue(const cxxopts::ParseResult& result, const std::string& name)
{
    if (!result.count(name))
        return std::nullopt;
    return result[name].as<T>();
}

template <typename Name> Name parseName(const std::string& text, const char* what)
{
    if (!isValidName(text))
        throw BadUsage("'" + text + "' is not a valid " + what + " name");
    return Name(text);
}

std::string checkedToken(const std::string& text)
{
    if (!isValidOperatorToken(text))
        throw BadUsage("a token has 1 to 128 printable characters without spaces");
    return text;
}

NodeId parseNode(const std::string& text)
{
    auto node = parseNodeId(text);
    if (!node || node->isNull())
        throw BadUsage("'" + text + "' is not a node id of 16 hexadecimal digits");
    return *node;
}

DefinitionEdits readEdits(const cxxopts::ParseResult& result)
{
    DefinitionEdits edits;
    if (auto text = optionalValue<std::string>(result, "kind")) {
        edits.kind = parseRequestKind(*text);
        if (!edits.kind)
            throw BadUsage("the kind must be idempotent, at-most-once or patient, not '" + *text + "'");
    }
    if (auto text = optionalValue<std::string>(result, "priority")) {
        edits.priority = parsePriority(*text);
        if (!edits.priority)
            throw BadUsage("the priority must be critical, normal or bulk, not '" + *text + "'");
    }
    if (auto n = optionalValue<uint32_t>(result, "caller-wait-ms"))
        edits.callerWait = std::chrono::milliseconds(*n);
    edits.retryTokens = optionalValue<uint32_t>(result, "retry-tokens");
    edits.isHedged = optionalValue<bool>(result, "hedged");
    edits.queueLimit = optionalValue<uint32_t>(result, "queue-limit");
    edits.deduplicates = optionalValue<bool>(result, "deduplicates");
    return edits;
}

CreateService readCreate(const std::string& name, const cxxopts::ParseResult& result)
{
    DefinitionEdits edits = readEdits(result);
    if (!edits.kind)
        throw BadUsage("service create needs --kind");
    ServiceDefinition definition;
    definition.name = parseName<ServiceName>(name, "service");
    definition = applyEdits(definition, edits);
    if (auto error = validate(definition))
        throw BadUsage(std::string(toText(*error)));
    return { definition };
}

EditService readChange(const std::string& name, const cxxopts::ParseResult& result)
{
    EditService command;
    command.name = parseName<ServiceName>(name, "service");
    command.edits = readEdits(result);
    if (command.edits == DefinitionEdits())
        throw BadUsage("service change needs at least one field to change");
    command.version = optionalValue<uint64_t>(result, "version");
    return command;
}

Command readCommand(CommandName name, const std::vector<std::string>& words, const cxxopts::ParseResult& result)
{
    switch (name) {
    case CommandName::ServiceList:
        return ListServices {};
    case CommandName::ServiceShow:
        return ShowService { parseName<ServiceName>(words[0], "service") };
    case CommandName::ServiceCreate:
        return readCreate(words[0], result);
    case CommandName::ServiceChange:
        return readChange(words[0], result);
    case CommandName::ServiceRemove:
        return DeleteService { parseName<ServiceName>(words[0], "service"),
            optionalValue<uint64_t>(result, "version") };
    case CommandName::TargetList:
        return ListTargets {};
    case CommandName::TargetDrain:
    case CommandName::TargetUndrain:
        return SetDrain { parseNode(words[0]), parseName<ServiceName>(words[1], "service"),
            name == CommandName::TargetDrain };
    case CommandName::MemberList:
        return ListMembers {};
    case CommandName::ZoneList:
        return ListZones {};
    case CommandName::ZoneRetire:
        return RetireZone { parseName<ZoneName>(words[0], "zone") };
    case CommandName::NodeStatus:
        return ShowStatus {};
    case CommandName::NodeMeasures:
        return ShowMeasures {};
    case CommandName::ActionShow:
        return ShowAction { checkedToken(words[0]) };
    }
    throw BadUsage("unknown command");
}

const CommandSpec* findSpec(const std::vector<std::string>& words)
{
    if (words.size() < 2)
        return nullptr;
    std::string key = words[0] + " " + words[1];
    for (const auto& it : commandSpecs()) {
        if (it.words == key)
            return &it;
    }
    return nullptr;
}

void checkOptions(const CommandSpec& spec, const cxxopts::ParseResult& result)
{
    std::vector<std::string> limited = withDefinition({ "version", "token" });
    for (const auto& it : limited) {
        bool isAllowed = std::count(spec.options.begin(), spec.options.end(), it);
        if (result.count(it) && !isAllowed)
            throw BadUsage(std::string(spec.words) + " does not take --" + it);
    }
    // After a write that took effect the current version is not the one that the first sending expected.
    bool takesVersion = std::count(spec.options.begin(), spec.options.end(), "version");
    if (takesVersion && result.count("token") && !result.count("version"))
        throw BadUsage("a change is repeated with both --token and --version");
}

CommandLine readGlobal(const cxxopts::ParseResult& result)
{
    CommandLine line;
    auto text = result["node"].as<std::string>();
    auto node = parseEndpoint(text);
    if (!node || !node->port)
        throw BadUsage("--node must be an IP address and a port, not '" + text + "'");
    line.node = *node;
    line.isJson = result.count("json");
    auto timeout = result["timeout-ms"].as<uint32_t>();
    if (!timeout || timeout > maximumTimeoutMilliseconds)
        throw BadUsage("--timeout-ms must be 1 to 600000");
    line.timeout = std::chrono::milliseconds(timeout);
    if (result.count("token"))
        line.token = checkedToken(result["token"].as<std::string>());
    return line;
}

ParsedArguments parse(const std::vector<const char*>& argv)
{
    auto options = createOptions();
    auto result = options.parse(static_cast<int>(argv.size()), argv.data());
    std::vector<std::string> words;
    if (result.count("words"))
        words = result["words"].as<std::vector<std::string>>();
    const CommandSpec* spec = findSpec(words);
    if (result.count("help"))
        return HelpText { spec ? commandHelp(*spec) : generalHelp() };
    if (words.empty())
        throw BadUsage("a command is missing; see berylportctl --help");
    if (!spec)
        throw BadUsage("unknown command '" + words[0] + (words.size() > 1 ? " " + words[1] : "") + "'");
    words.erase(words.begin(), words.begin() + 2);
    if (words.size() != spec->positionals.size())
        throw BadUsage("usage: berylportctl " + usageOf(*spec));
    checkOptions(*spec, result);
    CommandLine line = readGlobal(result);
    line.command = readCommand(spec->name, words, result);
    return line;
}

} // namespace

ParsedArguments parseArguments(std::span<const std::string> arguments)
{
    std::vector<const char*> argv { "berylportctl" };
    for (const auto& it : arguments)
        argv.push_back(it.c_str());
    try {
        return parse(argv);
    } catch (const std::exception& exception) {
        return UsageError { exception.what() };
    }
}

ServiceDefinition applyEdits(ServiceDefinition definition, const DefinitionEdits& edits)
{
    definition.kind = edits.kind.value_or(definition.kind);
    definition.priority = edits.priority.value_or(definition.priority);
    definition.callerWait = edits.callerWait.value_or(definition.callerWait);
    definition.retryTokens = edits.retryTokens.value_or(definition.retryTokens);
    definition.isHedged = edits.isHedged.value_or(definition.isHedged);
    definition.queueLimit = edits.queueLimit.value_or(definition.queueLimit);
    definition.deduplicates = edits.deduplicates.value_or(definition.deduplicates);
    return definition;
}

} // namespace Berylport::Tool
