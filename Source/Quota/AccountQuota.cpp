// Keys, slots and token lifetimes.
#include "Quota/AccountQuota.h"

#include "Base/QuotaMessages.h"

#include <algorithm>

namespace Berylport {

namespace {

constexpr double toleranceInUse = 0.75;
// Part of the excess by which more tokens are issued than the limit allows, as some expire unused.
constexpr double excessIssued = 0.25;
// A token must live until the next one is issued, or fractions never add up to one.
constexpr double minimumTokens = 1.5;
constexpr double maximumLifetimeSeconds = 60;
// If the tolerance covers tokens of this time, the burst is issued steadily. It must exceed the delays between nodes.
constexpr double steadyLifetimeSeconds = 0.2;

} // namespace

uint64_t quotaKey(std::string_view accountName)
{
    // FNV-1a.
    uint64_t hash = 0xcbf29ce484222325;
    for (char it : accountName)
        hash = (hash ^ static_cast<uint8_t>(it)) * 0x100000001b3;
    return hash;
}

size_t quotaSlotOf(uint64_t account)
{
    // The low bits of the hash of a short name depend on its last characters only.
    return ((account ^ (account >> 32)) * 0x9E3779B97F4A7C15ull >> 32) % quotaSlotCount;
}

AccountQuota makeAccountQuota(std::string_view accountName, double rate, double burst, const QuotaTolerance& tolerance)
{
    double window = std::chrono::duration<double>(tolerance.window).count();
    double allowed = rate * window + burst;
    double tolerated = toleranceInUse * (tolerance.slack + tolerance.excess * allowed);
    double tokens = std::max(burst + tolerated, minimumTokens);
    // An account may use its burst in each window anew, so this is its limit in the long run.
    double issued = allowed * (1 + excessIssued * tolerance.excess);
    double spare = tolerated - (issued - allowed);
    if (spare >= steadyLifetimeSeconds * issued / window) {
        tokens = spare;
        rate = issued / window;
    }
    double seconds = std::min(tokens / rate, maximumLifetimeSeconds);
    return { .account = quotaKey(accountName),
        .rate = rate,
        .lifetime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) };
}

} // namespace Berylport
