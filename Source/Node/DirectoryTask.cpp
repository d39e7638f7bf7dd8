#include "Node/DirectoryTask.h"

#include "Log/Log.h"

#include <algorithm>

namespace Berylport {

namespace {

const std::string rowTable = "nodes";
// Failed writes and reads of rows are repeated after this time.
constexpr Duration rowRetryInterval = std::chrono::milliseconds(500);
// Rows are read again this often until another node has answered.
constexpr Duration seedInterval = std::chrono::seconds(1);
// Nodes whose rows were read long ago without an answer from any of them are taken to be gone.
constexpr Duration seedPatience = std::chrono::seconds(1);
// Nodes of a zone that follow the store. With one of them dead and not noticed yet, two are left.
constexpr ptrdiff_t readersPerZone = 3;
constexpr Duration wakeInterval = std::chrono::milliseconds(100);

} // namespace

DirectoryTask::DirectoryTask(NodeContext& context)
    : Task(context.loop, "directory")
    , m_context(context)
    , m_mailbox(context.loop, guarded([this](ConfigurationMessage&& message) {
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
    }))
    , m_store(context.adapter.connectStore(context.loop.base(), context.settings, context.seed))
    , m_follower({ .seed = context.seed ^ 0xD1EC7 })
    , m_timer(context.loop, guarded([this] { wake(); }))
{
    const ListenSection& listen = context.settings.listen;
    m_row.node = context.self;
    m_row.gossip = listen.gossipAdvertised.value_or(listen.gossip);
}

DirectoryTask::~DirectoryTask() = default;

void DirectoryTask::start()
{
    m_context.ports.configuration.attach(&m_mailbox);
    std::vector<FollowerAction> actions;
    m_follower.start(steadyNow(), actions);
    perform(actions);
    m_timer.startPeriodic(wakeInterval);
    wake();
}

void DirectoryTask::stop() noexcept
{
    m_context.ports.configuration.detach();
    m_timer.stop();
}

std::string DirectoryTask::rowKey() const
{
    const std::string& name = m_context.settings.node.name;
    return name.empty() ? toText(m_context.self) : name;
}

void DirectoryTask::noteStore(bool isReachable, std::string_view operation, std::string_view reason)
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
}

void DirectoryTask::perform(const ReadSource&)
{
    m_store.configuration->read(
        guarded([this](Instant, const StoreResult<ConfigurationSnapshot>& snapshot) { sourceAnswered(snapshot); }));
}

void DirectoryTask::perform(const FollowSource& action)
{
    m_store.configuration->follow(action.position, action.wait,
        guarded([this](Instant, const StoreResult<ConfigurationSnapshot>& snapshot) { sourceAnswered(snapshot); }));
}

void DirectoryTask::perform(const FetchFromPeer& action)
{
    if (!m_context.ports.link.post(FetchConfiguration { .node = action.node, .since = m_follower.version() }))
        m_follower.fetchEnded();
}

void DirectoryTask::sourceAnswered(const StoreResult<ConfigurationSnapshot>& snapshot)
{
    std::vector<FollowerAction> actions;
    if (snapshot) {
        noteStore(true, "configuration", {});
        if (snapshot.value().document)
            adopt(*snapshot.value().document, "store");
        m_follower.sourceAnswered(snapshot.value().position, steadyNow(), actions);
    } else if (snapshot.error().code == StoreErrorCode::HistoryLost) {
        logEvent(Event::ConfigurationHistoryLost);
        m_follower.historyLost(steadyNow(), actions);
    } else {
        noteStore(false, "configuration", toText(snapshot.error().code));
        m_follower.sourceFailed(steadyNow());
    }
    perform(actions);
}

void DirectoryTask::adopt(std::string document, std::string_view origin)
{
    auto traffic = m_store.configuration->decode(document);
    if (!traffic) {
        logEvent(Event::ConfigurationMalformed, { { "source", std::string(origin) } });
        return;
    }
    uint64_t before = m_follower.version();
    uint64_t version = traffic->version;
    if (!m_follower.adopt(version))
        return;
    logEvent(Event::ConfigurationApplied,
        { { "version", std::to_string(version) }, { "before", std::to_string(before) },
            { "source", std::string(origin) }, { "routes", std::to_string(traffic->routes.size()) } });
    auto catalogue = std::make_shared<ServiceCatalogue>();
    catalogue->version = version;
    for (auto& it : traffic->services) {
        // What may be repeated is the route's to say; each request carries it.
        catalogue->services[it.name] = { .name = it.name, .kind = RequestKind::Idempotent, .version = version };
    }
    catalogue->routes = std::make_shared<RouteFinder>(std::make_shared<TrafficConfiguration>(std::move(*traffic)));
    auto& status = m_context.status;
    status.catalogue = catalogue;
    status.configurationVersion = version;
    status.document = std::make_shared<const std::string>(std::move(document));
    status.guard = GuardState::Confirmed;
    m_context.metrics.set("berylport_configuration_version", static_cast<double>(version));
    m_context.ports.entry.post(CatalogueChanged { .catalogue = catalogue });
    m_context.ports.target.post(CatalogueChanged { .catalogue = catalogue });
    if (!before) {
        logEvent(Event::NodeConfirmed, { { "state", std::string(toText(status.guard)) } });
        m_context.ports.entry.post(ServingChanged { .state = status.guard });
        m_context.ports.target.post(ServingChanged { .state = status.guard });
    }
    // The other tasks have the new version in their mailboxes before any node can be told of it.
    m_context.ports.membership.post(VersionInForce { .version = version });
}

