// Reads the scenario language: one statement a line, '#' begins a comment.
//
//   entry NAME
//   target NAME runs SERVICE [slots N] [queue N] [service-time D] [zone ZONE] [status N]
//   at T caller N sends SERVICE KIND wait D [via ENTRY] [tokens N] [depth N] [hedged]
//   at T callers N to M every D send SERVICE KIND wait D [via ENTRY] [tokens N] [depth N] [hedged]
//   at T caller N leaves
//   at T link ENTRY TARGET cut | heal | duplicate | delay D
//   at T freeze TARGET for D
//   at T crash TARGET              at T gone TARGET
//   at T state TARGET starting | ready | draining | down
//   at T suspect TARGET            at T trust TARGET
//   at T drain TARGET              at T close TARGET
//   at T slow TARGET D             at T status TARGET N
//   expect call N outcome run | not-run | may-have-run by T
//   expect call N status N | failure TEXT | unanswered | retry-after at least D
//   expect starts | attempts | cancels call N BOUND
//   expect starts on TARGET BOUND [after T]
//   expect calls outcome O BOUND
//   expect total attempts BOUND
//   expect dropped replies at ENTRY BOUND
//
// BOUND is "at most N", "at least N" or "exactly N"; D and T are whole numbers with the unit us, ms or s. Without
// "via" a call enters at the first entry node.
#pragma once

#include "Scenarios/Engine/Script.h"

#include <stdexcept>

namespace Berylport::Scenario {

// Names file and line.
class ScriptError : public std::runtime_error {
public:
    ScriptError(const std::string& file, size_t line, const std::string& text)
        : std::runtime_error(file + ":" + std::to_string(line) + ": " + text)
    {
    }
};

// Throws ScriptError for a line that is unknown or malformed.
Script parseScript(const std::string& file, const std::string& text);

} // namespace Berylport::Scenario
