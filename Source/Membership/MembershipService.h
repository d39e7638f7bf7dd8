// Membership protocol of one node: turns datagrams and timer ticks into records, probes and events. Owns no socket.
#pragma once

#include "Base/GossipMessages.h"
#include "Base/Random.h"
#include "Base/TargetRecord.h"
#include "Membership/DiscoveryCandidates.h"
#include "Membership/FailureDetector.h"
#include "Membership/MemberTable.h"
#include "Membership/PartitionDetector.h"
#include "Membership/RecordQueue.h"
#include "Suspects/Suspects.h"

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
    // Was suspected or declared dead, and has refuted that.
    Recovered,
    Dead,
    Left,
};

struct MemberEvent {
    NodeId node;
    MemberEventKind kind { MemberEventKind::Joined };
};

// Members or their targets have changed; the service holds the current ones.
struct MembersChanged { };

// Other members declared this node dead; it has refuted that.
struct DeclaredDead { };

struct ContactChanged {
    bool isCutOff { false };
};

// The configuration version that a node reported in its message.
struct PeerVersionSeen {
    NodeId node;
    Endpoint peer;
    uint64_t version { 0 };
    std::optional<SourceConfirmation> confirmation;
    // The node is one of those that announce confirmations to each other.
    bool isInOwnGroup { false };
};

// A member knows a later era of the shared store.
struct StoreEraLearned {
    uint64_t era { 0 };
};

// A member tells another set of evacuated zones than this node does.
struct EvacuationLearned {
    EvacuatedZones evacuation;
};

struct CoordinatorLearned {
    CoordinatorInfo coordinator;
};

// Another member's record shows that an earlier process on this VM acknowledged the departure of a target.
struct PredecessorDepartureLearned {
    TargetIncarnation departed;
};

using MembershipAction = std::variant<SendGossip, MemberEvent, MembersChanged, DeclaredDead, ContactChanged,
    PeerVersionSeen, StoreEraLearned, EvacuationLearned, CoordinatorLearned, PredecessorDepartureLearned>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipOptions {
    DetectorOptions detector;
    MemberTable::Options table;
    PartitionDetector::Options partition;
    DiscoveryCandidates::Options discovery;
    // Size limit of the records in one datagram; with header, digest and the sender's own record it stays below 1,400
    // bytes.
    size_t maximumRecordBytes { 900 };
    Duration digestInterval { std::chrono::seconds(5) };
    // When digests differ in more buckets than this, the members are missing much of each other's state, and each probe
    // then carries a digest. Updates still being gossiped account for fewer differences.
    size_t maximumTransientDifferences { 3 };
    // Interval of digest exchanges while a new member's digest differs from its peers'.
    Duration catchUpInterval { std::chrono::milliseconds(50) };
    Duration catchUpTimeout { std::chrono::seconds(30) };
    // Datagrams sent in response to one request for buckets.
    size_t maximumBucketDatagrams { 4 };
    // Members notified immediately of a new configuration version (besides the zone's coordinator), of changed targets
    // and of refutations.
    size_t updateFanout { 3 };
    // Members and discovery candidates queried when a call finds no target.
    size_t refreshFanout { 2 };
    Duration refreshInterval { std::chrono::milliseconds(200) };
    // A node that has been in contact with others for this long may serve although its state is incomplete.
    Duration discoveryTimeout { std::chrono::seconds(1) };
    // Seeds that have not responded for this long belong to VMs that no longer exist.
    Duration seedResponseTimeout { std::chrono::seconds(10) };
    // Seeds that have not responded for this long do not count as VMs any more.
    Duration silentSeedTime { std::chrono::minutes(1) };
    // Members that are told of a confirmation by the source at once; a larger fleet is divided into groups.
    size_t confirmationGroup { 64 };
    // Members told at once of requests under which targets ended; all members of a fleet of at most
    // `confirmationGroup`. Members to whom this is new tell it on.
    size_t suspectFanout { 4 };
    // What is older has reached all members but a few, which learn it when digests are compared.
    Duration suspectNewsTime { std::chrono::seconds(3) };
    // At most this many datagrams with suspects go to a member that knows other ones, in each interval to one member.
    // The interval doubles while that changes nothing here, as members that know too many forget different ones.
    size_t maximumSuspectDatagrams { 4 };
    Duration suspectInterval { std::chrono::milliseconds(200) };
    Duration maximumSuspectInterval { std::chrono::seconds(1) };
    // Members notified immediately that this node leaves.
    size_t leaveFanout { 8 };
};

