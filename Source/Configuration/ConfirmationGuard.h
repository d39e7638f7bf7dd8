// Decides whether this node may serve: only while it knows that its configuration is not older than what was accepted.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Berylport {

enum class GuardState : uint8_t {
    // The configuration has been compared since the last start, pause or declared death.
    Confirmed,
    // Nothing that could be older than an accepted change is served until a comparison succeeds.
    Unconfirmed,
    // Cut off from the zone, the region and the store.
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
        // A shorter pause cannot have let the node be declared dead, which takes at least 5 s.
        Duration pauseLimit { std::chrono::seconds(1) };
        // A cut-off node that read the head this recently still knows what was accepted.
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

    // A version learned from the store's head, or from a peer that itself serves. The question must have been asked at
    // `askedAt`; one asked before the comparison became necessary proves nothing.
    void storeHeadKnown(uint64_t head, uint64_t ownVersion, Instant askedAt, Instant now);
    void servingPeerKnown(uint64_t peerVersion, uint64_t ownVersion, Instant askedAt);

    GuardState state(Instant now) const;
    bool mayServe(Instant now) const { return state(now) == GuardState::Confirmed; }

private:
    void requireComparison(Instant now);

    Options m_options;
    bool m_isConfirmed { false };
    bool m_isCutOff { false };
    // Comparisons asked before this instant do not count.
    Instant m_requiredSince;
    Instant m_cutOffSince;
    std::optional<Instant> m_lastStoreContact;
};

} // namespace Berylport
