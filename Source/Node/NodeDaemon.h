// Root of the supervisor tree of a node: starts the tasks, handles signals, and stops the process after a drain.
#pragma once

#include "Node/NodeContext.h"

#include <functional>
#include <optional>
#include <string>

namespace Berylport {

enum class NodeExit : uint8_t {
    // All in-flight work was completed.
    Clean = 0,
    // A task could not start, or failed too often.
    Failed = 1,
    // The drain was aborted by a second signal or by the drain limit.
    DrainAborted = 3,
};

// Returns the settings if they may have changed since the last call, otherwise nothing.
using SettingsReader = std::function<std::optional<Result<NodeSettings, SettingsErrors>>()>;

// Runs one node until it stops. The reader is called on SIGHUP and once a second.
NodeExit runNode(const NodeSettings&, NodeAdapter, SettingsReader);

// Adapter with the native dialect and without a shared store.
NodeAdapter makeNativeAdapter();

struct NodeProgram {
    std::string name;
    std::string purpose;
    NodeAdapter adapter;
};

// Main function of a node program: parses the arguments, reads the settings, starts the log and runs the node. Returns
// the exit status.
int runNodeProgram(int argc, char** argv, const NodeProgram&);

} // namespace Berylport
