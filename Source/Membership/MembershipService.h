// Membership of one node: turns datagrams and time into records, probes and events. Owns no socket.
#pragma once

#include "Base/GossipMessages.h"
#include "Base/Random.h"
#include "Base/TargetRecord.h"
#include "Membership/ContactCheck.h"
#include "Membership/FailureDetector.h"
#include "Membership/LostPeers.h"
#include "Membership/MemberTable.h"
#include "Membership/RecordQueue.h"

#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Berylport {

struct SendGossip {
    Endpoint to;
    GossipMessage message;
};

enum class MemberEventKind : uint8_t {
    Joined,
    Suspected,
    // Suspected or taken for dead before, and alive after all.
    Recovered,
    Dead,
    Left,
};

struct MemberEvent {
    NodeId node;
    MemberEventKind kind { MemberEventKind::Joined };
};

// Members or their targets have changed; read them from the service.
struct MembersChanged { };

// Others took this node for dead; it has refuted that.
struct DeclaredDead { };

struct ContactChanged {
    bool isCutOff { false };
};

// The configuration version of a node, from the message it sent.
struct PeerVersionSeen {
    NodeId node;
    Endpoint peer;
    uint64_t version { 0 };
};

struct CoordinatorLearned {
    CoordinatorInfo coordinator;
};

// An earlier process on this VM had acknowledged that a target leaves, as another member remembers.
struct DepartureRemembered {
    TargetIncarnation departed;
};

using MembershipAction = std::variant<SendGossip, MemberEvent, MembersChanged, DeclaredDead, ContactChanged,
    PeerVersionSeen, CoordinatorLearned, DepartureRemembered>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipOptions {
    DetectorOptions detector;
    MemberTable::Options table;
    ContactCheck::Options contact;
    LostPeers::Options lostPeers;
    // Of records in one datagram; with header, digest and the sender's own record it stays below 1,400 bytes.
    size_t maximumRecordBytes { 900 };
    Duration digestInterval { std::chrono::seconds(5) };
    // Digests that differ in more buckets show that members miss much of each other's state; each probe then carries a
    // digest. Fewer differ whenever news is on its way.
    size_t agreedBuckets { 3 };
    // While the digests of a new member and its peer differ.
    Duration joinInterval { std::chrono::milliseconds(50) };
    Duration joinLimit { std::chrono::seconds(30) };
    // Datagrams in answer to one request for buckets.
    size_t maximumBucketDatagrams { 4 };
    // Members told at once of a new configuration version, besides the zone's coordinator, and of targets that changed.
    size_t versionFanout { 3 };
    // Members and lost peers asked when a call finds no target.
    size_t doubtFanout { 2 };
    Duration doubtInterval { std::chrono::milliseconds(200) };
    // A node that has met others for this long may serve although it still misses state.
    Duration settleLimit { std::chrono::seconds(1) };
    // Rows at which nobody has answered for this long belong to VMs that are gone.
    Duration unmetLimit { std::chrono::seconds(10) };
    // Members told at once that this node leaves.
    size_t leaveFanout { 8 };
};

class MembershipService {
public:
    MembershipService(const MembershipOptions&, MemberRecord self, uint64_t seed, Instant now);

    // Begins to ask the seeds; each is asked until somebody is met there. Called again, it replaces the seeds.
    void join(std::span<const Endpoint> seeds, Instant now, MembershipActions&);
    // The table's seed rows show that this is the first node of the fleet.
    void joinAsFirst(Instant now);
    // A call found no target: asks a few members and unknown addresses at once whether there is more.
    void doubt(Instant now, MembershipActions&);
    void leave(Instant now, MembershipActions&);
    void receive(const GossipMessage&, const Endpoint& from, Instant now, MembershipActions&);
    void tick(Instant now, MembershipActions&);
    void paused(Instant now);
    Instant nextWake() const;

    void setTargets(std::vector<MemberTarget>, Instant now, MembershipActions&);
    // Tells a few members of the own zone and its coordinator at once when the version is new.
    void setConfigurationVersion(uint64_t, Instant now, MembershipActions&);
    void setCoordinator(const CoordinatorInfo&);
    // Spreads it, so that a later process on this VM hears of it although the store is away.
    void setDeparted(const TargetIncarnation&, MembershipActions&);
    // A probe that only carries this node's record and version.
    void tell(NodeId, MembershipActions&);