class MembershipService {
public:
    MembershipService(const MembershipOptions&, MemberRecord self, uint64_t seed, Instant now);

    // Starts to probe the seeds; each is probed until a member is present there. A later call replaces the seeds.
    void join(std::span<const Endpoint> seeds, Instant now, MembershipActions&);
    // Called when the shared store shows that this is the first node of the fleet.
    void joinAsFirst(Instant now);
    // Called when a call found no target: immediately queries a few members and discovery candidates for newer state.
    void refreshView(Instant now, MembershipActions&);
    void leave(Instant now, MembershipActions&);
    void receive(const GossipMessage&, const Endpoint& from, Instant now, MembershipActions&);
    void tick(Instant now, MembershipActions&);
    void resumedAfterPause(Instant now);
    Instant nextWake() const;

    void setTargets(std::vector<MemberTarget>, Instant now, MembershipActions&);
    // Notifies a few members of this node's zone and the zone's coordinator immediately when the version is new.
    void setConfigurationVersion(uint64_t, Instant now, MembershipActions&);
    void setCoordinator(const CoordinatorInfo&);
    // When the source last confirmed the configuration version, if that is known; every message carries it.
    void setConfirmation(const std::optional<SourceConfirmation>& confirmation) { m_confirmation = confirmation; }
    // Sends version and confirmation to the members of this node's group at once.
    void announceConfirmation(MembershipActions&);
    // Every message carries the latest era known.
    void setStoreEra(uint64_t era) { m_storeEra = std::max(m_storeEra, era); }
    // What the members are told; a few of them at once.
    void setEvacuation(std::optional<EvacuatedZones>, MembershipActions&);
    // Keeps the table equal to those of the other members. It must outlive this object.
    void shareSuspects(SuspectTable& table) { m_suspects = &table; }
    // Tells others of what has changed in the table.
    void suspectsChanged(MembershipActions&);
    // Publishes the departure in this node's record, so that a later process on this VM learns of it while the store is
    // unavailable.
    void setDeparted(const TargetIncarnation&, MembershipActions&);
    // Sends an unscheduled ping that carries this node's record and configuration version.
    void sendOwnRecord(NodeId, MembershipActions&);

    const MemberTable& table() const { return m_table; }
    // Alive or suspected nodes of the zone, including this one.
    std::vector<NodeId> presentInZone(const ZoneName&) const;
    // Targets of this node and of all alive or suspected members.
    std::vector<TargetRecord> targets() const;
    const CoordinatorInfo* coordinatorOf(const ZoneName&) const;
    bool hasJoined() const { return m_hasJoined; }
    // True when the node is in contact with others and its digest agrees with one of theirs, or `discoveryTimeout` has
    // passed since first contact.
    bool isDiscoveryDone(Instant now) const;
    // True when members may be missing: startup is incomplete, seeds have not responded, digests have diverged, or this
    // node is cut off.
    bool isViewPartial(Instant now) const;
    // Counts this node, the present members and the unreached seeds.
    size_t knownNodes() const { return 1 + m_table.presentCount() + m_discoveryCandidates.unreachedSeeds(); }
    // Upper bound of the VMs that may run a node, whether it can be reached or not: addresses of members, dead ones
    // included, and for some time after the start seeds that have not responded.
    size_t knownVms(Instant now) const;
    bool isCutOff() const { return m_partitionDetector.isCutOff(); }

private:
    bool isInOwnGroup(NodeId) const;
    void receiveSuspects(const GossipContent&, const Endpoint& from, Instant now, MembershipActions&);
    void tellSuspects(const std::vector<SuspectRecord>&, MembershipActions&);
    void sendSuspects(std::vector<SuspectRecord>, const Endpoint& to, MembershipActions&);
    void checkDeadSender(NodeId);
    void receiveContent(NodeId sender, const GossipContent&, Instant now, MembershipActions&);
    void handle(const GossipPing&, const Endpoint& from, Instant now, MembershipActions&);
    void handle(const GossipAck&, const Endpoint& from, Instant now, MembershipActions&);
    void handle(const GossipPingRequest&, const Endpoint& from, Instant now, MembershipActions&);
    void handle(const ProbeMember&, Instant now, MembershipActions&);
    void handle(const ProbeIndirectly&, Instant now, MembershipActions&);
    void handle(const SuspectMember&, Instant now, MembershipActions&);
    void handle(const DeclareDead&, Instant now, MembershipActions&);

