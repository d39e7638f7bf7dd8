// Sends gossip messages and applies the records received.
#include "Membership/MembershipService.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Berylport {

namespace {

// Seeds pinged immediately on join; bounds the burst when many nodes start with a long seed list.
constexpr size_t initialSeedPings = 3;

// Discovery may be done while at most one in this many known nodes is an unreached seed.
constexpr size_t unreachedSeedDivisor = 4;

// Predecessor records sent in the first ack to a new process on the same VM.
constexpr size_t maximumPredecessorRecords = 2;

// A relayed probe without an ack within this time has failed.
constexpr Duration relayTimeout = std::chrono::seconds(5);

// Records of suspects in one datagram; each takes at most 100 bytes.
constexpr size_t suspectsPerDatagram = 10;

constexpr Duration expiryInterval = std::chrono::seconds(1);

} // namespace

size_t estimateBytes(const MemberRecord& record)
{
    // Measured on packed messages: a record with a target of 8 characters takes 97 bytes.
    size_t n = 52 + record.zone.text.size() + record.region.text.size();
    for (auto& it : record.targets)
        n += 24 + it.service.text.size();
    if (record.departed)
        n += 18 + record.departed->instance.size();
    return n;
}

size_t estimateBytes(const EvacuatedZones& evacuation)
{
    size_t n = 32;
    for (auto& it : evacuation.zones)
        n += 10 + it.text.size();
    return n;
}

MembershipService::MembershipService(const MembershipOptions& options, MemberRecord self, uint64_t seed, Instant now)
    : m_options(options)
    , m_table(options.table, std::move(self), now)
    , m_detector(options.detector)
    , m_partitionDetector(options.partition)
    , m_random(seed)
    , m_discoveryCandidates(options.discovery, m_table.self().gossip)
    , m_startedAt(now)
    , m_nextDigest(now + options.digestInterval)
    , m_nextExpiry(now + expiryInterval)
{
}

void MembershipService::join(std::span<const Endpoint> seeds, Instant, MembershipActions& actions)
{
    std::vector<Endpoint> unreached(seeds.begin(), seeds.end());
    std::erase_if(unreached, [&](auto& it) { return isAddressOfPresentMember(it); });
    m_discoveryCandidates.setSeeds(unreached);
    m_hasSeeds = true;
    for (auto& it : m_discoveryCandidates.selectRandom(initialSeedPings, m_random))
        pingCandidate(it, actions);
}

void MembershipService::joinAsFirst(Instant now)
{
    m_hasJoined = true;
    m_hasSeeds = true;
    m_isCatchingUp = false;
    m_joinedAt = m_joinedAt.value_or(now);
}

void MembershipService::pingCandidate(const DiscoveryCandidate& peer, MembershipActions& actions)
{
    GossipPing ping { .sequence = m_detector.nextSequence(), .sender = m_table.self().node };
    // A node declared dead must learn of it in order to refute, so its record is included.
    ping.content = makeContent(peer.node.value_or(NodeId {}));
    ping.content.digest = m_table.digest();
    actions.push_back(SendGossip { .to = peer.gossip, .message = std::move(ping) });
}

void MembershipService::pingDueCandidates(Instant now, MembershipActions& actions)
{
    for (auto& it : m_discoveryCandidates.takeDue(m_table.presentCount() + 1, now, m_random))
        pingCandidate(it, actions);
}

void MembershipService::refreshView(Instant now, MembershipActions& actions)
{
    if (now < m_nextRefresh)
        return;
    m_nextRefresh = now + m_options.refreshInterval;
    for (NodeId it : sample(m_table.presentNodes(), m_options.refreshFanout))
        sendPing(it, m_detector.nextSequence(), true, actions);
    for (auto& it : m_discoveryCandidates.selectRandom(m_options.refreshFanout, m_random))
        pingCandidate(it, actions);
}

