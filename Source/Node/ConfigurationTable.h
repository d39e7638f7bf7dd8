// Reads and writes the rows of the platform's table that hold the configuration, zone confirmations and gossip seeds.
#pragma once

#include "Configuration/Configuration.h"
#include "Store/Store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Berylport {

// Callbacks are always invoked asynchronously, and never after destruction.
class ConfigurationTable {
public:
    explicit ConfigurationTable(TableClient& table)
        : m_table(table)
    {
    }

    // Reads the configuration version, which is the row version of the head row. Zero if nothing was ever configured.
    void readHead(std::function<void(StoreResult<uint64_t>)>);
    // Reads the complete configuration of one version. Fails with Conflict if it changes during the read.
    void readAll(std::function<void(StoreResult<ConfigurationDelta>)>);
    void readForChange(
        const ServiceName&, std::function<void(StoreResult<std::pair<uint64_t, std::optional<ServiceDefinition>>>)>);
    void write(const WriteChange&, std::function<void(WriteResult)>);

    void readZones(std::function<void(StoreResult<std::vector<ZoneConfirmation>>)>);
    // Never lowers the confirmed version. The token must be unique for each call.
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
    // Liveness flag: callbacks hold a weak reference and do nothing once it has expired.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport
