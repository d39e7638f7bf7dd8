// Keys, values and transactions of the configuration rows.
#include "Node/ConfigurationTable.h"

#include "Node/DefinitionCodec.h"

#include <charconv>

namespace Berylport {

namespace {

const std::string headKey = "config/head";
const std::string servicePrefix = "config/service/";
const std::string zonePrefix = "config/zone/";
const std::string seedPrefix = "seed/";
constexpr uint32_t scanRows = 1000;

uint64_t parseVersion(std::string_view text)
{
    uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

StoreError makeError(StoreErrorCode code) { return { .code = code }; }

WriteResult resultOf(const StoreError& error)
{
    switch (error.code) {
    case StoreErrorCode::Conflict:
        return WriteResult::HeadMoved;
    case StoreErrorCode::Timeout:
        return WriteResult::Unknown;
    case StoreErrorCode::Unavailable:
    case StoreErrorCode::Throttled:
    case StoreErrorCode::NotFound:
    case StoreErrorCode::Malformed:
    case StoreErrorCode::HistoryLost:
        return WriteResult::Unavailable;
    }
    return WriteResult::Unknown;
}

TableCheck headCheck(uint64_t expected)
{
    if (!expected)
        return { .key = headKey, .requirement = RowAbsent {} };
    return { .key = headKey, .requirement = RowVersionEquals { .version = expected } };
}

} // namespace

void ConfigurationTable::readHead(std::function<void(StoreResult<uint64_t>)> done)
{
    std::weak_ptr<bool> alive = m_alive;
    m_table.get(headKey, [alive, done = std::move(done)](Instant, StoreResult<TableRow> row) {
        if (alive.expired())
            return;
        if (row)
            done(row.value().version);
        else if (row.error().code == StoreErrorCode::NotFound)
            done(uint64_t { 0 });
        else
            done(row.error());
    });
}

void ConfigurationTable::readPages(std::string prefix, std::string after, std::vector<TableRow> rows,
    std::function<void(StoreResult<std::vector<TableRow>>)> done)
{
    std::weak_ptr<bool> alive = m_alive;
    m_table.scan(prefix, scanRows, after,
        [this, alive, prefix, rows = std::move(rows), done = std::move(done)](
            Instant, StoreResult<ScanPage> page) mutable {
            if (alive.expired())
                return;
            if (!page) {
                done(page.error());
                return;
            }
            bool hasMore = page.value().hasMore && !page.value().rows.empty();
            for (auto& it : page.value().rows)
                rows.push_back(std::move(it));
            if (!hasMore) {
                done(std::move(rows));
                return;
            }
            std::string last = rows.back().key;
            readPages(prefix, last, std::move(rows), std::move(done));
        });
}

void ConfigurationTable::readAll(std::function<void(StoreResult<ConfigurationDelta>)> done)
{
    readHead([this, done = std::move(done)](StoreResult<uint64_t> before) {
        if (!before) {
            done(before.error());
            return;
        }
        uint64_t head = before.value();
        readPages(servicePrefix, "", {}, [this, head, done](StoreResult<std::vector<TableRow>> rows) {
            if (!rows) {
                done(rows.error());
                return;
            }
            ConfigurationDelta delta { .baseVersion = 0, .version = head };
            for (auto& it : rows.value()) {
                auto definition = decodeDefinition(it.value);
                if (!definition) {
                    done(makeError(StoreErrorCode::Malformed));
                    return;
                }
                delta.changed.push_back(*definition);
            }
            readHead([head, delta = std::move(delta), done](StoreResult<uint64_t> after) {
                if (!after)
                    done(after.error());
                else if (after.value() != head)
                    done(makeError(StoreErrorCode::Conflict));
                else
                    done(delta);
            });
        });
    });
}

void ConfigurationTable::readForChange(const ServiceName& service,
    std::function<void(StoreResult<std::pair<uint64_t, std::optional<ServiceDefinition>>>)> done)
{
    // The head is read first: a change between both reads moves it, and the conditional write then fails.
    readHead([this, service, done = std::move(done)](StoreResult<uint64_t> head) {
        if (!head) {
            done(head.error());
            return;
        }
        std::weak_ptr<bool> alive = m_alive;
        m_table.get(
            servicePrefix + service.text, [alive, head = head.value(), done](Instant, StoreResult<TableRow> row) {
                if (alive.expired())
                    return;
                std::optional<ServiceDefinition> definition;
                if (row)
                    definition = decodeDefinition(row.value().value);
                else if (row.error().code != StoreErrorCode::NotFound) {
                    done(row.error());
                    return;
                }
                done(std::pair(head, definition));
            });
    });
}

void ConfigurationTable::write(const WriteChange& change, std::function<void(WriteResult)> done)
{
    Transaction transaction { .token = change.token, .checks = { headCheck(change.expectedHead) } };
    // The value is not read; writing the row increments its version.
    transaction.puts.push_back({ .key = headKey, .value = change.token });
    std::visit(Overloaded {
                   [&](const PutService& it) {
                       transaction.puts.push_back({ .key = servicePrefix + it.definition.name.text,
                           .value = encodeDefinition(it.definition) });
                   },
                   [&](const RemoveService& it) { transaction.deletes.push_back(servicePrefix + it.name.text); },
               },
        change.change);
    std::weak_ptr<bool> alive = m_alive;
    m_table.transact(
        std::move(transaction), [alive, done = std::move(done)](Instant, StoreResult<TransactionResult> result) {
            if (alive.expired())
                return;
            done(result ? WriteResult::Written : resultOf(result.error()));
        });
}

void ConfigurationTable::transact(Transaction transaction, std::function<void(StoreResult<Done>)> done)
{
    std::weak_ptr<bool> alive = m_alive;
    m_table.transact(
        std::move(transaction), [alive, done = std::move(done)](Instant, StoreResult<TransactionResult> result) {
            if (alive.expired())
                return;
            if (result)
                done(Done {});
            else
                done(result.error());
        });
}

void ConfigurationTable::readZones(std::function<void(StoreResult<std::vector<ZoneConfirmation>>)> done)
{
    readPages(zonePrefix, "", {}, [done = std::move(done)](StoreResult<std::vector<TableRow>> rows) {
        if (!rows) {
            done(rows.error());
            return;
        }
        std::vector<ZoneConfirmation> zones;
        for (auto& it : rows.value()) {
            zones.push_back({ .zone = ZoneName(std::string_view(it.key).substr(zonePrefix.size())),
                .version = parseVersion(it.value) });
        }
        done(std::move(zones));
    });
}

void ConfigurationTable::confirmZone(
    const ZoneName& zone, uint64_t version, std::string token, std::function<void(StoreResult<Done>)> done)
{
    std::string key = zonePrefix + zone.text;
    std::weak_ptr<bool> alive = m_alive;
    m_table.get(key, [this, alive, key, version, token, done = std::move(done)](Instant, StoreResult<TableRow> row) {
        if (alive.expired())
            return;
        if (!row && row.error().code != StoreErrorCode::NotFound) {
            done(row.error());
            return;
        }
        if (row && parseVersion(row.value().value) >= version) {
            done(Done {});
            return;
        }
        TableCheck check { .key = key, .requirement = RowAbsent {} };
        if (row)
            check.requirement = RowVersionEquals { .version = row.value().version };
        Transaction transaction {
            .token = token, .checks = { check }, .puts = { { .key = key, .value = std::to_string(version) } }
        };
        transact(std::move(transaction), done);
    });
}

void ConfigurationTable::removeZone(
    const ZoneName& zone, std::string token, std::function<void(StoreResult<Done>)> done)
{
    Transaction transaction { .token = std::move(token), .deletes = { zonePrefix + zone.text } };
    transact(std::move(transaction), std::move(done));
}

void ConfigurationTable::writeSeed(
    NodeId node, const Endpoint& gossip, std::string token, std::function<void(StoreResult<Done>)> done)
{
    Transaction transaction { .token = std::move(token),
        .puts = { { .key = seedPrefix + toText(node), .value = toText(gossip) } } };
    transact(std::move(transaction), std::move(done));
}

void ConfigurationTable::removeSeed(NodeId node, std::string token)
{
    // The result is ignored: a stale seed row only costs a joining node one unanswered ping.
    m_table.transact({ .token = std::move(token), .deletes = { seedPrefix + toText(node) } },
        [](Instant, const StoreResult<TransactionResult>&) {});
}

void ConfigurationTable::readSeeds(std::function<void(StoreResult<std::vector<std::pair<NodeId, Endpoint>>>)> done)
{
    readPages(seedPrefix, "", {}, [done = std::move(done)](StoreResult<std::vector<TableRow>> rows) {
        if (!rows) {
            done(rows.error());
            return;
        }
        std::vector<std::pair<NodeId, Endpoint>> seeds;
        for (auto& it : rows.value()) {
            auto node = parseNodeId(std::string_view(it.key).substr(seedPrefix.size()));
            auto endpoint = parseEndpoint(it.value);
            if (node && endpoint)
                seeds.emplace_back(*node, *endpoint);
        }
        done(std::move(seeds));
    });
}

} // namespace Berylport
