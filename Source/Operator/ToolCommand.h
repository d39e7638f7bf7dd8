// The command line of berylportctl, parsed into one typed command.
#pragma once

#include "Operator/OperatorTypes.h"

#include <optional>
#include <span>
#include <string>
#include <variant>

namespace Berylport::Tool {

struct ListServices { };
struct ShowService {
    ServiceName name;
};
struct CreateService {
    ServiceDefinition definition;
};
// The fields to change; the others stay.
struct DefinitionEdits {
    std::optional<RequestKind> kind;
    std::optional<Priority> priority;
    std::optional<Duration> callerWait;
    std::optional<uint32_t> retryTokens;
    std::optional<bool> isHedged;
    std::optional<uint32_t> queueLimit;
    std::optional<bool> deduplicates;
    bool operator==(const DefinitionEdits&) const = default;
};
struct EditService {
    ServiceName name;
    DefinitionEdits edits;
    // Without it, the version that the tool reads.
    std::optional<uint64_t> version;
};
struct DeleteService {
    ServiceName name;
    std::optional<uint64_t> version;
};
struct ListTargets { };
struct SetDrain {
    NodeId node;
    ServiceName service;
    bool isDrained { true };
};
struct ListMembers { };
struct ListZones { };
struct RetireZone {
    ZoneName zone;
};
struct ShowStatus { };
struct ShowMeasures { };
struct ShowAction {
    std::string token;
};

using Command = std::variant<ListServices, ShowService, CreateService, EditService, DeleteService, ListTargets,
    SetDrain, ListMembers, ListZones, RetireZone, ShowStatus, ShowMeasures, ShowAction>;

struct CommandLine {
    Endpoint node;
    bool isJson { false };
    Duration timeout {};
    // Token of an earlier change that is to be repeated.
    std::optional<std::string> token;
    Command command;
};

struct HelpText {
    std::string text;
};

struct UsageError {
    std::string message;
};

using ParsedArguments = std::variant<CommandLine, HelpText, UsageError>;

// The arguments without the name of the program.
ParsedArguments parseArguments(std::span<const std::string> arguments);

// Applies the edits to a copy.
ServiceDefinition applyEdits(ServiceDefinition, const DefinitionEdits&);

} // namespace Berylport::Tool
