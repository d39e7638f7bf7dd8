// Decides which messages of the targets on this VM are news. Announcements may be late, repeated or overtaken by the
// end of their sender.
#pragma once

#include "Node/Announcement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Berylport {

enum class AnnouncementNews : uint8_t {
    // Says what holds now.
    Current,
    // Older than what is known.
    Stale,
    // From a start that is leaving or has left; it is not used any more.
    Departed,
};

class AnnouncementOrder {
public:
    struct Options {
        // A target that has not renewed its announcement for this long may be followed by one whose clock is behind.
        // Two heartbeats at the usual interval of 1.5 s.
        Duration renewalLimit { std::chrono::seconds(3) };
    };

    AnnouncementOrder() = default;
    explicit AnnouncementOrder(Options options)
        : m_options(options)
    {
    }

    // Announcements without an id are always current.
    AnnouncementNews judge(const TargetAnnouncement&, Instant now);
    // The named target leaves for good. Returns which start that is, or nothing for a target that is not the present
    // one.
    std::optional<TargetIncarnation> withdraw(std::string_view instance);
    // A departure that this node had acknowledged in an earlier process.
    void restoreDeparture(TargetIncarnation departed) { m_departed = std::move(departed); }
    bool hasDeparted(std::string_view instance) const { return m_departed && m_departed->instance == instance; }
    const std::optional<TargetIncarnation>& current() const { return m_current; }

private:
    Options m_options;
    std::optional<TargetIncarnation> m_current;
    // Of the newest accepted announcement.
    uint64_t m_sequence { 0 };
    Instant m_renewedAt;
    // The start that has left last.
    std::optional<TargetIncarnation> m_departed;
};

} // namespace Berylport
