// The member records that one node holds, and the rules by which one record replaces another.
#pragma once

#include "Base/GossipMessages.h"
#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Berylport {

struct Member {
    MemberRecord record;
    // When this node first heard of the member; slow start of its targets counts from here.
    Instant firstSeen;
    Instant stateSince;
};

enum class MergeResult : uint8_t {
    // The record held is the same or replaces the one offered.
    Unchanged,
    New,
    // Only targets or endpoints differ.
    Updated,
    StateChanged,
};

class MemberTable {
public:
    struct Options {
        // Dead members are remembered so that an old record cannot bring them back, and probed now and then, so that
        // two parts of the fleet find each other again after a cut. Above the longest cut that is expected, an hour.
        Duration deadRetention { std::chrono::hours(2) };
        // A node that left never comes back, as its id is new at each start.
        Duration leftRetention { std::chrono::minutes(2) };
    };

    MemberTable(const Options&, MemberRecord self, Instant now);

    const MemberRecord& self() const { return m_self; }
    // Raises the version of the own record, so that the new content spreads.
    void updateSelf(std::vector<MemberTarget>, MemberState);
    void setDeparted(const TargetIncarnation&);
    // Does not raise the version: every message of this node carries its record, so the value needs no spreading.
    void setConfigurationVersion(uint64_t version) { m_self.configurationVersion = version; }
    // Raises the own version above that of a record in which others suspect this node or took it for dead.
    void refute(uint64_t seenVersion);

    // The own record is never changed by merging.
    MergeResult merge(const MemberRecord&, Instant now);
    // Another node's suspicion or a missed probe. Returns false when the record had a newer version or a later state.
    bool setState(NodeId, uint64_t version, MemberState, Instant now);
    void removeExpired(Instant now);

    const Member* find(NodeId) const;
    // Without this node; dead members and members that left are included.
    const std::unordered_map<NodeId, Member>& others() const { return m_others; }
    // The nodes among the others that are alive or suspected.
    std::vector<NodeId> presentNodes() const;
    size_t presentCount() const { return m_presentCount; }

    GossipDigest digest() const;
    std::vector<MemberRecord> recordsInBucket(uint8_t bucket) const;

private:
    static bool replaces(const MemberRecord& offered, const MemberRecord& held);
    void changeState(Member&, MemberState, Instant now);
    void hashChanged(const MemberRecord& before, const MemberRecord& after);

    Options m_options;
    MemberRecord m_self;
    std::unordered_map<NodeId, Member> m_others;
    size_t m_presentCount { 0 };
    // XOR of the hashes of all records in a bucket, kept up to date with each change.
    GossipDigest m_digest {};
};

// Stable over processes; leaves out the configuration version, which changes too often to be compared.
uint32_t hashOf(const MemberRecord&);
uint8_t bucketOf(NodeId);
bool isPresent(MemberState);

} // namespace Berylport
