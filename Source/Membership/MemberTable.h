// The member records held by one node, and the rules by which one record supersedes another.
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
    // When this node first learned of the member; the slow start of its targets begins here.
    Instant firstSeen;
    Instant stateSince;
};

enum class MergeResult : uint8_t {
    // The held record is identical to the offered one or supersedes it.
    Unchanged,
    New,
    // The record's content changed but not its state.
    Updated,
    StateChanged,
};

class MemberTable {
public:
    struct Options {
        // Dead records are kept so that a stale record cannot resurrect a member, and their addresses are probed so
        // that two sides of a partition merge again. Must exceed the longest expected partition, one hour.
        Duration deadRetention { std::chrono::hours(2) };
        // A node that left never returns: each start gets a new node id.
        Duration leftRetention { std::chrono::minutes(2) };
    };

    MemberTable(const Options&, MemberRecord self, Instant now);

    const MemberRecord& self() const { return m_self; }
    // Increments the version of this node's record so that the new content is gossiped.
    void updateSelf(std::vector<MemberTarget>, MemberState);
    void setDeparted(const TargetIncarnation&);
    // Does not increment the version: every message carries the sender's record, so the value needs no gossiping.
    void setConfigurationVersion(uint64_t version) { m_self.configurationVersion = version; }
    // Increments this node's version beyond that of a record in which another node suspects it or declares it dead.
    void refute(uint64_t seenVersion);

    // Never changes this node's own record.
    MergeResult merge(const MemberRecord&, Instant now);
    // Applies a suspicion or a declared death. Returns false when the held record has a newer version or a state of
    // higher precedence.
    bool setState(NodeId, uint64_t version, MemberState, Instant now);
    void removeExpired(Instant now);

    const Member* find(NodeId) const;
    // All members but this node, including dead ones and those that left.
    const std::unordered_map<NodeId, Member>& others() const { return m_others; }
    // Other nodes that are alive or suspected.
    std::vector<NodeId> presentNodes() const;
    size_t presentCount() const { return m_presentCount; }

    GossipDigest digest() const;
    std::vector<MemberRecord> recordsInBucket(uint8_t bucket) const;

private:
    static bool replaces(const MemberRecord& offered, const MemberRecord& held);
    void changeState(Member&, MemberState, Instant now);
    void updateDigest(const MemberRecord& before, const MemberRecord& after);

    Options m_options;
    MemberRecord m_self;
    std::unordered_map<NodeId, Member> m_others;
    size_t m_presentCount { 0 };
    // XOR of the hashes of all records in each bucket, updated incrementally.
    GossipDigest m_digest {};
};

// Identical in every process. Excludes the configuration version, which changes too often to be compared.
uint32_t hashOf(const MemberRecord&);
uint8_t bucketOf(NodeId);
bool isPresent(MemberState);

} // namespace Berylport
