// The row of a node in the shared store: how others find it, and what it must not forget.
#pragma once

#include "Base/Identifiers.h"
#include "Node/AnnouncementOrder.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

struct NodeRow {
    // The process that wrote the row last.
    NodeId node;
    Endpoint gossip;
    // The target on this VM whose leaving was acknowledged last.
    std::optional<TargetIncarnation> departed;
    bool operator==(const NodeRow&) const = default;
};

std::string encodeNodeRow(const NodeRow&);
// Nothing when the text is not a row of this form.
std::optional<NodeRow> decodeNodeRow(std::string_view);

} // namespace Berylport
