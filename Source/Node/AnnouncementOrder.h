// Orders the announcements of the targets on this VM by incarnation and sequence number. Announcements may be delayed,
// duplicated, or arrive after their sender has terminated.
#pragma once

#include "Node/Announcement.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Berylport {

enum class AnnouncementFreshness : uint8_t {
    // Newer than everything known; to be applied.
    Current,
    // Older than an announcement that was already accepted.
    Stale,
    // From an incarnation that has announced its departure; it receives no more calls.
    Departed,
    // Names another service than the target that is there; another writer has sent it.
    Conflicting,
};

class AnnouncementOrder {
public:
    struct Options {
        // An incarnation with an earlier start time is accepted only if the current one has not renewed its
        // announcement for this long, as the clock may have been set back between the two starts. Covers two heartbeats
        // at the usual interval of 1.5 s.
        Duration renewalLimit { std::chrono::seconds(3) };
        // Start of this process, by the steady clock and in milliseconds since the Unix epoch.
        Instant startedAt {};
        uint64_t startedAtMilliseconds { 0 };
        // An earlier process on this VM may have acknowledged departures that this one cannot learn of.
        bool mayHavePredecessor { false };
        // Whether the VM's settings or the configuration name the service. Null: all are known.
        std::function<bool(const ServiceName&)> isKnownService {};
    };

    AnnouncementOrder() = default;
    explicit AnnouncementOrder(Options options)
        : m_options(std::move(options))
    {
    }

    // Accepts the announcement if it is current. Announcements without an instance id always are.
    AnnouncementFreshness classify(const TargetAnnouncement&, Instant now);
    // Marks the instance as departed. Returns its incarnation, or nothing if the instance is not the current one.
    std::optional<TargetIncarnation> withdraw(std::string_view instance);
    // Restores a departure that an earlier process of this node acknowledged.
    void restoreDeparture(TargetIncarnation departed) { m_departed = std::move(departed); }
    bool hasDeparted(std::string_view instance) const { return m_departed && m_departed->instance == instance; }
    // The store has failed since this process started, so it may have missed departures that were acknowledged before.
    void noteStoreFailure() { m_hasStoreFailed = true; }
    // Whether the current incarnation is known to be alive. An announcement may arrive seconds after its sender has
    // departed, and if the departure was acknowledged by an earlier process and not stored, nothing else tells. So an
    // incarnation that the earlier process may have heard has to renew its announcement. Until graceEnd() one
    // announcement is enough, unless the store has failed.
    bool isConfirmed(Instant now) const;
    Instant graceEnd() const { return m_options.startedAt + m_options.renewalLimit; }
    const std::optional<TargetIncarnation>& current() const { return m_current; }

private:
    bool isConflicting(const TargetAnnouncement&, bool isSameStart, Instant now) const;
    bool isKnown(const ServiceName&) const;

    Options m_options;
    std::optional<TargetIncarnation> m_current;
    // Service of the current incarnation.
    ServiceName m_service;
    // Sequence number of the newest accepted announcement.
    uint64_t m_sequence { 0 };
    Instant m_renewedAt;
    // Whether the current incarnation was announced more than once.
    bool m_isRenewed { false };
    bool m_hasStoreFailed { false };
    // The incarnation that departed last.
    std::optional<TargetIncarnation> m_departed;
};

} // namespace Berylport
