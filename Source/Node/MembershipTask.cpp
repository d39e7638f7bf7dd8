// Connects the membership service with its socket, its timer and the other tasks.
#include "Node/MembershipTask.h"

#include "Log/Log.h"

namespace Berylport {

namespace {

constexpr Duration publicationInterval = std::chrono::milliseconds(100);
constexpr Duration foreignLogInterval = std::chrono::seconds(10);

MemberRecord makeSelf(const NodeContext& context)
{
    const ListenSection& listen = context.settings.listen;
    return { .node = context.self,
        .gossip = listen.gossipAdvertised.value_or(listen.gossip),
        .peer = listen.peerAdvertised.value_or(listen.peer),
        .zone = context.settings.node.zone,
        .region = context.settings.node.region,
        .version = 1 };
}

// Zero if nothing identifies the system; FNV-1a, so that it is the same on all nodes.
uint64_t systemIdentity(const NodeSettings& settings)
{
    std::string text = settings.membership.system;
    if (text.empty()) {
        for (auto& it : { settings.platform.store, settings.platform.table, settings.platform.objects })
            text += it ? toText(*it) + " " : std::string();
    }
    if (text.empty())
        return 0;
    uint64_t hash = 0xcbf29ce484222325;
    for (char it : text)
        hash = (hash ^ static_cast<uint8_t>(it)) * 0x100000001b3;
    return std::max<uint64_t>(hash, 1);
}

MembershipOptions makeOptions(const MembershipSection& settings)
{
    MembershipOptions options;
    options.detector.probeInterval = settings.probeInterval;
    options.detector.directTimeout = std::min(options.detector.directTimeout, settings.probeInterval / 2);
    options.detector.suspicionTime = settings.suspicionTime;
    return options;
}

Event eventFor(MemberEventKind kind)
{
    switch (kind) {
    case MemberEventKind::Joined:
    case MemberEventKind::Recovered:
        return Event::MemberJoined;
    case MemberEventKind::Suspected:
        return Event::MemberSuspected;
    case MemberEventKind::Dead:
        return Event::MemberDead;
    case MemberEventKind::Left:
        return Event::MemberLeft;
    }
    return Event::MemberJoined;
}

} // namespace

MembershipTask::MembershipTask(NodeContext& context)
    : Task(context.loop, "membership")
    , m_context(context)
    , m_mailbox(context.loop, guarded([this](MembershipMessage&& message) {
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
        wake();
    }))
    , m_socket(context.loop, guarded([this](const Endpoint& from, GossipMessage message) {
        m_pauses.check();
        MembershipActions actions;
        m_service.receive(message, from, steadyNow(), actions);
        perform(actions);
        wake();
    }),
          systemIdentity(context.settings), guarded([this](const Endpoint& from) { foreignSystemSeen(from); }))
    , m_service(makeOptions(context.settings.membership), makeSelf(context), context.seed, steadyNow())
    , m_timer(context.loop, guarded([this] { wake(); }))
    , m_pauses(context.loop, {}, guarded([this](Duration gap) {
        m_service.resumedAfterPause(steadyNow());
        m_context.ports.configuration.post(PauseNoticed { .gap = gap });
    }))
{
}

void MembershipTask::start()
{
    auto endpoint = m_socket.listen(m_context.settings.listen.gossip);
    if (!endpoint)
        throw std::runtime_error("cannot listen for gossip on " + toText(m_context.settings.listen.gossip) + ": "
            + std::string(toText(endpoint.error())));
    m_service.shareSuspects(m_context.suspects);
    m_socket.setQuotaReceiver(guarded([this](QuotaMessage message) {
        m_context.ports.quota.post(QuotaMessageReceived { .message = std::move(message) });
    }));
    m_context.ports.membership.attach(&m_mailbox);
    if (!m_context.settings.membership.seeds.empty()) {
        MembershipActions actions;
        m_service.join(m_context.settings.membership.seeds, steadyNow(), actions);
        perform(actions);
    }
    wake();
}

void MembershipTask::stop() noexcept
{
    m_context.ports.membership.detach();
    m_timer.stop();
}

// --- messages

void MembershipTask::handle(TargetsAnnounced&& message)
{
    MembershipActions actions;
    m_service.setTargets(std::move(message.targets), steadyNow(), actions);
    perform(actions);
}

void MembershipTask::handle(ConfigurationVersionApplied&& message)
{
    MembershipActions actions;
    m_service.setConfigurationVersion(message.version, steadyNow(), actions);
    perform(actions);
}

void MembershipTask::handle(ConfigurationConfirmed&& message)
{
    m_service.setConfirmation(message.confirmation);
    if (!message.isAnnounced)
        return;
    MembershipActions actions;
    m_service.announceConfirmation(actions);
    perform(actions);
}

void MembershipTask::handle(CoordinatorLeaseAcquired&& message) { m_service.setCoordinator(message.coordinator); }

void MembershipTask::handle(RemindMembers&& message)
{
    MembershipActions actions;
    for (NodeId it : message.members)
        m_service.sendOwnRecord(it, actions);
    perform(actions);
}

void MembershipTask::handle(SeedsFound&& message)
{
    if (message.isFirstNode)
        m_service.joinAsFirst(steadyNow());
    std::vector<Endpoint> seeds = m_context.settings.membership.seeds;
    seeds.insert(seeds.end(), message.seeds.begin(), message.seeds.end());
    MembershipActions actions;
    m_service.join(seeds, steadyNow(), actions);
    perform(actions);
}

void MembershipTask::handle(ReplicateDeparture&& message)
{
    MembershipActions actions;
    m_service.setDeparted(message.departed, actions);
    perform(actions);
}

void MembershipTask::handle(StoreEraSeen&& seen) { m_service.setStoreEra(seen.era); }

void MembershipTask::handle(EvacuationChanged&& message)
{
    m_hasChanges |= message.evacuation.zones != m_context.status.evacuation.zones;
    m_context.status.evacuation = message.evacuation;
    MembershipActions actions;
    m_service.setEvacuation(message.isShared ? std::optional(std::move(message.evacuation)) : std::nullopt, actions);
    perform(actions);
}

void MembershipTask::handle(SuspectsChanged&&)
{
    MembershipActions actions;
    m_service.suspectsChanged(actions);
    perform(actions);
}

void MembershipTask::handle(MembershipRefreshRequested&&)
{
    MembershipActions actions;
    m_service.refreshView(steadyNow(), actions);
    perform(actions);
}

void MembershipTask::handle(QuotaMessageDue&& due)
{
    const Member* member = m_service.table().find(due.to);
    if (!member)
        return;
    // The limiter repeats requests without a reply.
    if (!m_socket.send(member->record.gossip, due.message))
        m_context.metrics.add("berylport_gossip_send_failures_total");
}

void MembershipTask::handle(BeginDrain&&)
{
    MembershipActions actions;
    m_service.leave(steadyNow(), actions);
    perform(actions);
}

// --- actions

void MembershipTask::perform(MembershipActions& actions)
{
    for (auto& action : actions)
        std::visit([this](auto& it) { perform(std::move(it)); }, action);
}

void MembershipTask::perform(SendGossip&& send)
{
    // A datagram that cannot be sent is treated as lost; the gossip protocol tolerates losses.
    auto sent = m_socket.send(send.to, send.message);
    if (!sent)
        m_context.metrics.add("berylport_gossip_send_failures_total");
}

void MembershipTask::perform(MemberEvent&& event)
{
    logEvent(eventFor(event.kind), { { "node", toText(event.node) } });
    if (event.kind == MemberEventKind::Left)
        m_context.ports.configuration.post(ZoneMemberLeft { .node = event.node });
    if (event.kind != MemberEventKind::Dead)
        return;
    m_context.ports.entry.post(MemberGone { .node = event.node });
    m_context.ports.link.post(MemberGone { .node = event.node });
}

void MembershipTask::perform(MembersChanged&&) { m_hasChanges = true; }

void MembershipTask::perform(DeclaredDead&&) { m_context.ports.configuration.post(SelfDeclaredDead {}); }

void MembershipTask::perform(ContactChanged&& contact)
{
    logEvent(contact.isCutOff ? Event::NodeCutOff : Event::NodeContactRestored);
    m_context.ports.configuration.post(ConnectivityChanged { .isCutOff = contact.isCutOff });
}

void MembershipTask::perform(PeerVersionSeen&& seen)
{
    const Member* member = m_service.table().find(seen.node);
    bool isOwnZone = member && member->record.zone == m_context.settings.node.zone;
    m_context.ports.configuration.post(PeerVersion { .node = seen.node,
        .version = seen.version,
        .isOwnZone = isOwnZone,
        .confirmation = seen.confirmation,
        .isInOwnGroup = seen.isInOwnGroup });
}

void MembershipTask::perform(StoreEraLearned&& learned)
{
    m_context.ports.configuration.post(StoreEraSeen { .era = learned.era });
}

void MembershipTask::perform(EvacuationLearned&& learned)
{
    m_context.ports.configuration.post(EvacuationSeen { .evacuation = std::move(learned.evacuation) });
}

void MembershipTask::perform(CoordinatorLearned&&)
{
    // Nothing to do: the membership service itself uses this information when a version changes.
}

void MembershipTask::perform(PredecessorDepartureLearned&& remembered)
{
    m_context.ports.target.post(DepartureRestored { .departed = remembered.departed, .source = "peer" });
    m_context.ports.configuration.post(RecordDeparture { .departed = remembered.departed, .done = [] {} });
}

void MembershipTask::foreignSystemSeen(const Endpoint& from)
{
    Instant now = steadyNow();
    if (now < m_foreignQuietUntil)
        return;
    m_foreignQuietUntil = now + foreignLogInterval;
    logEvent(
        Event::ForeignSystem, { { "from", toText(from) }, { "dropped", std::to_string(m_socket.counters().foreign) } });
}

void MembershipTask::publishMembers()
{
    m_hasChanges = false;
    m_lastPublication = steadyNow();
    const MemberTable& table = m_service.table();
    PeerEndpoints peers;
    std::vector<MemberRecord> members { table.self() };
    for (auto& [node, member] : table.others()) {
        // Includes members declared dead, as they may still answer a query.
        peers.endpoints[node] = member.record.peer;
        members.push_back(member.record);
    }
    std::ranges::sort(members, {}, &MemberRecord::node);
    m_context.status.members = std::move(members);
    m_context.status.targets = m_service.targets();
    // Senders treat the targets of an evacuated zone like those that leave.
    for (auto& it : m_context.status.targets) {
        if (m_context.status.evacuation.contains(it.zone) && it.state == TargetState::Ready)
            it.state = TargetState::Draining;
    }
    m_context.ports.link.post(std::move(peers));
    m_context.ports.entry.post(TargetsChanged { .targets = m_context.status.targets });
    m_context.ports.configuration.post(
        ZoneMembersChanged { .present = m_service.presentInZone(m_context.settings.node.zone) });
    publishQuotaMembers();
}

void MembershipTask::publishQuotaMembers()
{
    QuotaMembersChanged message { .candidates = {} };
    for (auto& it : m_context.status.members) {
        if (it.state == MemberState::Alive)
            message.candidates.push_back(it.node);
    }
    if (m_context.status.isDiscoveryDone)
        message.knownVms = m_service.knownVms(steadyNow());
    m_context.ports.quota.post(std::move(message));
}

void MembershipTask::wake()
{
    m_pauses.check();
    MembershipActions actions;
    m_service.tick(steadyNow(), actions);
    perform(actions);
    Instant now = steadyNow();
    if (m_hasChanges && now - m_lastPublication >= publicationInterval)
        publishMembers();
    Instant next = m_service.nextWake();
    if (m_hasChanges)
        next = std::min(next, m_lastPublication + publicationInterval);
    m_timer.startAt(next);
    updateStatus();
}

void MembershipTask::updateStatus()
{
    Instant now = steadyNow();
    m_context.status.hasJoined = m_service.hasJoined();
    m_context.status.isDiscoveryDone |= m_service.isDiscoveryDone(now);
    // The other tasks depend on whether the view is complete, so the end of discovery triggers a publication.
    m_hasChanges
        |= m_context.status.isDiscoveryDone != std::exchange(m_wasDiscoveryDone, m_context.status.isDiscoveryDone);
    m_context.status.isViewPartial = m_service.isViewPartial(now);
    m_context.status.knownNodes = m_service.knownNodes();
    const GossipCounters& counters = m_socket.counters();
    m_context.metrics.set("berylport_members", static_cast<double>(m_service.table().presentCount() + 1));
    m_context.metrics.set("berylport_gossip_sent_bytes", static_cast<double>(counters.sentBytes));
    m_context.metrics.set("berylport_gossip_received_bytes", static_cast<double>(counters.receivedBytes));
    m_context.metrics.set("berylport_gossip_malformed", static_cast<double>(counters.malformed));
    m_context.metrics.set("berylport_gossip_foreign", static_cast<double>(counters.foreign));
}

} // namespace Berylport