    const MemberTable& table() const { return m_table; }
    // Alive or suspected nodes of the zone, this node included.
    std::vector<NodeId> presentInZone(const ZoneName&) const;
    // Targets of all members that are alive or suspected, and of this node.
    std::vector<TargetRecord> targets() const;
    const CoordinatorInfo* coordinatorOf(const ZoneName&) const;
    bool hasJoined() const { return m_hasJoined; }
    // Has met others and agrees with one of them on the members, or has had the time for it.
    bool isSettled(Instant now) const;
    // Members may be missing: the start is not over, rows are unanswered, or contact is lost.
    bool isViewPartial(Instant now) const;
    // This node, the present members and the rows at which nobody has been met.
    size_t knownNodes() const { return 1 + m_table.presentCount() + m_lostPeers.unmetRows(); }
    bool isCutOff() const { return m_contact.isCutOff(); }

private:
    void noteDeadSender(NodeId);
    void receiveContent(NodeId sender, const GossipContent&, Instant now, MembershipActions&);
    void handle(const GossipPing&, const Endpoint& from, Instant now, MembershipActions&);
    void handle(const GossipAck&, const Endpoint& from, Instant now, MembershipActions&);
    void handle(const GossipPingRequest&, const Endpoint& from, Instant now, MembershipActions&);
    void handle(const ProbeMember&, Instant now, MembershipActions&);
    void handle(const ProbeThroughOthers&, Instant now, MembershipActions&);
    void handle(const SuspectMember&, Instant now, MembershipActions&);
    void handle(const DeclareDead&, Instant now, MembershipActions&);

    void mergeRecord(NodeId sender, const MemberRecord&, Instant now, MembershipActions&);
    // What earlier processes on the sender's VM had acknowledged.
    void addPredecessors(const Endpoint& gossip, GossipContent&) const;
    void notePredecessor(const MemberRecord&, MembershipActions&);
    void refuteIfNeeded(const MemberRecord&, MembershipActions&);
    bool isHeldByPresent(const Endpoint&) const;
    void noteAddress(const MemberRecord&, Instant now);
    void digestsCompared(size_t differing, Instant now);
    void stateChanged(const MemberRecord&, std::optional<MemberState> before, Instant now, MembershipActions&);
    void learnCoordinator(const CoordinatorInfo&, MembershipActions&);
    void catchUp(Instant now, MembershipActions&);
    void checkContact(Instant now, MembershipActions&);
    void askSample(bool isOwnZone, MembershipActions&);

    // The own record, the receiver's record when others should hear that it is suspected, then the queue's.
    GossipContent makeContent(NodeId receiver);
    void addCoordinator(GossipContent&);
    void sendPing(NodeId, uint64_t sequence, bool withDigest, MembershipActions&);
    void answerDigest(const GossipContent&, const Endpoint& to, GossipContent& answer, MembershipActions&);
    void sendBuckets(std::span<const uint8_t> buckets, const Endpoint& to, MembershipActions&);
    void ask(const LostPeer&, MembershipActions&);
    void askLostPeers(Instant now, MembershipActions&);
    // Up to `count` of the nodes, in random order.
    std::vector<NodeId> sample(std::vector<NodeId>, size_t count);
    std::vector<NodeId> othersInOwnZone() const;
    std::vector<NodeId> othersInRegion() const;
    std::vector<uint8_t> differingBuckets(const GossipDigest&) const;

    MembershipOptions m_options;
    MemberTable m_table;
    FailureDetector m_detector;
    ContactCheck m_contact;
    RecordQueue m_queue;
    Random m_random;
    LostPeers m_lostPeers;
    // A message of another node has arrived, or there is no other node.
    bool m_hasJoined { false };
    // The addresses of others, or that there are none, are known from rows or settings.
    bool m_hasSeeds { false };
    // Since the start no peer's digest has agreed with the own one, whoever of the two spoke first.
    bool m_isCatchingUp { true };
    Instant m_startedAt;
    // When the first message of another node arrived.
    std::optional<Instant> m_joinedAt;
    Instant m_nextJoin;
    Instant m_nextDigest;
    Instant m_nextDoubt;
    // The last digests compared differed in many buckets.
    bool m_isBehind { false };
    Instant m_nextExpiry;
    // Highest fencing token wins.
    std::map<ZoneName, CoordinatorInfo> m_coordinators;
    size_t m_nextCoordinator { 0 };
    // The sender of the message in hand was not known before.
    bool m_isNewSender { false };
    // The sender of the message in hand was dead in this table until the message came; it has to hear that.
    std::optional<MemberRecord> m_senderWasDead;
    std::optional<TargetIncarnation> m_rememberedDeparture;
    // Highest version of the own record that others had declared dead.
    uint64_t m_lastDeathVersion { 0 };
    // Ping requests that wait for the probed member's answer, by the sequence of the own probe.
    struct RelayedProbe {
        Endpoint asker;
        uint64_t askerSequence { 0 };
        NodeId target;
        Instant expires;
    };
    std::unordered_map<uint64_t, RelayedProbe> m_relayed;
};

// Upper estimate of a record's size in a packed message.
size_t estimateBytes(const MemberRecord&);

} // namespace Berylport
