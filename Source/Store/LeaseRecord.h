// Value of a lease row.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

struct LeaseRecord {
    // Null when the lease has been released.
    NodeId holder {};
    uint64_t fencingToken { 0 };
    // How long others wait after they first saw this row version.
    Duration duration {};
    bool operator==(const LeaseRecord&) const = default;
};

std::string encodeLeaseRecord(const LeaseRecord&);
std::optional<LeaseRecord> decodeLeaseRecord(std::string_view);

// Row that is written with each renewal.
std::string leaseKey(std::string_view name);
// Row that is written only when the holder changes. Its version is the fencing token, so a transaction that checks this
// version fails once there is a newer holder, and renewals don't disturb it. Neither row is ever deleted.
std::string fenceKey(std::string_view name);

} // namespace Berylport