bool MembershipService::isDiscoveryDone(Instant now) const
{
    if (!m_hasJoined)
        return false;
    // Two nodes that start together agree on an almost empty state at first; the seeds indicate how many others there
    // may be. Some of those no longer exist.
    bool areMostMet = m_hasSeeds && m_discoveryCandidates.unreachedSeeds() * unreachedSeedDivisor <= knownNodes();
    bool isInAgreement = areMostMet && !m_isCatchingUp;
    return isInAgreement || now - m_joinedAt.value_or(now) >= m_options.discoveryTimeout;
}

size_t MembershipService::knownVms(Instant now) const
{
    std::set<Endpoint> addresses { m_table.self().gossip };
    for (auto& [node, member] : m_table.others())
        addresses.insert(member.record.gossip);
    if (now - m_startedAt < m_options.silentSeedTime) {
        for (auto& it : m_discoveryCandidates.silentSeeds())
            addresses.insert(it);
    }
    return addresses.size();
}

bool MembershipService::isViewPartial(Instant now) const
{
    bool hasUnmetRows = m_discoveryCandidates.unreachedSeeds() && now - m_startedAt < m_options.seedResponseTimeout;
    return !m_hasJoined || m_isCatchingUp || m_hasDiverged || hasUnmetRows || m_partitionDetector.isCutOff();
}

void MembershipService::catchUp(Instant now, MembershipActions& actions)
{
    if (!m_isCatchingUp || !m_hasJoined || now < m_nextCatchUp)
        return;
    if (now - m_joinedAt.value_or(now) >= m_options.catchUpTimeout) {
        m_isCatchingUp = false;
        return;
    }
    m_nextCatchUp = now + m_options.catchUpInterval;
    for (NodeId it : sample(m_table.presentNodes(), 1))
        sendPing(it, m_detector.nextSequence(), true, actions);
}

void MembershipService::leave(Instant, MembershipActions& actions)
{
    m_table.updateSelf(m_table.self().targets, MemberState::Leaving);
    m_queue.push(m_table.self().node);
    for (NodeId it : sample(m_table.presentNodes(), m_options.leaveFanout))
        sendOwnRecord(it, actions);
}

void MembershipService::receive(
    const GossipMessage& message, const Endpoint& from, Instant now, MembershipActions& actions)
{
    std::visit(
        [&](auto& it) {
            if (it.sender == m_table.self().node || it.sender.isNull())
                return;
            m_detector.messageReceived(now);
            checkDeadSender(it.sender);
            m_isNewSender = !m_table.find(it.sender);
            receiveContent(it.sender, it.content, now, actions);
            receiveSuspects(it.content, from, now, actions);
            handle(it, from, now, actions);
        },
        message);
}

void MembershipService::receiveContent(
    NodeId sender, const GossipContent& content, Instant now, MembershipActions& actions)
{
    m_hasJoined = true;
    m_joinedAt = m_joinedAt.value_or(now);
    for (auto& it : content.records) {
        mergeRecord(sender, it, now, actions);
        if (it.node == sender) {
            actions.push_back(PeerVersionSeen { .node = sender,
                .peer = it.peer,
                .version = it.configurationVersion,
                .confirmation = content.confirmation,
                .isInOwnGroup = isInOwnGroup(sender) });
        }
    }
    if (content.coordinator)
        learnCoordinator(*content.coordinator, actions);
    if (content.evacuation && content.evacuation != m_evacuation)
        actions.push_back(EvacuationLearned { .evacuation = *content.evacuation });
    if (content.storeEra <= m_storeEra)
        return;
    m_storeEra = content.storeEra;
    actions.push_back(StoreEraLearned { .era = m_storeEra });
}

