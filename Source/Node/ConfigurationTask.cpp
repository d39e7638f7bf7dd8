// Connects the configuration state machines with the table, the peers and the timers.
#include "Node/ConfigurationTask.h"

#include "Log/Log.h"
#include "Membership/Membership.h"

namespace Berylport {

namespace {

constexpr Duration wakeInterval = std::chrono::milliseconds(100);
constexpr Duration pollInterval = std::chrono::milliseconds(500);
constexpr Duration registrationInterval = std::chrono::seconds(1);
// A fetch that takes longer is abandoned and another peer is tried.
constexpr Duration fetchTimeout = std::chrono::seconds(2);
// Number of nodes of a zone that compete for its coordinator lease; limits the load on the store.
constexpr size_t leaseCandidates = 3;

HttpClientOptions makeClientOptions(const NodeContext& context)
{
    HttpClientOptions options;
    options.server = context.settings.platform.table.value_or(Endpoint {});
    options.timeout = context.settings.platform.timeout;
    options.jitterSeed = context.seed;
    return options;
}

LeaseOptions makeLeaseOptions(const NodeContext& context)
{
    return {
        .name = "coordinator/" + context.settings.node.zone.text, .holder = context.self, .instance = context.seed + 1
    };
}

std::string joinNames(const std::vector<ZoneName>& zones)
{
    std::string text;
    for (auto& it : zones)
        text += (text.empty() ? "" : ",") + it.text;
    return text;
}

} // namespace

ConfigurationTask::ConfigurationTask(NodeContext& context)
    : Task(context.loop, "configuration")
    , m_context(context)
    , m_mailbox(context.loop, guarded([this](ConfigurationMessage&& message) {
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
        publishGuard();
    }))
    , m_client(context.loop.base(), makeClientOptions(context))
    , m_table(m_client)
    , m_lease(m_client, makeLeaseOptions(context))
    , m_timer(context.loop, guarded([this] { wake(); }))
    , m_pauses(context.loop, {}, guarded([this](Duration gap) {
        m_guard.paused(gap, steadyNow());
        publishGuard();
    }))
    , m_random(context.seed ^ 0xC0FFEE)
{
}

ConfigurationTask::~ConfigurationTask() = default;

void ConfigurationTask::start()
{
    m_context.ports.configuration.attach(&m_mailbox);
    m_context.status.configuration = &m_store;
    m_guard.started(steadyNow());
    // Members published before this task was attached were not delivered to it. Without an initial list the only node
    // of a zone would never become a lease candidate.
    ZoneMembersChanged known { .present = { m_context.self } };
    for (auto& it : m_context.status.members) {
        if (it.node != m_context.self && it.zone == m_context.settings.node.zone && isPresent(it.state))
            known.present.push_back(it.node);
    }
    handle(std::move(known));
    m_timer.startPeriodic(wakeInterval);
    readHead(false);
    wake();
}

void ConfigurationTask::stop() noexcept
{
    m_context.ports.configuration.detach();
    m_context.status.configuration = nullptr;
    m_timer.stop();
}

std::string ConfigurationTask::newToken(std::string_view purpose)
{
    return toText(m_context.self) + "-" + std::string(purpose) + "-" + std::to_string(++m_lastToken) + "-"
        + std::to_string(m_random.next());
}

void ConfigurationTask::updateStoreReachability(bool isReachable)
{
    if (isReachable != m_context.status.isStoreReachable)
        logEvent(isReachable ? Event::StoreRecovered : Event::StoreUnavailable, { { "store", "table" } });
    m_context.status.isStoreReachable = isReachable;
}

// --- registration: seed row, zone row, lookup of seeds

void ConfigurationTask::registerNode()
{
    if (m_isRegistering || m_isDraining)
        return;
    m_isRegistering = true;
    const ListenSection& listen = m_context.settings.listen;
    Endpoint gossip = listen.gossipAdvertised.value_or(listen.gossip);
    // The node writes its own seed row before it reads the others, so that of two nodes that start at the same time at
    // least one sees the other.
    m_table.writeSeed(m_context.self, gossip, newToken("seed"), guarded([this](StoreResult<Done> written) {
        if (!written) {
            m_isRegistering = false;
            updateStoreReachability(false);
            return;
        }
        updateStoreReachability(true);
        m_table.confirmZone(
            m_context.settings.node.zone, 0, newToken("zone"), guarded([this](StoreResult<Done> registered) {
                m_isRegistering = false;
                m_isRegistered = registered.has_value() || registered.error().code == StoreErrorCode::Conflict;
            }));
        findSeeds();
    }));
}

void ConfigurationTask::findSeeds()
{
    m_table.readSeeds(guarded([this](StoreResult<std::vector<std::pair<NodeId, Endpoint>>> rows) {
        if (!rows)
            return;
        SeedsFound found;
        for (auto& [node, endpoint] : rows.value()) {
            if (node != m_context.self)
                found.seeds.push_back(endpoint);
        }
        found.isFirstNode = found.seeds.empty();
        m_context.ports.membership.post(std::move(found));
    }));
}

// --- reads of the head version and the complete configuration from the table

void ConfigurationTask::readHead(bool isForCoordinator)
{
    if (m_isReadingHead && !isForCoordinator)
        return;
    m_isReadingHead = true;
    Instant askedAt = steadyNow();
    m_table.readHead(guarded([this, isForCoordinator, askedAt](StoreResult<uint64_t> head) {
        m_isReadingHead = false;
        updateStoreReachability(head.has_value());
        if (head) {
            if (isForCoordinator)
                m_coordinator.headRead(head.value());
            headReceived(head.value(), askedAt);
        } else if (isForCoordinator)
            m_coordinator.headReadFailed();
        publishGuard();
    }));
}

void ConfigurationTask::headReceived(uint64_t head, Instant askedAt)
{
    m_guard.storeHeadRead(head, m_store.version(), askedAt, steadyNow());
    if (head > m_store.version())
        readFromTable();
}

void ConfigurationTask::readFromTable()
{
    if (m_isReadingTable)
        return;
    m_isReadingTable = true;
    Instant askedAt = steadyNow();
    m_table.readAll(guarded([this, askedAt](StoreResult<ConfigurationDelta> delta) {
        m_isReadingTable = false;
        if (!delta) {
            if (delta.error().code == StoreErrorCode::Malformed)
                logEvent(Event::ConfigurationMalformed, { { "source", "table" } });
            return;
        }
        apply(delta.value());
        m_guard.storeHeadRead(delta.value().version, m_store.version(), askedAt, steadyNow());
        publishGuard();
    }));
}

void ConfigurationTask::apply(const ConfigurationDelta& delta)
{
    ApplyResult result = m_store.apply(delta);
    if (result == ApplyResult::Malformed)
        logEvent(Event::ConfigurationMalformed, { { "version", std::to_string(delta.version) } });
    if (result != ApplyResult::Applied)
        return;
    logEvent(Event::ConfigurationApplied, { { "version", std::to_string(m_store.version()) } });
    auto catalogue = std::make_shared<ServiceCatalogue>();
    catalogue->version = m_store.version();
    catalogue->services = m_store.definitions();
    m_context.status.catalogue = catalogue;
    m_context.status.configurationVersion = m_store.version();
    m_context.metrics.set("berylport_configuration_version", static_cast<double>(m_store.version()));
    m_context.ports.entry.post(CatalogueChanged { .catalogue = catalogue });
    m_context.ports.target.post(CatalogueChanged { .catalogue = catalogue });
    // Posted last, so that the other tasks have the new version in their mailboxes before gossip advertises it.
    m_context.ports.membership.post(ConfigurationVersionApplied { .version = m_store.version() });
    m_coordinator.ownVersionChanged(m_context.self, m_store.version());
}

// --- peers

void ConfigurationTask::handle(PeerVersion&& seen)
{
    if (seen.isOwnZone)
        m_coordinator.memberReported(seen.node, seen.version);
    if (seen.version > m_store.version())
        fetchFrom(seen.node);
}

// Targets of the native protocol have no instance ids, so there is nothing to persist that a later process could
// compare.
void ConfigurationTask::handle(RecordDeparture&& message) { message.done(); }

void ConfigurationTask::fetchFrom(NodeId node)
{
    Instant now = steadyNow();
    if (m_fetchingFrom && now < m_fetchDeadline)
        return;
    m_fetchingFrom = node;
    m_fetchDeadline = now + fetchTimeout;
    if (!m_context.ports.link.post(FetchConfiguration { .node = node, .since = m_store.version() }))
        m_fetchingFrom.reset();
}

void ConfigurationTask::handle(ConfigurationFetched&& fetched)
{
    m_fetchingFrom.reset();
    apply(fetched.delta);
    if (fetched.isServing)
        m_guard.peerVersionRead(fetched.delta.version, m_store.version(), fetched.askedAt);
}

void ConfigurationTask::handle(ConfigurationFetchFailed&&) { m_fetchingFrom.reset(); }

void ConfigurationTask::fetchFromRandomPeer()
{
    std::vector<NodeId> peers;
    for (auto& it : m_context.status.members) {
        if (it.node != m_context.self && it.state == MemberState::Alive)
            peers.push_back(it.node);
    }
    if (!peers.empty())
        fetchFrom(peers[m_random.below(peers.size())]);
}

// --- membership

void ConfigurationTask::handle(ZoneMembersChanged&& message)
{
    m_coordinator.updateMembers(message.present, steadyNow());
    size_t position = 0;
    for (NodeId it : message.present)
        position += it < m_context.self;
    if (m_isDraining)
        return;
    if (position < leaseCandidates)
        m_lease.acquire(steadyNow());
    else
        m_lease.standDown();
}

void ConfigurationTask::handle(ZoneMemberLeft&& message) { m_coordinator.memberLeft(message.node); }

void ConfigurationTask::handle(SelfDeclaredDead&&) { m_guard.declaredDead(steadyNow()); }

void ConfigurationTask::handle(ConnectivityChanged&& message)
{
    m_isCutOff = message.isCutOff;
    m_guard.contactChanged(message.isCutOff, steadyNow());
    m_coordinator.setCutOff(message.isCutOff);
    if (m_isCutOff)
        m_lease.release(steadyNow());
    else
        m_lease.acquire(steadyNow());
}

// --- coordinator

void ConfigurationTask::perform(ReadHead&&) { readHead(true); }

void ConfigurationTask::perform(WriteZoneConfirmation&& action)
{
    // A holder whose lease expired while the process was paused must not write, although the version that it would
    // confirm is correct.
    if (!m_lease.holds(steadyNow())) {
        m_coordinator.confirmationFailed();
        return;
    }
    uint64_t version = action.version;
    m_table.confirmZone(
        m_context.settings.node.zone, version, newToken("confirm"), guarded([this, version](StoreResult<Done> written) {
            if (written)
                m_coordinator.confirmationWritten(version);
            else
                m_coordinator.confirmationFailed();
        }));
}

void ConfigurationTask::perform(RemindMembers&& action) { m_context.ports.membership.post(std::move(action)); }

void ConfigurationTask::driveLease(Instant now)
{
    m_lease.tick(now);
    bool holds = m_lease.holds(now);
    if (holds == m_coordinator.isActive())
        return;
    m_context.status.isCoordinator = holds;
    if (!holds) {
        logEvent(Event::CoordinatorSteppedDown);
        m_coordinator.stop();
        return;
    }
    logEvent(Event::CoordinatorElected, { { "fencing_token", std::to_string(m_lease.fencingToken()) } });
    m_coordinator.start(now);
    m_context.ports.membership.post(CoordinatorLeaseAcquired { .coordinator
        = { .zone = m_context.settings.node.zone, .fencingToken = m_lease.fencingToken(), .node = m_context.self } });
}

// --- operators

template <typename Function> void ConfigurationTask::withChange(uint64_t number, Function&& function)
{
    auto it = m_changes.find(number);
    if (it == m_changes.end())
        return;
    std::vector<ChangeAction> actions;
    function(*it->second.tracker, actions);
    runChange(number, actions);
}

void ConfigurationTask::handle(OperatorChange&& message)
{
    uint64_t number = ++m_lastChange;
    auto tracker = std::make_unique<ChangeTracker>(ChangeTracker::Options {}, std::move(message.request));
    m_changes.emplace(number, Change { .tracker = std::move(tracker), .done = std::move(message.done) });
    withChange(number, [](ChangeTracker& it, auto& actions) { it.start(steadyNow(), actions); });
}

void ConfigurationTask::runChange(uint64_t number, std::vector<ChangeAction>& actions)
{
    for (auto& action : actions)
        std::visit([&](auto& it) { perform(number, std::move(it)); }, action);
}

void ConfigurationTask::perform(uint64_t number, ReadForChange&& action)
{
    m_table.readForChange(action.service,
        guarded([this, number](StoreResult<std::pair<uint64_t, std::optional<ServiceDefinition>>> rows) {
            withChange(number, [&](ChangeTracker& it, auto& actions) {
                if (rows)
                    it.rowsRead(rows.value().first, rows.value().second, steadyNow(), actions);
                else
                    it.readFailed(steadyNow(), actions);
            });
        }));
}

void ConfigurationTask::perform(uint64_t number, WriteChange&& action)
{
    m_table.write(action, guarded([this, number](WriteResult result) {
        // Reads the new version at once, so that it propagates from this node without waiting for a coordinator to
        // poll.
        if (result == WriteResult::Written) {
            logEvent(Event::ConfigurationRecorded);
            readFromTable();
        }
        withChange(number, [&](ChangeTracker& it, auto& actions) { it.writeFinished(result, steadyNow(), actions); });
    }));
}

void ConfigurationTask::perform(uint64_t number, ReadZoneConfirmations&&)
{
    m_table.readZones(guarded([this, number](StoreResult<std::vector<ZoneConfirmation>> zones) {
        withChange(number, [&](ChangeTracker& it, auto& actions) {
            if (zones)
                it.zonesRead(zones.value(), steadyNow(), actions);
            else
                it.zonesReadFailed(steadyNow());
        });
    }));
}

void ConfigurationTask::perform(uint64_t number, FinishChange&& action)
{
    auto it = m_changes.find(number);
    if (it == m_changes.end())
        return;
    auto done = std::move(it->second.done);
    m_changes.erase(it);
    if (action.outcome == ChangeOutcome::Accepted)
        logEvent(Event::ConfigurationAccepted, { { "version", std::to_string(action.version) } });
    if (action.outcome == ChangeOutcome::Pending)
        logEvent(Event::ConfigurationPending,
            { { "version", std::to_string(action.version) }, { "zones", joinNames(action.missingZones) } });
    done({ .outcome = action.outcome,
        .version = action.version,
        .missingZones = std::move(action.missingZones),
        .detail = action.fault ? std::string(toText(*action.fault)) : std::string() });
}

void ConfigurationTask::handle(ListZones&& message)
{
    m_table.readHead(guarded([this, done = std::move(message.done)](StoreResult<uint64_t> head) {
        m_table.readZones(guarded([head, done](StoreResult<std::vector<ZoneConfirmation>> zones) {
            ZoneListing listing { .isStoreReachable = head && zones };
            if (head)
                listing.headVersion = head.value();
            if (zones)
                listing.zones = std::move(zones.value());
            done(std::move(listing));
        }));
    }));
}

void ConfigurationTask::handle(RetireZone&& message)
{
    m_table.removeZone(message.zone, newToken("retire"),
        guarded([done = std::move(message.done)](StoreResult<Done> result) { done(result.has_value()); }));
}

// --- time

void ConfigurationTask::publishGuard()
{
    GuardState state = m_guard.state(steadyNow());
    if (state == m_publishedGuard)
        return;
    m_publishedGuard = state;
    m_context.status.guard = state;
    logEvent(state == GuardState::Confirmed ? Event::NodeConfirmed : Event::NodeUnconfirmed,
        { { "state", std::string(toText(state)) } });
    m_context.ports.entry.post(ServingChanged { .state = state });
    m_context.ports.target.post(ServingChanged { .state = state });
}

void ConfigurationTask::wake()
{
    m_pauses.check();
    Instant now = steadyNow();
    if (!m_isRegistered && now >= m_nextRegistration) {
        m_nextRegistration = now + registrationInterval;
        registerNode();
    }
    bool needsComparison = !m_guard.mayServe(now) || m_isCutOff;
    if (needsComparison && now >= m_nextPoll) {
        m_nextPoll = now + pollInterval;
        readHead(false);
        fetchFromRandomPeer();
    }
    driveLease(now);
    std::vector<CoordinatorAction> actions;
    m_coordinator.tick(now, actions);
    for (auto& action : actions)
        std::visit([this](auto& it) { perform(std::move(it)); }, action);
    std::vector<uint64_t> numbers;
    for (auto& [number, change] : m_changes)
        numbers.push_back(number);
    for (uint64_t it : numbers)
        withChange(it, [&](ChangeTracker& tracker, auto& changeActions) { tracker.tick(now, changeActions); });
    publishGuard();
}

void ConfigurationTask::handle(BeginDrain&&)
{
    m_isDraining = true;
    m_lease.release(steadyNow());
    m_table.removeSeed(m_context.self, newToken("leave"));
}

} // namespace Berylport
