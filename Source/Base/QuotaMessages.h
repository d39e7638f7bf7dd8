// What nodes tell each other to share the request limits of client accounts.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <array>
#include <cstdint>
#include <variant>
#include <vector>

namespace Berylport {

// Accounts are divided into slots by their key. A node's share of each limit is in two halves, which it leases to
// different owners.
constexpr size_t quotaSlotCount = 8;
constexpr size_t quotaHalves = 2;
// Halves of slots: first halves, then second ones. One bit each in a mask.
constexpr size_t quotaUnitCount = quotaHalves * quotaSlotCount;
using QuotaUnitMask = uint16_t;
static_assert(sizeof(QuotaUnitMask) * 8 == quotaUnitCount);

// Wants and shares in one datagram; together they stay below its size limit.
constexpr size_t maximumQuotaItems = 40;

// What a node needs for one account.
struct QuotaWant {
    uint64_t account { 0 };
    // Requests that wait for a token.
    uint16_t waiting { 0 };
    // Requests expected soon.
    uint16_t expected { 0 };
    // Requests refused since the last message.
    uint16_t refused { 0 };
    bool operator==(const QuotaWant&) const = default;
};

// Time on the clock of an owner, since it started.
using QuotaTime = Duration;

// Sent to an owner; repeated with the same sequence number while there is no reply.
struct QuotaRequest {
    uint32_t sequence { 0 };
    NodeId sender;
    NodeId owner;
    // VMs that share each limit, as far as the sender knows.
    uint32_t knownVms { 0 };
    // The owner may issue these halves of the sender's shares until this time of its own clock.
    QuotaUnitMask leasedUnits { 0 };
    QuotaTime leasedUntil {};
    std::vector<QuotaWant> wants;
    bool operator==(const QuotaRequest&) const = default;
};

// Tokens for one account. Each permits one request.
struct QuotaShare {
    uint64_t account { 0 };
    // For requests that wait.
    uint16_t granted { 0 };
    uint16_t grantedLifetimeMs { 0 };
    // For requests that are expected.
    uint16_t stocked { 0 };
    uint16_t stockedLifetimeMs { 0 };
    // When there may be a token for a request that got none.
    uint16_t retryAfterMs { 0 };
    bool operator==(const QuotaShare&) const = default;
};

struct QuotaReply {
    uint32_t sequence { 0 };
    NodeId sender;
    NodeId receiver;
    QuotaTime clock {};
    // Share of the limits that the sender issues, for each slot.
    std::array<uint16_t, quotaSlotCount> issuedPermille {};
    std::vector<QuotaShare> shares;
    bool operator==(const QuotaReply&) const = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaReply>;

} // namespace Berylport