void MembershipService::receiveSuspects(
    const GossipContent& content, const Endpoint& from, Instant now, MembershipActions& actions)
{
    if (!m_suspects)
        return;
    // In a small fleet the member that has learned something tells all others itself.
    bool isToldOn = m_table.presentCount() > m_options.confirmationGroup;
    std::vector<SuspectRecord> fresh;
    for (auto& it : content.suspects) {
        Instant newest = std::max(it.lastEndAt, it.goodEndAt.value_or(Instant()));
        if (m_suspects->merge(it, now) && isToldOn && now - newest < m_options.suspectNewsTime)
            fresh.push_back(it);
    }
    tellSuspects(fresh, actions);
    suspectsChanged(actions);
    // Messages with suspects hold a part of what the sender knows, and what it knew before this node's answer.
    if (!content.suspects.empty() || content.suspectDigest == m_suspects->digest() || now < m_nextSuspectExchange)
        return;
    bool hasChanged = std::exchange(m_exchangedRevision, m_suspects->revision()) != m_suspects->revision();
    m_suspectInterval
        = hasChanged ? m_options.suspectInterval : std::min(2 * m_suspectInterval, m_options.maximumSuspectInterval);
    m_nextSuspectExchange = now + m_suspectInterval;
    sendSuspects(m_suspects->records(), from, actions);
}

void MembershipService::suspectsChanged(MembershipActions& actions)
{
    if (m_suspects)
        tellSuspects(m_suspects->takeChanges(), actions);
}

void MembershipService::tellSuspects(const std::vector<SuspectRecord>& records, MembershipActions& actions)
{
    if (records.empty())
        return;
    auto members = m_table.presentNodes();
    if (members.size() > m_options.confirmationGroup)
        members = sample(std::move(members), m_options.suspectFanout);
    for (NodeId it : members)
        sendSuspects(records, m_table.find(it)->record.gossip, actions);
}

void MembershipService::sendSuspects(std::vector<SuspectRecord> records, const Endpoint& to, MembershipActions& actions)
{
    // The limit on datagrams truncates the list, so each exchange starts at a random record.
    if (!records.empty())
        std::rotate(
            records.begin(), records.begin() + static_cast<ptrdiff_t>(m_random.below(records.size())), records.end());
    size_t datagrams = 0;
    for (size_t first = 0; first < records.size() && datagrams++ < m_options.maximumSuspectDatagrams;
         first += suspectsPerDatagram) {
        size_t count = std::min(suspectsPerDatagram, records.size() - first);
        // Sequence number zero acknowledges no probe.
        GossipAck message { .sequence = 0, .sender = m_table.self().node, .content = {} };
        message.content.suspectDigest = m_suspects->digest();
        message.content.suspects.assign(
            records.begin() + static_cast<ptrdiff_t>(first), records.begin() + static_cast<ptrdiff_t>(first + count));
        actions.push_back(SendGossip { .to = to, .message = std::move(message) });
    }
}

void MembershipService::checkDeadSender(NodeId sender)
{
    m_deadSenderRecord.reset();
    const Member* member = m_table.find(sender);
    if (member && member->record.state == MemberState::Dead)
        m_deadSenderRecord = member->record;
}

void MembershipService::handle(const GossipPing& ping, const Endpoint& from, Instant now, MembershipActions& actions)
{
    GossipAck ack { .sequence = ping.sequence, .sender = m_table.self().node, .content = makeContent(ping.sender) };
    if (m_deadSenderRecord)
        ack.content.records.push_back(*m_deadSenderRecord);
    if (m_isNewSender)
        appendPredecessorRecords(from, ack.content);
    answerDigest(ping.content, from, ack.content, actions);
    if (ack.content.requestedBuckets.size() > m_options.maximumTransientDifferences)
        handleDigestComparison(ack.content.requestedBuckets.size(), now);
    sendBuckets(ping.content.requestedBuckets, from, actions);
    actions.push_back(SendGossip { .to = from, .message = std::move(ack) });
}

void MembershipService::handle(const GossipAck& ack, const Endpoint& from, Instant now, MembershipActions& actions)
{
    m_detector.ackReceived(ack.sender, ack.sequence);
    m_partitionDetector.recordResponse(ack.sequence);
    // Any ack to a probe proves connectivity; sequence number zero belongs to no probe.
    if (ack.sequence)
        m_partitionDetector.recordProbeSuccess();
    sendBuckets(ack.content.requestedBuckets, from, actions);
    if (ack.content.digest)
        handleDigestComparison(differingBuckets(*ack.content.digest).size(), now);
    auto relayed = m_relayedProbes.find(ack.sequence);
    if (relayed == m_relayedProbes.end() || relayed->second.target != ack.sender)
        return;
    GossipAck answer { .sequence = relayed->second.requesterSequence, .sender = ack.sender };
    actions.push_back(SendGossip { .to = relayed->second.requester, .message = std::move(answer) });
    m_relayedProbes.erase(relayed);
}