    void mergeRecord(NodeId sender, const MemberRecord&, Instant now, MembershipActions&);
    // Appends records in which earlier processes at the address acknowledged a departure.
    void appendPredecessorRecords(const Endpoint& gossip, GossipContent&) const;
    void learnPredecessorDeparture(const MemberRecord&, MembershipActions&);
    void refuteIfNeeded(const MemberRecord&, MembershipActions&);
    bool isAddressOfPresentMember(const Endpoint&) const;
    void updateDiscoveryCandidates(const MemberRecord&, Instant now);
    void handleDigestComparison(size_t differing, Instant now);
    void handleStateChange(const MemberRecord&, std::optional<MemberState> before, Instant now, MembershipActions&);
    void learnCoordinator(const CoordinatorInfo&, MembershipActions&);
    void catchUp(Instant now, MembershipActions&);
    void checkPartition(Instant now, MembershipActions&);
    void querySample(bool isOwnZone, MembershipActions&);

    // Contains this node's record, the receiver's record if it is suspected or dead, so that it can refute that, and
    // then queued records.
    GossipContent makeContent(NodeId receiver);
    void addCoordinator(GossipContent&);
    void sendPing(NodeId, uint64_t sequence, bool withDigest, MembershipActions&);
    void answerDigest(const GossipContent&, const Endpoint& to, GossipContent& answer, MembershipActions&);
    void sendBuckets(std::span<const uint8_t> buckets, const Endpoint& to, MembershipActions&);
    void pingCandidate(const DiscoveryCandidate&, MembershipActions&);
    void pingDueCandidates(Instant now, MembershipActions&);
    // Returns up to `count` random nodes.
    std::vector<NodeId> sample(std::vector<NodeId>, size_t count);
    std::vector<NodeId> othersInOwnZone() const;
    std::vector<NodeId> othersInRegion() const;
    std::vector<uint8_t> differingBuckets(const GossipDigest&) const;

    MembershipOptions m_options;
    MemberTable m_table;
    FailureDetector m_detector;
    PartitionDetector m_partitionDetector;
    RecordQueue m_queue;
    Random m_random;
    DiscoveryCandidates m_discoveryCandidates;
    // A message from another node has arrived, or there is no other node.
    bool m_hasJoined { false };
    // The addresses of other nodes, or the fact that there are none, are known from the shared store or the settings.
    bool m_hasSeeds { false };
    // No peer's digest has agreed with this node's since the start, whichever of the two initiated the exchange.
    bool m_isCatchingUp { true };
    Instant m_startedAt;
    // When the first message from another node arrived.
    std::optional<Instant> m_joinedAt;
    Instant m_nextCatchUp;
    Instant m_nextDigest;
    Instant m_nextRefresh;
    // The last digests compared differed in more than `maximumTransientDifferences` buckets.
    bool m_hasDiverged { false };
    Instant m_nextExpiry;
    // The entry with the highest fencing token wins.
    std::map<ZoneName, CoordinatorInfo> m_coordinators;
    size_t m_nextCoordinator { 0 };
    // The sender of the message being handled was unknown before.
    bool m_isNewSender { false };
    // Set when the sender of the message being handled was recorded as dead; the record is returned to it so that it
    // can refute.
    std::optional<MemberRecord> m_deadSenderRecord;
    std::optional<TargetIncarnation> m_predecessorDeparture;
    uint64_t m_storeEra { 0 };
    std::optional<EvacuatedZones> m_evacuation;
    std::optional<SourceConfirmation> m_confirmation;
    SuspectTable* m_suspects { nullptr };
    Instant m_nextSuspectExchange;
    Duration m_suspectInterval {};
    // Revision of the table at the last exchange.
    uint64_t m_exchangedRevision { 0 };
    // Highest version of this node's record that others have declared dead.
    uint64_t m_lastDeclaredDeadVersion { 0 };
    // Ping requests awaiting the probed member's ack, by the sequence number of the relayed ping.
    struct RelayedProbe {
        Endpoint requester;
        uint64_t requesterSequence { 0 };
        NodeId target;
        Instant expires;
    };
    std::unordered_map<uint64_t, RelayedProbe> m_relayedProbes;
};

// Upper bound for the size of a record in a packed message.
size_t estimateBytes(const MemberRecord&);

} // namespace Berylport
