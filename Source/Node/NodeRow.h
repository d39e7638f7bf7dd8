// Row of a node in the shared store: its gossip address, and the target departure that must survive a restart.
#pragma once

#include "Base/Identifiers.h"
#include "Node/AnnouncementOrder.h"
#include "Suspects/Suspects.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Berylport {

struct NodeRow {
    // Id of the process that wrote the row last.
    NodeId node;
    Endpoint gossip;
    // Target on this VM whose departure was acknowledged last.
    std::optional<TargetIncarnation> departed;
    // Requests that are not sent to targets any more, as a target ended under them at a call of this node; sorted.
    std::vector<RequestFingerprint> refused {};
    bool operator==(const NodeRow&) const = default;
};

std::string encodeNodeRow(const NodeRow&);
// Returns nothing if the text is malformed.
std::optional<NodeRow> decodeNodeRow(std::string_view);

} // namespace Berylport