void MembershipService::handle(
    const GossipPingRequest& request, const Endpoint& from, Instant now, MembershipActions& actions)
{
    uint64_t sequence = m_detector.nextSequence();
    m_relayedProbes[sequence] = { .requester = from,
        .requesterSequence = request.sequence,
        .target = request.target,
        .expires = now + relayTimeout };
    GossipPing ping { .sequence = sequence, .sender = m_table.self().node, .content = makeContent(request.target) };
    actions.push_back(SendGossip { .to = request.targetEndpoint, .message = std::move(ping) });
}

void MembershipService::answerDigest(
    const GossipContent& asked, const Endpoint& to, GossipContent& answer, MembershipActions& actions)
{
    if (!asked.digest)
        return;
    answer.digest = m_table.digest();
    answer.requestedBuckets = differingBuckets(*asked.digest);
    sendBuckets(answer.requestedBuckets, to, actions);
}

void MembershipService::appendPredecessorRecords(const Endpoint& gossip, GossipContent& content) const
{
    size_t count = 0;
    for (auto& [node, member] : m_table.others()) {
        bool isPredecessor = member.record.gossip == gossip && member.record.departed;
        if (isPredecessor && count++ < maximumPredecessorRecords)
            content.records.push_back(member.record);
    }
}

void MembershipService::handleDigestComparison(size_t differing, Instant now)
{
    bool wasBehind = std::exchange(m_hasDiverged, differing > m_options.maximumTransientDifferences);
    if (!m_hasDiverged)
        m_isCatchingUp = false;
    else if (!wasBehind)
        m_nextDigest = now;
}

std::vector<uint8_t> MembershipService::differingBuckets(const GossipDigest& other) const
{
    GossipDigest own = m_table.digest();
    std::vector<uint8_t> buckets;
    for (size_t n = 0; n < gossipBucketCount; ++n) {
        if (own[n] != other[n])
            buckets.push_back(static_cast<uint8_t>(n));
    }
    return buckets;
}

void MembershipService::sendBuckets(std::span<const uint8_t> buckets, const Endpoint& to, MembershipActions& actions)
{
    if (buckets.empty())
        return;
    // The limit on datagrams truncates the list, so each exchange starts at a random bucket.
    size_t first = m_random.below(buckets.size());
    GossipContent content;
    size_t bytes = 0;
    size_t datagrams = 0;
    auto flush = [&] {
        if (content.records.empty())
            return;
        // Sequence number zero acknowledges no probe.
        GossipAck message { .sequence = 0, .sender = m_table.self().node, .content = std::exchange(content, {}) };
        actions.push_back(SendGossip { .to = to, .message = std::move(message) });
        bytes = 0;
        ++datagrams;
    };
    for (size_t n = 0; n < buckets.size(); ++n) {
        auto records = m_table.recordsInBucket(buckets[(first + n) % buckets.size()]);
        // In a large fleet one bucket alone exceeds the limit, so each exchange also starts at a random record within
        // it.
        if (!records.empty()) {
            auto middle = records.begin() + static_cast<ptrdiff_t>(m_random.below(records.size()));
            std::rotate(records.begin(), middle, records.end());
        }
        for (auto& record : records) {
            size_t size = estimateBytes(record);
            if (bytes + size > m_options.maximumRecordBytes)
                flush();
            if (datagrams >= m_options.maximumBucketDatagrams)
                return;
            bytes += size;
            content.records.push_back(record);
        }
    }
    flush();
}

