// Interfaces of the store that all nodes and the operators share. Implemented by an adapter for the environment that
// the node runs in.
#pragma once

#include "Configuration/Configuration.h"
#include "Node/Dialect.h"
#include "Settings/Settings.h"
#include "Store/Store.h"
#include "Traffic/Traffic.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace Berylport {

// Durable key-value rows that the nodes write.
//
// Each result names the era of the store, which rises each time the store has lost changes that it had acknowledged;
// zero if the store does not tell. Row versions of an earlier era may be given out again.
struct ListedRows {
    std::vector<TableRow> rows;
    uint64_t era { 0 };
};

struct StoredVersion {
    uint64_t version { 0 };
    uint64_t era { 0 };
};

class RowStore {
public:
    virtual ~RowStore() = default;
    virtual void list(std::string table, Completion<ListedRows>) = 0;
    // One row, or none if there is no such row.
    virtual void read(std::string table, std::string key, Completion<ListedRows>) = 0;
    // Conditional write: fails with Conflict unless the row has the expected version; zero means that the row must not
    // exist. Completes with the new version.
    virtual void put(
        std::string table, std::string key, std::string value, uint64_t expectedVersion, Completion<StoredVersion>)
        = 0;
};

// The configuration document written by operators, at one position in the history of the source.
struct ConfigurationSnapshot {
    // Absent if the document has not changed since the requested position, or was never written.
    std::optional<std::string> document;
    SourcePosition position;
    // All evacuated zones; absent in the answer to a long poll.
    std::optional<std::vector<ZoneName>> evacuatedZones {};
    // Since the position of the long poll, in order.
    std::vector<EvacuationChange> evacuationChanges {};
};

class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    virtual void read(Completion<ConfigurationSnapshot>) = 0;
    // Long poll: completes as soon as there is a change after the position, or when the wait time has elapsed. Fails
    // with HistoryLost if the source no longer has the changes after the position.
    virtual void follow(uint64_t position, Duration wait, Completion<ConfigurationSnapshot>) = 0;
    // Returns nothing if the document is invalid.
    virtual std::optional<TrafficConfiguration> decode(std::string_view document) const = 0;
};

struct SharedStore {
    std::unique_ptr<RowStore> rows;
    std::unique_ptr<ConfigurationSource> configuration;
};

// Connects a node with its environment.
struct NodeAdapter {
    std::shared_ptr<const Dialect> dialect;
    // Empty for nodes that are configured through the native table.
    std::function<SharedStore(event_base*, const NodeSettings&, uint64_t seed)> connectStore;
};

} // namespace Berylport
