// The root of a node's supervisor tree: starts the tasks, hears signals, and ends the process after a drain.
#pragma once

#include "Node/NodeContext.h"

#include <functional>
#include <optional>
#include <string>

namespace Berylport {

enum class NodeExit : uint8_t {
    // Everything in flight was finished.
    Clean = 0,
    // A task could not start, or failed too often.
    Failed = 1,
    // A second signal or the drain limit ended the drain.
    CutShort = 3,
};

// The settings when they may have changed since the last call, nothing when they have not.
using SettingsReader = std::function<std::optional<Result<NodeSettings, SettingsErrors>>()>;

// Runs one node until it ends. The reader is asked on SIGHUP and now and then.
NodeExit runNode(const NodeSettings&, NodeAdapter, SettingsReader);

// The product's own dialect and table.
NodeAdapter makeOwnAdapter();

struct NodeProgram {
    std::string name;
    std::string purpose;
    NodeAdapter adapter;
};

// The main function of a node's program: arguments, settings, log, node. Returns the exit status.
int runNodeProgram(int argc, char** argv, const NodeProgram&);

} // namespace Berylport