void MembershipService::mergeRecord(NodeId sender, const MemberRecord& record, Instant now, MembershipActions& actions)
{
    if (record.node == m_table.self().node) {
        refuteIfNeeded(record, actions);
        return;
    }
    learnPredecessorDeparture(record, actions);
    const Member* held = m_table.find(record.node);
    std::optional<MemberState> before;
    if (held)
        before = held->record.state;
    switch (m_table.merge(record, now)) {
    case MergeResult::Unchanged:
        return;
    case MergeResult::New:
    case MergeResult::StateChanged:
        handleStateChange(record, before, now, actions);
        [[fallthrough]];
    case MergeResult::Updated:
        // State received while catching up has been gossiped already; what a node reports about itself may be new.
        if (!m_isCatchingUp || record.node == sender)
            m_queue.push(record.node);
        actions.push_back(MembersChanged {});
        return;
    }
}

void MembershipService::learnPredecessorDeparture(const MemberRecord& record, MembershipActions& actions)
{
    bool isOwnVm = record.gossip == m_table.self().gossip;
    if (!isOwnVm || !record.departed || m_table.self().departed)
        return;
    bool isNewer = !m_predecessorDeparture
        || record.departed->startedAtMilliseconds > m_predecessorDeparture->startedAtMilliseconds;
    if (!isNewer)
        return;
    m_predecessorDeparture = record.departed;
    actions.push_back(PredecessorDepartureLearned { .departed = *record.departed });
}

bool MembershipService::isAddressOfPresentMember(const Endpoint& gossip) const
{
    return std::ranges::any_of(m_table.others(),
        [&](auto& entry) { return isPresent(entry.second.record.state) && entry.second.record.gossip == gossip; });
}

void MembershipService::updateDiscoveryCandidates(const MemberRecord& record, Instant now)
{
    if (isPresent(record.state)) {
        m_discoveryCandidates.memberPresent(record.gossip);
        return;
    }
    // The next process on a VM has the same address, and may depend on being probed if it cannot reach the store.
    bool hasLeft = record.state == MemberState::Leaving;
    Duration retention = hasLeft ? m_options.table.leftRetention : m_options.table.deadRetention;
    if (!isAddressOfPresentMember(record.gossip))
        m_discoveryCandidates.addFormerMember(record.gossip, record.node, now + retention);
}

void MembershipService::refuteIfNeeded(const MemberRecord& record, MembershipActions& actions)
{
    bool isSuspectedOrDead = record.state == MemberState::Suspect || record.state == MemberState::Dead;
    if (!isSuspectedOrDead || m_table.self().state == MemberState::Leaving)
        return;
    // Even after a timely refutation, another member may have declared this node dead.
    if (record.state == MemberState::Dead && record.version > m_lastDeclaredDeadVersion) {
        m_lastDeclaredDeadVersion = record.version;
        actions.push_back(DeclaredDead {});
    }
    if (record.version < m_table.self().version)
        return;
    m_table.refute(record.version);
    m_queue.push(m_table.self().node);
    for (NodeId it : sample(m_table.presentNodes(), m_options.updateFanout))
        sendOwnRecord(it, actions);
}

void MembershipService::handleStateChange(
    const MemberRecord& record, std::optional<MemberState> before, Instant now, MembershipActions& actions)
{
    updateDiscoveryCandidates(record, now);
    auto report = [&](MemberEventKind kind) { actions.push_back(MemberEvent { .node = record.node, .kind = kind }); };
    switch (record.state) {
    case MemberState::Alive:
        m_detector.cancelSuspicion(record.node);
        report(before ? MemberEventKind::Recovered : MemberEventKind::Joined);
        break;
    case MemberState::Suspect:
        m_detector.startSuspicion(record.node, now);
        report(MemberEventKind::Suspected);
        break;
    case MemberState::Dead:
        m_detector.cancelSuspicion(record.node);
        // A node first learned of as dead was never a member here.
        if (before)
            report(MemberEventKind::Dead);
        break;
    case MemberState::Leaving:
        m_detector.cancelSuspicion(record.node);
        if (before)
            report(MemberEventKind::Left);
        break;
    }
    m_detector.setMembers(m_table.presentNodes());
}

