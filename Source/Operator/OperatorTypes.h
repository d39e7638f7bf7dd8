// What operators send to a node and get from it.
#pragma once

#include "Base/Base.h"
#include "Configuration/Configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Berylport {

// In the order of Operator.capnp.
enum class OperatorErrorCode : uint8_t {
    None,
    NotFound,
    AlreadyExists,
    Conflict,
    Invalid,
    // Nothing was written.
    StoreUnavailable,
    // The change may have been written; the same token can be sent again without harm.
    Unresolved,
    Unreachable,
};

constexpr std::string_view toText(OperatorErrorCode code)
{
    switch (code) {
    case OperatorErrorCode::None:
        return "none";
    case OperatorErrorCode::NotFound:
        return "not-found";
    case OperatorErrorCode::AlreadyExists:
        return "already-exists";
    case OperatorErrorCode::Conflict:
        return "conflict";
    case OperatorErrorCode::Invalid:
        return "invalid";
    case OperatorErrorCode::StoreUnavailable:
        return "store-unavailable";
    case OperatorErrorCode::Unresolved:
        return "unresolved";
    case OperatorErrorCode::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

struct OperatorError {
    OperatorErrorCode code { OperatorErrorCode::None };
    std::string message;
    // Version of the service in the store; only for a conflict.
    uint64_t foundVersion { 0 };
    bool isError() const { return code != OperatorErrorCode::None; }
    bool operator==(const OperatorError&) const = default;
};

struct ServiceList {
    uint64_t configurationVersion { 0 };
    std::vector<ServiceDefinition> services;
    bool operator==(const ServiceList&) const = default;
};

struct ServiceChangeRequest {
    ServiceChange change;
    // Version of the service that the operator saw; zero to create it.
    uint64_t expectedVersion { 0 };
    // Unique for each change; the same for its repetitions.
    std::string token;
};

enum class ServiceChangeState : uint8_t {
    // Every registered zone has confirmed it.
    Accepted,
    // Durable and never withdrawn; some zones have not confirmed it yet.
    Pending,
};

constexpr std::string_view toText(ServiceChangeState state)
{
    return state == ServiceChangeState::Accepted ? "accepted" : "pending";
}

struct ServiceChangeReply {
    OperatorError error;
    ServiceChangeState state { ServiceChangeState::Accepted };
    uint64_t version { 0 };
    std::vector<ZoneName> missingZones;
    bool operator==(const ServiceChangeReply&) const = default;
};

struct TargetRow {
    ServiceName service;
    NodeId node;
    ZoneName zone;
    RegionName region;
    std::string state;
    uint16_t slots { 0 };
    bool isSuspect { false };
    // Peer endpoint of the node beside the target.
    std::string address;
    bool operator==(const TargetRow&) const = default;
};

struct MemberRow {
    NodeId node;
    ZoneName zone;
    RegionName region;
    std::string state;
    std::string address;
    uint64_t configurationVersion { 0 };
    bool operator==(const MemberRow&) const = default;
};

struct ZoneRow {
    ZoneName zone;
    uint64_t confirmedVersion { 0 };
    bool operator==(const ZoneRow&) const = default;
};

struct ZoneList {
    OperatorError error;
    uint64_t headVersion { 0 };
    std::vector<ZoneRow> zones;
    bool operator==(const ZoneList&) const = default;
};

struct MeasureRow {
    std::string name;
    std::string label;
    double value { 0 };
    bool operator==(const MeasureRow&) const = default;
};

struct OperatorNodeStatus {
    NodeId node;
    ZoneName zone;
    RegionName region;
    // confirmed, unconfirmed or isolated.
    std::string guard;
    bool isDraining { false };
    bool isStoreReachable { false };
    uint64_t configurationVersion { 0 };
    uint32_t members { 0 };
    Duration uptime {};
    bool isCoordinator { false };
    bool operator==(const OperatorNodeStatus&) const = default;
};

struct ActionReply {
    OperatorError error;
    std::string token;
    ServiceName service;
    // accepted, running, done or in-doubt.
    std::string state;
    // HTTP status of the result; zero while there is none.
    uint16_t resultStatus { 0 };
    bool operator==(const ActionReply&) const = default;
};

} // namespace Berylport
