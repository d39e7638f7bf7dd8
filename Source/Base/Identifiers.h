// Identifiers shared by all modules. Each is its own type, so that one cannot be passed for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

// clang-tidy 14 takes the literal zero inside a defaulted operator<=> for a null pointer.
// NOLINTBEGIN(modernize-use-nullptr)

// A name that is only comparable with names of the same tag.
template <typename Tag> struct Name {
    std::string text;

    Name() = default;
    explicit Name(std::string_view view)
        : text(view)
    {
    }
    bool isEmpty() const { return text.empty(); }
    auto operator<=>(const Name&) const = default;
};

using ServiceName = Name<struct ServiceNameTag>;
using TenantName = Name<struct TenantNameTag>;
using ZoneName = Name<struct ZoneNameTag>;
using RegionName = Name<struct RegionNameTag>;

// Drawn at random at each process start, so a restarted node on an old address is another node. Zero means "no node".
struct NodeId {
    uint64_t value { 0 };
    bool isNull() const { return !value; }
    auto operator<=>(const NodeId&) const = default;
};

// Names one call for its whole life. Every attempt of a call has the same CallId and its own attempt number.
struct CallId {
    NodeId origin;
    uint64_t sequence { 0 };
    auto operator<=>(const CallId&) const = default;
};

struct AttemptId {
    CallId call;
    uint32_t attempt { 0 };
    auto operator<=>(const AttemptId&) const = default;
};

// Numbers a peer link within one process. Zero is the node itself.
struct LinkId {
    uint64_t value { 0 };
    bool isLocal() const { return !value; }
    auto operator<=>(const LinkId&) const = default;
};

// An IP number and a port. Names are never resolved.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };
    auto operator<=>(const Endpoint&) const = default;
};

// NOLINTEND(modernize-use-nullptr)

std::string toText(NodeId);
std::string toText(const CallId&);
std::string toText(const Endpoint&);
std::optional<NodeId> parseNodeId(std::string_view);
std::optional<CallId> parseCallId(std::string_view);
std::optional<Endpoint> parseEndpoint(std::string_view);

// Service, zone, region and tenant names: 1 to 63 of a-z, 0-9, '-', '_' and '.', beginning with a letter or digit.
bool isValidName(std::string_view);

} // namespace Berylport

template <typename Tag> struct std::hash<Berylport::Name<Tag>> {
    size_t operator()(const Berylport::Name<Tag>& name) const { return std::hash<std::string>()(name.text); }
};

template <> struct std::hash<Berylport::NodeId> {
    size_t operator()(const Berylport::NodeId& id) const { return std::hash<uint64_t>()(id.value); }
};

template <> struct std::hash<Berylport::LinkId> {
    size_t operator()(const Berylport::LinkId& id) const { return std::hash<uint64_t>()(id.value); }
};

template <> struct std::hash<Berylport::CallId> {
    size_t operator()(const Berylport::CallId& id) const
    {
        // Odd multiplier spreads consecutive sequence numbers over the high bits.
        return id.origin.value ^ (id.sequence * 0x9E3779B97F4A7C15ull);
    }
};

template <> struct std::hash<Berylport::AttemptId> {
    size_t operator()(const Berylport::AttemptId& id) const
    {
        return std::hash<Berylport::CallId>()(id.call) * 31 + id.attempt;
    }
};
