// The limit of one client account and the tokens that it allows.
//
// All nodes together issue `rate` tokens a second for an account, and each token is valid for `lifetime` after that.
// So in no window W do more than rate * (W + lifetime) requests start, whoever issues, holds or uses the tokens.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string_view>

namespace Berylport {

// How far the requests of an account may exceed its limit in a window: by this share of what the limit allows in the
// window, plus a number of requests. Zero if the limit is exact.
struct QuotaTolerance {
    double excess { 0 };
    double slack { 0 };
    Duration window { std::chrono::seconds(5) };
};

struct AccountQuota {
    uint64_t account { 0 };
    // Tokens a second, of all nodes together.
    double rate { 0 };
    Duration lifetime {};
    bool operator==(const AccountQuota&) const = default;
};

// Key of an account in messages; the same on all nodes.
uint64_t quotaKey(std::string_view accountName);
size_t quotaSlotOf(uint64_t account);
// The rate must be above zero. In any window W, rate * W + burst requests are allowed. Most of the tolerance prolongs
// the lifetime, as bursts of an account that stays below its limit are not spread evenly over time and nodes; the rest
// covers delays and nodes that others do not know yet.
AccountQuota makeAccountQuota(std::string_view accountName, double rate, double burst, const QuotaTolerance&);

} // namespace Berylport
