// Decides whether this node may serve: only while its configuration is known to be no older than the last accepted
// change.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Berylport {

enum class GuardState : uint8_t {
    // The configuration has been compared with the store or a peer since the last start, pause or declared death.
    Confirmed,
    // Serving is blocked until a comparison shows that the configuration is not older than an accepted change.
    Unconfirmed,
    // Cut off from the zone, the rest of the region and the store.
    Isolated,
};

constexpr std::string_view toText(GuardState state)
{
    switch (state) {
    case GuardState::Confirmed:
        return "confirmed";
    case GuardState::Unconfirmed:
        return "unconfirmed";
    case GuardState::Isolated:
        return "isolated";
    }
    return "unknown";
}

class ConfirmationGuard {
public:
    struct Options {
        // During a shorter pause the node cannot have been declared dead, which takes at least 5 s.
        Duration pauseLimit { std::chrono::seconds(1) };
        // A cut-off node that has read the store's head within this time still knows the last accepted version.
        Duration storeContactLimit { std::chrono::seconds(3) };
    };

    ConfirmationGuard()
        : ConfirmationGuard(Options {})
    {
    }
    explicit ConfirmationGuard(const Options& options)
        : m_options(options)
    {
    }

    void started(Instant now) { requireComparison(now); }
    void paused(Duration gap, Instant now);
    void declaredDead(Instant now) { requireComparison(now); }
    void contactChanged(bool isCutOff, Instant now);

    // Reports a version read from the store's head, or from a peer that itself serves. A request sent (`askedAt`)
    // before the comparison became necessary does not confirm.
    void storeHeadRead(uint64_t head, uint64_t ownVersion, Instant askedAt, Instant now);
    void peerVersionRead(uint64_t peerVersion, uint64_t ownVersion, Instant askedAt);

    GuardState state(Instant now) const;
    bool mayServe(Instant now) const { return state(now) == GuardState::Confirmed; }

private:
    void requireComparison(Instant now);

    Options m_options;
    bool m_isConfirmed { false };
    bool m_isCutOff { false };
    // Responses to requests sent before this time do not confirm.
    Instant m_requiredSince;
    Instant m_cutOffSince;
    std::optional<Instant> m_lastStoreContact;
};

} // namespace Berylport
