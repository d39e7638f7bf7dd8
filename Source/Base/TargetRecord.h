// A target as the fleet knows it: what membership spreads and what routing chooses from.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace Berylport {

// One target: a service on the VM of one node.
struct TargetId {
    NodeId node;
    ServiceName service;
    // clang-tidy 14 reports the comparison with zero inside a defaulted <=>.
    auto operator<=>(const TargetId&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class TargetState : uint8_t {
    // Announced, but not ready for work.
    Starting,
    Ready,
    // Finishes what it has and gets no new work.
    Draining,
    // Its announcement has lapsed or it refuses connections.
    Down,
};

constexpr std::string_view toText(TargetState state)
{
    switch (state) {
    case TargetState::Starting:
        return "starting";
    case TargetState::Ready:
        return "ready";
    case TargetState::Draining:
        return "draining";
    case TargetState::Down:
        return "down";
    }
    return "unknown";
}

// One start of a target.
struct TargetIncarnation {
    std::string instance;
    // Milliseconds since the Unix epoch, on the target's clock.
    uint64_t startedAtMilliseconds { 0 };
    bool operator==(const TargetIncarnation&) const = default;
};

struct TargetRecord {
    TargetId id;
    ZoneName zone;
    RegionName region;
    TargetState state { TargetState::Starting };
    uint16_t slots { 10 };
    // When this node first heard of the target; slow start counts from here.
    Instant firstSeen;
    // Membership suspects the node; used only when too few others are left.
    bool isSuspect { false };
    bool operator==(const TargetRecord&) const = default;
};

} // namespace Berylport

template <> struct std::hash<Berylport::TargetId> {
    size_t operator()(const Berylport::TargetId& id) const
    {
        return std::hash<Berylport::NodeId>()(id.node) * 31 + std::hash<Berylport::ServiceName>()(id.service);
    }
};
