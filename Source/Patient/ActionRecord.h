// Row of a patient action, its keys and object names.
#pragma once

#include "Base/CallMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

constexpr uint32_t actionPartitionCount = 16;

enum class ActionState : uint8_t {
    Accepted,
    Running,
    Done,
    // Nobody can tell whether it ran. It is never run again automatically.
    InDoubt,
};

constexpr std::string_view toText(ActionState state)
{
    switch (state) {
    case ActionState::Accepted:
        return "accepted";
    case ActionState::Running:
        return "running";
    case ActionState::Done:
        return "done";
    case ActionState::InDoubt:
        return "in-doubt";
    }
    return "unknown";
}

// What was recorded before the attempt was sent.
struct ActionAttempt {
    uint64_t fencingToken { 0 };
    NodeId node {};
    AttemptId id {};
    // By the wall clock of the node that claimed it, so a reader allows for a difference between clocks.
    int64_t deadlineUnixMs { 0 };
    bool operator==(const ActionAttempt&) const = default;
};

struct ActionRecord {
    ActionState state { ActionState::Accepted };
    ServiceName service {};
    TenantName tenant {};
    // Without its body when that is in the object store or the action has ended.
    HttpRequest http {};
    std::string bodyObject {};
    std::string fingerprint {};
    bool deduplicates { false };
    // Attempts claimed so far.
    uint32_t attempts { 0 };
    ActionAttempt current {};
    int64_t finishedUnixMs { 0 };
    HttpResponse result {};
    std::string resultObject {};
    bool operator==(const ActionRecord&) const = default;
};

std::string encodeActionRecord(const ActionRecord&);
std::optional<ActionRecord> decodeActionRecord(std::string_view);

// 1 to 128 visible ASCII characters that need no escape in a path or in JSON.
bool isValidActionToken(std::string_view);
uint32_t actionPartition(std::string_view token);

// Accepted and running actions. Kept apart from the ended ones so that a scan for work reads only what is left to do.
std::string openActionPrefix(uint32_t partition);
std::string openActionKey(std::string_view token);
// Ended actions: done or in doubt.
std::string endedActionPrefix(uint32_t partition);
std::string endedActionKey(std::string_view token);
// Lease of a partition.
std::string partitionLeaseName(uint32_t partition);

// Equal for requests that are the same action. Headers don't count, as a repeated request has another trace id.
std::string actionFingerprint(const ServiceName&, const TenantName&, const HttpRequest&);
// Contains the fingerprint, so that a body that was stored but not accepted doesn't block another one.
std::string bodyObjectName(std::string_view token, std::string_view fingerprint);
// Each attempt has its own object, as a repeated run may answer with other bytes.
std::string resultObjectName(std::string_view token, uint32_t attempt);

} // namespace Berylport