void MembershipService::checkPartition(Instant now, MembershipActions& actions)
{
    if (m_partitionDetector.isDue(now)) {
        m_partitionDetector.begin(now);
        querySample(true, actions);
        querySample(false, actions);
    }
    if (m_partitionDetector.completeIfDone(now))
        actions.push_back(ContactChanged { .isCutOff = m_partitionDetector.isCutOff() });
}

void MembershipService::querySample(bool isOwnZone, MembershipActions& actions)
{
    std::vector<NodeId> nodes = othersInRegion();
    std::erase_if(
        nodes, [&](NodeId it) { return (m_table.find(it)->record.zone == m_table.self().zone) != isOwnZone; });
    for (NodeId it : sample(std::move(nodes), m_options.partition.sampleSize)) {
        uint64_t sequence = m_detector.nextSequence();
        m_partitionDetector.addQuery(sequence, isOwnZone);
        sendPing(it, sequence, false, actions);
    }
}

void MembershipService::learnCoordinator(const CoordinatorInfo& info, MembershipActions& actions)
{
    auto [it, isNew] = m_coordinators.try_emplace(info.zone, info);
    if (!isNew && it->second.fencingToken >= info.fencingToken)
        return;
    it->second = info;
    actions.push_back(CoordinatorLearned { .coordinator = info });
}

bool MembershipService::isInOwnGroup(NodeId node) const
{
    size_t groups = m_table.presentCount() / m_options.confirmationGroup + 1;
    std::hash<NodeId> hash;
    return hash(node) % groups == hash(m_table.self().node) % groups;
}

void MembershipService::announceConfirmation(MembershipActions& actions)
{
    std::vector<NodeId> members = m_table.presentNodes();
    std::erase_if(members, [&](NodeId it) { return !isInOwnGroup(it); });
    for (NodeId it : members) {
        // Sequence number zero acknowledges no probe.
        GossipAck message { .sequence = 0, .sender = m_table.self().node, .content = {} };
        message.content.storeEra = m_storeEra;
        message.content.evacuation = m_evacuation;
        message.content.confirmation = m_confirmation;
        message.content.records.push_back(m_table.self());
        actions.push_back(SendGossip { .to = m_table.find(it)->record.gossip, .message = std::move(message) });
    }
}

void MembershipService::resumedAfterPause(Instant now)
{
    m_detector.paused(now);
    m_partitionDetector.reset();
}

void MembershipService::tick(Instant now, MembershipActions& actions)
{
    std::vector<DetectorAction> detections;
    m_detector.tick(now, m_random, detections);
    for (auto& detection : detections)
        std::visit([&](auto& it) { handle(it, now, actions); }, detection);
    catchUp(now, actions);
    checkPartition(now, actions);
    pingDueCandidates(now, actions);
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryInterval;
    m_table.removeExpired(now);
    if (m_suspects)
        m_suspects->expire(now);
    std::erase_if(m_relayedProbes, [&](auto& entry) { return now >= entry.second.expires; });
}

Instant MembershipService::nextWake() const
{
    Instant next = std::min(m_detector.nextWake(), m_nextExpiry);
    if (m_partitionDetector.isRunning() || m_partitionDetector.isCutOff())
        next = std::min(next, m_partitionDetector.nextWake());
    if (m_discoveryCandidates.size())
        next = std::min(next, m_discoveryCandidates.nextRound());
    return m_isCatchingUp && m_hasJoined ? std::min(next, m_nextCatchUp) : next;
}

void MembershipService::handle(const ProbeMember& probe, Instant now, MembershipActions& actions)
{
    bool withDigest = now >= m_nextDigest;
    if (withDigest)
        m_nextDigest = m_hasDiverged ? now : now + m_options.digestInterval;
    sendPing(probe.node, probe.sequence, withDigest, actions);
}

