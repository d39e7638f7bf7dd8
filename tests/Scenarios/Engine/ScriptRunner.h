// Plays a script in a World and checks what it expects.
#pragma once

#include "Scenarios/Engine/Script.h"

#include <string>
#include <vector>

namespace Berylport::Scenario {

// One text per expectation that does not hold, with file and line. The promises that hold for every call (one answer,
// in time, to the right caller, at most one start, no start after "not run") are checked as well.
std::vector<std::string> runScript(const Script&);

} // namespace Berylport::Scenario