void DirectoryTask::handle(PeerVersion&& seen)
{
    std::vector<FollowerAction> actions;
    m_follower.peerHolds(seen.node, seen.version, steadyNow(), actions);
    perform(actions);
}

void DirectoryTask::handle(ZoneMembersChanged&& message)
{
    // The list is sorted, so all nodes of the zone choose the same readers.
    auto position = std::ranges::find(message.present, m_context.self) - message.present.begin();
    m_follower.setReader(position < readersPerZone, steadyNow());
}

void DirectoryTask::handle(ConfigurationFetched&& fetched)
{
    m_follower.fetchEnded();
    if (!fetched.document.empty())
        adopt(std::move(fetched.document), "peer " + toText(fetched.node));
}

void DirectoryTask::handle(ConfigurationFetchFailed&&) { m_follower.fetchEnded(); }

// --- own row and seeds

void DirectoryTask::handle(RecordDeparture&& message)
{
    m_row.departed = std::move(message.departed);
    m_isRowStale = true;
    m_waitingForRow.push_back(std::move(message.done));
    m_nextWrite = steadyNow();
    writeRow();
}

void DirectoryTask::writeRow()
{
    Instant now = steadyNow();
    // Until the row of an earlier process is known it must not be overwritten: it may hold a departure.
    bool isDue = m_isRowStale && m_isRowRead && !m_isWritingRow && now >= m_nextWrite;
    if (!isDue)
        return;
    m_isWritingRow = true;
    m_isRowStale = false;
    auto waiting = std::make_shared<std::vector<std::function<void()>>>(std::exchange(m_waitingForRow, {}));
    m_store.rows->put(
        rowTable, rowKey(), encodeNodeRow(m_row), guarded([this, waiting](Instant, const StoreResult<Done>& result) {
            noteStore(result.has_value(), "row-write", result ? std::string_view() : toText(result.error().code));
            if (result) {
                for (auto& it : *waiting)
                    it();
            } else
                m_waitingForRow.insert(m_waitingForRow.begin(), waiting->begin(), waiting->end());
            rowWritten(result.has_value());
        }));
}

void DirectoryTask::rowWritten(bool isDone)
{
    m_isWritingRow = false;
    if (!isDone) {
        m_isRowStale = true;
        m_nextWrite = steadyNow() + rowRetryInterval;
    }
    writeRow();
}

void DirectoryTask::listRows()
{
    if (m_isListing || steadyNow() < m_nextList)
        return;
    m_isListing = true;
    m_store.rows->list(rowTable, guarded([this](Instant, const StoreResult<std::vector<TableRow>>& rows) {
        m_isListing = false;
        noteStore(rows.has_value(), "row-list", rows ? std::string_view() : toText(rows.error().code));
        m_nextList = steadyNow() + (rows ? seedInterval : rowRetryInterval);
        if (rows)
            rowsListed(rows.value());
    }));
}

void DirectoryTask::rowsListed(const std::vector<TableRow>& rows)
{
    SeedsFound found;
    for (auto& it : rows) {
        auto row = decodeNodeRow(it.value);
        if (!row) {
            logEvent(Event::RowMalformed, { { "key", it.key } });
            continue;
        }
        if (it.key != rowKey()) {
            found.seeds.push_back(row->gossip);
            continue;
        }
        if (!m_isRowRead && row->departed && !m_row.departed) {
            m_row.departed = row->departed;
            m_context.ports.target.post(DepartureRestored { .departed = *row->departed });
        }
    }
    m_isRowRead = true;
    writeRow();
    Instant now = steadyNow();
    m_firstListed = m_firstListed.value_or(now);
    if (m_context.status.isDiscoveryDone)
        return;
    logEvent(Event::SeedsFound, { { "seeds", std::to_string(found.seeds.size()) } });
    // The others may be about to write their rows, so a node is alone only when that holds for a while.
    found.isFirstNode = found.seeds.empty() && now - *m_firstListed >= seedPatience;
    m_context.ports.membership.post(std::move(found));
}

void DirectoryTask::wake()
{
    Instant now = steadyNow();
    std::vector<FollowerAction> actions;
    m_follower.tick(now, actions);
    perform(actions);
    auto& status = m_context.status;
    // Rows of machines that are gone stay in the store; a node whose seeds are all gone must serve nevertheless.
    bool areSeedsGone = m_firstListed && now - *m_firstListed >= 2 * seedPatience;
    if (!m_isRowRead || (!status.isDiscoveryDone && !areSeedsGone))
        listRows();
    else
        status.isDiscoveryDone = true;
    writeRow();
}

void DirectoryTask::handle(BeginDrain&&)
{
    // The row stays: the next process on this VM reads it.
}

} // namespace Berylport