void MembershipService::handle(const ProbeIndirectly& probe, Instant, MembershipActions& actions)
{
    const Member* target = m_table.find(probe.node);
    if (!target)
        return;
    for (NodeId it : probe.relays) {
        const Member* helper = m_table.find(it);
        if (!helper)
            continue;
        GossipPingRequest request { .sequence = probe.sequence,
            .sender = m_table.self().node,
            .target = probe.node,
            .targetEndpoint = target->record.gossip,
            .content = makeContent(it) };
        actions.push_back(SendGossip { .to = helper->record.gossip, .message = std::move(request) });
    }
}

void MembershipService::handle(const SuspectMember& suspect, Instant now, MembershipActions& actions)
{
    m_partitionDetector.recordProbeFailure();
    const Member* member = m_table.find(suspect.node);
    if (!member || !m_table.setState(suspect.node, member->record.version, MemberState::Suspect, now))
        return;
    m_queue.push(suspect.node);
    actions.push_back(MemberEvent { .node = suspect.node, .kind = MemberEventKind::Suspected });
    actions.push_back(MembersChanged {});
}

void MembershipService::handle(const DeclareDead& dead, Instant now, MembershipActions& actions)
{
    const Member* member = m_table.find(dead.node);
    if (!member || !m_table.setState(dead.node, member->record.version, MemberState::Dead, now))
        return;
    m_queue.push(dead.node);
    handleStateChange(m_table.find(dead.node)->record, MemberState::Suspect, now, actions);
    actions.push_back(MembersChanged {});
}

GossipContent MembershipService::makeContent(NodeId receiver)
{
    GossipContent content;
    content.storeEra = m_storeEra;
    content.evacuation = m_evacuation;
    content.confirmation = m_confirmation;
    content.suspectDigest = m_suspects ? m_suspects->digest() : 0;
    content.records.push_back(m_table.self());
    size_t bytes = estimateBytes(m_table.self()) + (m_evacuation ? estimateBytes(*m_evacuation) : 0);
    auto append = [&](const MemberRecord& record) {
        bytes += estimateBytes(record);
        content.records.push_back(record);
    };
    const Member* known = m_table.find(receiver);
    bool isSuspectedOrDead
        = known && known->record.state != MemberState::Alive && known->record.state != MemberState::Leaving;
    if (isSuspectedOrDead)
        append(known->record);
    m_queue.take(transmissionLimit(m_table.presentCount()), [&](NodeId node) {
        const Member* member = m_table.find(node);
        // This node's and the receiver's records are already in the message, and an expired record is dropped.
        if (!member || (isSuspectedOrDead && node == receiver))
            return true;
        if (bytes + estimateBytes(member->record) > m_options.maximumRecordBytes)
            return false;
        append(member->record);
        return true;
    });
    addCoordinator(content);
    return content;
}

void MembershipService::addCoordinator(GossipContent& content)
{
    if (m_coordinators.empty())
        return;
    // Every second message carries this zone's coordinator, the others carry all coordinators in turn.
    auto own = m_coordinators.find(m_table.self().zone);
    size_t turn = m_nextCoordinator++;
    if (turn % 2 == 0 && own != m_coordinators.end()) {
        content.coordinator = own->second;
        return;
    }
    auto it = std::next(m_coordinators.begin(), static_cast<ptrdiff_t>(turn / 2 % m_coordinators.size()));
    content.coordinator = it->second;
}

void MembershipService::sendPing(NodeId node, uint64_t sequence, bool withDigest, MembershipActions& actions)
{
    const Member* member = m_table.find(node);
    if (!member)
        return;
    GossipPing ping { .sequence = sequence, .sender = m_table.self().node, .content = makeContent(node) };
    if (withDigest)
        ping.content.digest = m_table.digest();
    actions.push_back(SendGossip { .to = member->record.gossip, .message = std::move(ping) });
}

void MembershipService::sendOwnRecord(NodeId node, MembershipActions& actions)
{
    sendPing(node, m_detector.nextSequence(), false, actions);
}

std::vector<NodeId> MembershipService::sample(std::vector<NodeId> nodes, size_t count)
{
    count = std::min(count, nodes.size());
    for (size_t n = 0; n < count; ++n)
        std::swap(nodes[n], nodes[n + m_random.below(nodes.size() - n)]);
    nodes.resize(count);
    return nodes;
}

