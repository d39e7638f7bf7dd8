// Carries out one command of berylportctl.
#pragma once

#include "Operator/OperatorClient.h"
#include "Operator/ToolCommand.h"

#include <iosfwd>

namespace Berylport::Tool {

// Scripts depend on these numbers; --help lists them.
enum class ExitCode : uint8_t {
    Done = 0,
    Usage = 2,
    Conflict = 3,
    NotFound = 4,
    Pending = 5,
    Unavailable = 6,
    Unresolved = 7,
};

// 128 random bits in hexadecimal.
std::string createToken();

// Results go to `out`, one sentence about an error to `err`.
ExitCode runCommand(const CommandLine&, OperatorClient&, std::ostream& out, std::ostream& err);
// Parses, connects and runs.
ExitCode runTool(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace Berylport::Tool
