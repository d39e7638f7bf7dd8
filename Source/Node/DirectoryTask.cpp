// Connects the source follower and the node registrar with the shared store and the other tasks.
#include "Node/DirectoryTask.h"

#include "Log/Log.h"

#include <algorithm>

namespace Berylport {

namespace {

const std::string rowTable = "nodes";
// If none of the nodes found in the rows has replied after this time, they are assumed to be gone.
constexpr Duration seedContactTimeout = std::chrono::seconds(2);
// After a longer pause of the process nothing that was heard before it counts as recent.
constexpr Duration shortPause = std::chrono::milliseconds(250);
// Requests to be refused that are kept in the row of this node.
constexpr size_t maximumStoredRefused = 16;
constexpr Duration wakeInterval = std::chrono::milliseconds(100);

std::string rowKey(const NodeContext& context)
{
    const std::string& name = context.settings.node.name;
    return name.empty() ? toText(context.self) : name;
}

NodeRow makeRow(const NodeContext& context)
{
    const ListenSection& listen = context.settings.listen;
    return {
        .node = context.self, .gossip = listen.gossipAdvertised.value_or(listen.gossip), .departed = std::nullopt
    };
}

std::vector<StoredRow> decodeRows(const std::vector<TableRow>& rows)
{
    std::vector<StoredRow> stored;
    for (auto& it : rows) {
        if (auto row = decodeNodeRow(it.value))
            stored.push_back({ .key = it.key, .row = std::move(*row), .version = it.version });
        else
            logEvent(Event::RowMalformed, { { "key", it.key } });
    }
    return stored;
}

} // namespace

DirectoryTask::DirectoryTask(NodeContext& context)
    : Task(context.loop, "directory")
    , m_context(context)
    , m_mailbox(context.loop, guarded([this](ConfigurationMessage&& message) {
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
    }))
    , m_store(context.adapter.connectStore(context.loop.base(), context.settings, context.seed))
    , m_follower({ .self = context.self, .seed = context.seed ^ 0xD1EC7 })
    , m_timer(context.loop, guarded([this] { wake(); }))
    , m_rows({ .isFirstStart = context.settings.node.isFirstStart, .seed = context.seed ^ 0x5EED }, rowKey(context),
          makeRow(context))
{
}

DirectoryTask::~DirectoryTask() = default;

void DirectoryTask::start()
{
    m_context.ports.configuration.attach(&m_mailbox);
    // An earlier task of this process may have applied a version.
    m_follower.adopt(m_context.status.configurationVersion);
    std::vector<FollowerAction> actions;
    m_follower.start(steadyNow(), actions);
    perform(actions);
    wake();
}

void DirectoryTask::stop() noexcept
{
    m_context.ports.configuration.detach();
    m_timer.stop();
}

void DirectoryTask::updateStoreReachability(bool isReachable, std::string_view operation, std::string_view reason)
{
    m_context.metrics.add({ .name = "berylport_store_calls_total",
        .labelName = "result",
        .labelValue = isReachable ? "answered" : std::string(reason) });
    if (isReachable == m_context.status.isStoreReachable)
        return;
    m_context.status.isStoreReachable = isReachable;
    logEvent(isReachable ? Event::StoreRecovered : Event::StoreUnavailable,
        { { "store", "rows" }, { "operation", std::string(operation) }, { "reason", std::string(reason) } });
}

// --- configuration

void DirectoryTask::perform(std::vector<FollowerAction>& actions)
{
    for (auto& action : actions)
        std::visit([this](auto& it) { perform(it); }, action);
    publishConfirmation(false);
    m_timer.startAt(std::min(steadyNow() + wakeInterval, m_follower.nextWake()));
}

void DirectoryTask::perform(const ReadSource& action)
{
    m_store.configuration->read(
        guarded([this, number = action.number](Instant, const StoreResult<ConfigurationSnapshot>& snapshot) {
            sourceAnswered(number, snapshot);
        }));
}

void DirectoryTask::perform(const FollowSource& action)
{
    m_store.configuration->follow(action.position, action.wait,
        guarded([this, number = action.number](Instant, const StoreResult<ConfigurationSnapshot>& snapshot) {
            sourceAnswered(number, snapshot);
        }));
}

void DirectoryTask::perform(const FetchFromPeer& action)
{
    if (!m_context.ports.link.post(FetchConfiguration { .node = action.node, .since = m_follower.version() }))
        m_follower.fetchEnded();
}

void DirectoryTask::perform(const AnnounceConfirmation&) { publishConfirmation(true); }

void DirectoryTask::publishConfirmation(bool isAnnounced)
{
    auto& confirmation = m_follower.confirmation();
    m_context.status.confirmation = confirmation;
    if (isAnnounced || confirmation != m_publishedConfirmation) {
        m_publishedConfirmation = confirmation;
        m_context.ports.membership.post(
            ConfigurationConfirmed { .confirmation = confirmation, .isAnnounced = isAnnounced });
    }
    if (m_isFollowing == m_follower.isFollowing())
        return;
    m_isFollowing = m_follower.isFollowing();
    logEvent(m_isFollowing ? Event::SourceFollowed : Event::SourceNotFollowed,
        { { "version", std::to_string(m_follower.version()) }, { "confirmed_ago_ms", confirmationAge() } });
}

std::string DirectoryTask::confirmationAge() const
{
    auto& confirmation = m_follower.confirmation();
    return confirmation ? std::to_string(toMilliseconds(steadyNow() - confirmation->at)) : "unknown";
}

void DirectoryTask::sourceAnswered(SourceRequestNumber number, const StoreResult<ConfigurationSnapshot>& snapshot)
{
    std::vector<FollowerAction> actions;
    if (snapshot) {
        updateStoreReachability(true, "configuration", {});
        m_rows.storeAnswered(steadyNow());
        tickRows();
        noteEra(snapshot.value().position.era);
        applyEvacuation(snapshot.value());
        bool isReadable = !snapshot.value().document || applyDocument(*snapshot.value().document, "store");
        // Otherwise there is a newer version than the held one, and peers that can read it must not rely on this node.
        if (isReadable)
            m_follower.sourceAnswered(number, snapshot.value().position, steadyNow(), actions);
        else
            m_follower.sourceFailed(number, steadyNow());
    } else if (snapshot.error().code == StoreErrorCode::HistoryLost) {
        logEvent(Event::ConfigurationHistoryLost);
        m_follower.historyTruncated(number, steadyNow());
    } else {
        updateStoreReachability(false, "configuration", toText(snapshot.error().code));
        m_follower.sourceFailed(number, steadyNow());
    }
    perform(actions);
}

bool DirectoryTask::applyDocument(std::string document, std::string_view origin)
{
    auto traffic = m_store.configuration->decode(document);
    if (!traffic) {
        logEvent(Event::ConfigurationMalformed, { { "source", std::string(origin) } });
        return false;
    }
    uint64_t before = m_follower.version();
    uint64_t version = traffic->version;
    if (!m_follower.adopt(version))
        return true;
    logEvent(Event::ConfigurationApplied,
        { { "version", std::to_string(version) }, { "before", std::to_string(before) },
            { "source", std::string(origin) }, { "routes", std::to_string(traffic->routes.size()) } });
    auto catalogue = std::make_shared<ServiceCatalogue>();
    catalogue->version = version;
    for (auto& it : traffic->services) {
        // Whether a request may be retried is set by its route and carried in each request.
        catalogue->services[it.name] = { .name = it.name, .kind = RequestKind::Idempotent, .version = version };
    }
    if (traffic->accounts)
        catalogue->accounts = std::make_shared<AccountTable>(*std::exchange(traffic->accounts, std::nullopt));
    catalogue->routes = std::make_shared<RouteFinder>(std::make_shared<TrafficConfiguration>(std::move(*traffic)));
    auto& status = m_context.status;
    status.catalogue = catalogue;
    status.configurationVersion = version;
    status.document = std::make_shared<const std::string>(std::move(document));
    status.guard = GuardState::Confirmed;
    m_context.metrics.set("berylport_configuration_version", static_cast<double>(version));
    m_context.ports.entry.post(CatalogueChanged { .catalogue = catalogue });
    m_context.ports.target.post(CatalogueChanged { .catalogue = catalogue });
    m_context.ports.quota.post(CatalogueChanged { .catalogue = catalogue });
    if (!before) {
        logEvent(Event::NodeConfirmed, { { "state", std::string(toText(status.guard)) } });
        m_context.ports.entry.post(ServingChanged { .state = status.guard });
        m_context.ports.target.post(ServingChanged { .state = status.guard });
    }
    // Posted last, so that the other tasks have the new version in their mailboxes before gossip advertises it.
    m_context.ports.membership.post(ConfigurationVersionApplied { .version = version });
    return true;
}

void DirectoryTask::applyEvacuation(const ConfigurationSnapshot& snapshot)
{
    const SourcePosition& position = snapshot.position;
    bool hasChanged = snapshot.evacuatedZones
        ? m_evacuation.sourceRead(position.era, position.version, *snapshot.evacuatedZones)
        : m_evacuation.sourceChanged(position.era, position.version, snapshot.evacuationChanges);
    publishEvacuation(hasChanged, "store");
}

void DirectoryTask::publishEvacuation(bool hasChanged, std::string_view origin)
{
    auto report = m_evacuation.report();
    if (report == m_reportedEvacuation && !hasChanged)
        return;
    m_reportedEvacuation = report;
    const EvacuatedZones& held = m_evacuation.held();
    if (hasChanged) {
        std::string names;
        for (auto& it : held.zones)
            names += (names.empty() ? "" : ",") + it.text;
        logEvent(Event::ZonesEvacuated,
            { { "zones", names }, { "version", std::to_string(held.version) }, { "source", std::string(origin) } });
        m_context.metrics.set("berylport_evacuated_zones", static_cast<double>(held.zones.size()));
        m_context.ports.target.post(
            ZoneEvacuationChanged { .isEvacuated = held.contains(m_context.settings.node.zone) });
    }
    m_context.ports.membership.post(EvacuationChanged { .evacuation = held, .isShared = report.has_value() });
}

void DirectoryTask::handle(EvacuationSeen&& seen)
{
    publishEvacuation(m_evacuation.peerReported(seen.evacuation), "peer");
}

void DirectoryTask::handle(PeerVersion&& seen)
{
    std::vector<FollowerAction> actions;
    m_follower.peerReported({ .node = seen.node,
                                .version = seen.version,
                                .confirmation = seen.confirmation,
                                .announcesHere = seen.isInOwnGroup },
        steadyNow(), actions);
    perform(actions);
}

void DirectoryTask::handle(PauseNoticed&& pause)
{
    if (pause.gap < shortPause)
        return;
    m_follower.resumedAfterPause();
    wake();
}

void DirectoryTask::handle(ConfigurationFetched&& fetched)
{
    m_follower.fetchEnded();
    if (!fetched.document.empty())
        applyDocument(std::move(fetched.document), "peer " + toText(fetched.node));
}

void DirectoryTask::handle(ConfigurationFetchFailed&&) { m_follower.fetchEnded(); }

// --- own row and seeds

void DirectoryTask::handle(RecordDeparture&& message)
{
    m_pendingDepartures.push_back(std::move(message.done));
    m_rows.setDeparted(message.departed, steadyNow());
    m_context.ports.membership.post(ReplicateDeparture { .departed = std::move(message.departed) });
    tickRows();
    completeDepartures();
}

void DirectoryTask::completeDepartures()
{
    if (!m_rows.isDurable())
        return;
    for (auto& it : std::exchange(m_pendingDepartures, {}))
        it();
}

void DirectoryTask::tickRows()
{
    storeRefused();
    std::vector<RowAction> actions;
    m_rows.tick(steadyNow(), actions);
    perform(actions);
}

void DirectoryTask::perform(std::vector<RowAction>& actions)
{
    for (auto& action : actions)
        std::visit([this](auto& it) { perform(it); }, action);
}

void DirectoryTask::perform(const ReadRows&)
{
    m_store.rows->list(rowTable, guarded([this](Instant, const StoreResult<ListedRows>& rows) {
        updateStoreReachability(rows.has_value(), "row-list", rows ? std::string_view() : toText(rows.error().code));
        if (rows)
            rowsListed(rows.value());
        else {
            m_context.status.hasRowReadFailed |= !m_context.status.isRowRead;
            m_rows.readFailed(steadyNow());
        }
        tickRows();
    }));
}

void DirectoryTask::perform(const ReadOwnRow&)
{
    m_store.rows->read(rowTable, rowKey(m_context), guarded([this](Instant, const StoreResult<ListedRows>& rows) {
        updateStoreReachability(rows.has_value(), "row-read", rows ? std::string_view() : toText(rows.error().code));
        if (rows)
            ownRowRead(rows.value());
        else
            m_rows.readFailed(steadyNow());
        completeDepartures();
        tickRows();
    }));
}

void DirectoryTask::perform(const WriteRow& action)
{
    m_store.rows->put(rowTable, rowKey(m_context), encodeNodeRow(action.row), action.expectedVersion,
        guarded([this](Instant, const StoreResult<StoredVersion>& stored) {
            bool isConflict = !stored && stored.error().code == StoreErrorCode::Conflict;
            updateStoreReachability(
                stored || isConflict, "row-write", stored ? std::string_view() : toText(stored.error().code));
            if (stored) {
                noteEra(stored.value().era);
                m_rows.written(stored.value().version, stored.value().era, steadyNow());
            } else
                m_rows.writeFailed(isConflict ? WriteFailure::Conflict : WriteFailure::Unknown, steadyNow());
            completeDepartures();
            tickRows();
        }));
}

void DirectoryTask::noteEra(uint64_t era)
{
    if (m_storeEra && era > m_storeEra)
        logEvent(Event::StoreRestored, { { "era", std::to_string(era) }, { "before", std::to_string(m_storeEra) } });
    if (era <= m_storeEra)
        return;
    m_storeEra = era;
    m_rows.eraSeen(era, steadyNow());
    m_context.ports.membership.post(StoreEraSeen { .era = era });
}

void DirectoryTask::handle(StoreEraSeen&& seen) { noteEra(seen.era); }

void DirectoryTask::ownRowRead(const ListedRows& listed)
{
    noteEra(listed.era);
    auto found = m_rows.rowsRead(decodeRows(listed.rows), listed.era, steadyNow());
    if (!found)
        return;
    restoreRefused(*found);
    if (found->departed)
        restoreDeparture(*found->departed);
}

void DirectoryTask::restoreDeparture(const TargetIncarnation& departed)
{
    m_context.ports.target.post(DepartureRestored { .departed = departed, .source = "store" });
    m_context.ports.membership.post(ReplicateDeparture { .departed = departed });
}

void DirectoryTask::restoreRefused(const RowsRead& rows)
{
    auto& suspects = m_context.suspects;
    suspects.restoreRefused(rows.refused, false, steadyNow());
    suspects.restoreRefused(rows.ownRefused, true, steadyNow());
    m_context.ports.membership.post(SuspectsChanged {});
}

void DirectoryTask::storeRefused()
{
    auto& suspects = m_context.suspects;
    if (suspects.revision() == m_storedRevision)
        return;
    m_storedRevision = suspects.revision();
    auto refused = suspects.ownRefused();
    refused.resize(std::min(refused.size(), maximumStoredRefused));
    // The order must not change with each refusal.
    std::ranges::sort(refused);
    m_rows.setRefused(std::move(refused), steadyNow());
}

void DirectoryTask::rowsListed(const ListedRows& listed)
{
    noteEra(listed.era);
    Instant now = steadyNow();
    auto read = m_rows.rowsRead(decodeRows(listed.rows), listed.era, now);
    if (!read)
        return;
    RowsRead found = std::move(*read);
    m_context.status.isRowRead = true;
    logEvent(Event::SeedsFound,
        { { "seeds", std::to_string(found.peers.size()) },
            { "complete", m_rows.isPeerListComplete() ? "yes" : "no" } });
    restoreRefused(found);
    if (found.departed)
        restoreDeparture(*found.departed);
    m_seedsFoundAt = m_seedsFoundAt.value_or(now);
    // Nodes that start later find the row of this node, so this node is the first if there is no other row.
    bool isFirstNode = found.peers.empty() && m_rows.isPeerListComplete();
    m_context.ports.membership.post(SeedsFound { .seeds = std::move(found.peers), .isFirstNode = isFirstNode });
}

void DirectoryTask::wake()
{
    Instant now = steadyNow();
    std::vector<FollowerAction> actions;
    m_follower.tick(now, actions);
    perform(actions);
    if (auto& confirmation = m_follower.confirmation()) {
        m_context.metrics.set("berylport_configuration_confirmed_seconds_ago",
            static_cast<double>(toMilliseconds(now - confirmation->at)) / 1000);
    }
    auto& status = m_context.status;
    // Rows of VMs that no longer exist stay in the store; a node must become ready even if none of its seeds replies.
    status.isDiscoveryDone
        |= m_rows.isPeerListComplete() && m_seedsFoundAt && now - *m_seedsFoundAt >= seedContactTimeout;
    tickRows();
}

void DirectoryTask::handle(BeginDrain&&)
{
    // The row is kept: the next process on this VM reads it.
}

} // namespace Berylport
