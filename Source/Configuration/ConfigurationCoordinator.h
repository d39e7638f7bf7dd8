// Coordinator of a zone: polls the head version of the configuration and confirms versions on behalf of the zone.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Berylport {

// Ask the table for the head version; answer with headRead or headReadFailed.
struct ReadHead { };

// Write the zone's confirmed version; answer with confirmationWritten or confirmationFailed.
struct WriteZoneConfirmation {
    uint64_t version { 0 };
};

// Ping these members, which have not reported the newest version.
struct RemindMembers {
    std::vector<NodeId> members;
    uint64_t version { 0 };
};

using CoordinatorAction = std::variant<ReadHead, WriteZoneConfirmation, RemindMembers>;

class ConfigurationCoordinator {
public:
    struct Options {
        Duration pollInterval { std::chrono::seconds(1) };
        // Must exceed the time in which gossip reaches most members, so that few of them need a reminder.
        Duration reminderInterval { std::chrono::milliseconds(300) };
        // Maximum members per reminder; bounds the bytes that one change costs the coordinator.
        size_t maximumReminders { 100 };
        // A member declared dead still blocks confirmation for this long. Must exceed the time after which a cut-off
        // node stops serving (ConfirmationGuard::Options::storeContactLimit) plus the variation in failure detection
        // time.
        Duration deadMemberRetention { std::chrono::seconds(5) };
    };

    ConfigurationCoordinator()
        : ConfigurationCoordinator(Options {})
    {
    }
    explicit ConfigurationCoordinator(const Options& options)
        : m_options(options)
    {
    }

    // Called when this node acquires or loses the zone's lease.
    void start(Instant now);
    void stop();
    bool isActive() const { return m_isActive; }

    // A cut-off coordinator must not confirm: most of its zone may be alive on the other side of the partition.
    void setCutOff(bool isCutOff) { m_isCutOff = isCutOff; }

    // Sets the members of this zone that are not known to be dead, including this node. A member missing from the list
    // counts as dead; one that left gracefully serves nothing and is removed immediately.
    void updateMembers(std::span<const NodeId>, Instant now);
    void memberLeft(NodeId);
    void memberReported(NodeId, uint64_t version);
    // Reports the configuration version in effect on this node.
    void ownVersionChanged(NodeId self, uint64_t version);

    void headRead(uint64_t version);
    void headReadFailed();
    void confirmationWritten(uint64_t version);
    void confirmationFailed();

    void tick(Instant now, std::vector<CoordinatorAction>&);

    uint64_t newestVersion() const { return m_newestVersion; }
    uint64_t confirmedVersion() const { return m_confirmedVersion; }

private:
    struct Member {
        uint64_t reportedVersion { 0 };
        std::optional<Instant> deadSince;
    };

    uint64_t lowestReportedVersion() const;
    void removeExpiredMembers(Instant now);
    void pollHead(Instant now, std::vector<CoordinatorAction>&);
    void confirm(std::vector<CoordinatorAction>&);
    void remind(Instant now, std::vector<CoordinatorAction>&);

    Options m_options;
    bool m_isActive { false };
    bool m_isCutOff { false };
    bool m_isReadingHead { false };
    bool m_isConfirming { false };
    Instant m_nextPoll;
    Instant m_nextReminder;
    // Never decreases.
    uint64_t m_newestVersion { 0 };
    uint64_t m_confirmedVersion { 0 };
    std::unordered_map<NodeId, Member> m_members;
};

} // namespace Berylport