std::vector<NodeId> MembershipService::othersInOwnZone() const
{
    std::vector<NodeId> nodes = m_table.presentNodes();
    std::erase_if(nodes, [&](NodeId it) { return m_table.find(it)->record.zone != m_table.self().zone; });
    return nodes;
}

std::vector<NodeId> MembershipService::othersInRegion() const
{
    std::vector<NodeId> nodes;
    for (auto& [node, member] : m_table.others()) {
        // Dead members are included: during a long partition only they reveal the size of the zone.
        if (member.record.region == m_table.self().region && member.record.state != MemberState::Leaving)
            nodes.push_back(node);
    }
    std::ranges::sort(nodes);
    return nodes;
}

void MembershipService::setTargets(std::vector<MemberTarget> targets, Instant, MembershipActions& actions)
{
    if (targets == m_table.self().targets)
        return;
    m_table.updateSelf(std::move(targets), m_table.self().state);
    m_queue.push(m_table.self().node);
    actions.push_back(MembersChanged {});
    for (NodeId it : sample(m_table.presentNodes(), m_options.updateFanout))
        sendOwnRecord(it, actions);
}

void MembershipService::setEvacuation(std::optional<EvacuatedZones> evacuation, MembershipActions& actions)
{
    bool isNewSet = evacuation && (!m_evacuation || m_evacuation->zones != evacuation->zones);
    m_evacuation = std::move(evacuation);
    if (!isNewSet)
        return;
    for (NodeId it : sample(m_table.presentNodes(), m_options.updateFanout))
        sendOwnRecord(it, actions);
}

void MembershipService::setDeparted(const TargetIncarnation& departed, MembershipActions& actions)
{
    if (m_table.self().departed == departed)
        return;
    m_table.setDeparted(departed);
    m_queue.push(m_table.self().node);
    for (NodeId it : sample(m_table.presentNodes(), m_options.updateFanout))
        sendOwnRecord(it, actions);
}

void MembershipService::setConfigurationVersion(uint64_t version, Instant, MembershipActions& actions)
{
    if (version <= m_table.self().configurationVersion)
        return;
    m_table.setConfigurationVersion(version);
    for (NodeId it : sample(othersInOwnZone(), m_options.updateFanout))
        sendOwnRecord(it, actions);
    if (auto* coordinator = coordinatorOf(m_table.self().zone))
        sendOwnRecord(coordinator->node, actions);
}

void MembershipService::setCoordinator(const CoordinatorInfo& info)
{
    MembershipActions ignored;
    learnCoordinator(info, ignored);
}

const CoordinatorInfo* MembershipService::coordinatorOf(const ZoneName& zone) const
{
    auto it = m_coordinators.find(zone);
    return it == m_coordinators.end() ? nullptr : &it->second;
}

std::vector<NodeId> MembershipService::presentInZone(const ZoneName& zone) const
{
    std::vector<NodeId> nodes;
    if (m_table.self().zone == zone)
        nodes.push_back(m_table.self().node);
    for (auto& [node, member] : m_table.others()) {
        if (isPresent(member.record.state) && member.record.zone == zone)
            nodes.push_back(node);
    }
    std::ranges::sort(nodes);
    return nodes;
}

std::vector<TargetRecord> MembershipService::targets() const
{
    std::vector<TargetRecord> targets;
    auto append = [&](const MemberRecord& record, Instant firstSeen) {
        for (auto& it : record.targets) {
            targets.push_back({ .id = { .node = record.node, .service = it.service },
                .zone = record.zone,
                .region = record.region,
                .state = it.state,
                .slots = it.slots,
                .firstSeen = firstSeen,
                .isSuspect = record.state == MemberState::Suspect });
        }
    };
    if (isPresent(m_table.self().state))
        append(m_table.self(), {});
    for (auto& [node, member] : m_table.others()) {
        if (isPresent(member.record.state))
            append(member.record, member.firstSeen);
    }
    std::ranges::sort(targets, {}, &TargetRecord::id);
    return targets;
}

} // namespace Berylport
