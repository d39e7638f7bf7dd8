// The root of a node's supervisor tree: starts the tasks, hears signals, and ends the process after a drain.
#pragma once

#include "Node/NodeContext.h"

namespace Berylport {

enum class NodeExit : uint8_t {
    // Everything in flight was finished.
    Clean = 0,
    // A task could not start, or failed too often.
    Failed = 1,
    // A second signal or the drain limit ended the drain.
    CutShort = 3,
};

// Runs one node until it ends. The settings must outlive it.
NodeExit runNode(const NodeSettings&);

} // namespace Berylport
