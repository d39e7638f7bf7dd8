// The rows of the platform's table that hold configuration, zones and seeds, and the operations on them.
#pragma once

#include "Configuration/Configuration.h"
#include "Store/Store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Berylport {

// Every answer comes later than its question; none comes after destruction.
class ConfigurationTable {
public:
    explicit ConfigurationTable(TableClient& table)
        : m_table(table)
    {
    }

    // The version of the head row is the configuration version; zero while nothing was ever configured.
    void readHead(std::function<void(StoreResult<uint64_t>)>);
    // The whole configuration of one version. Fails as Conflict when a change came in between.
    void readAll(std::function<void(StoreResult<ConfigurationDelta>)>);
    void readForChange(
        const ServiceName&, std::function<void(StoreResult<std::pair<uint64_t, std::optional<ServiceDefinition>>>)>);
    void write(const WriteChange&, std::function<void(WriteResult)>);

    void readZones(std::function<void(StoreResult<std::vector<ZoneConfirmation>>)>);
    // Only raises the confirmed version. The token must be new for each call.
    void confirmZone(const ZoneName&, uint64_t version, std::string token, std::function<void(StoreResult<Done>)>);
    void removeZone(const ZoneName&, std::string token, std::function<void(StoreResult<Done>)>);

    void writeSeed(NodeId, const Endpoint& gossip, std::string token, std::function<void(StoreResult<Done>)>);
    void removeSeed(NodeId, std::string token);
    void readSeeds(std::function<void(StoreResult<std::vector<std::pair<NodeId, Endpoint>>>)>);

private:
    void transact(Transaction, std::function<void(StoreResult<Done>)>);
    void readPages(std::string prefix, std::string after, std::vector<TableRow> rows,
        std::function<void(StoreResult<std::vector<TableRow>>)>);

    TableClient& m_table;
    // Callbacks of the table hold a weak reference to it.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport
