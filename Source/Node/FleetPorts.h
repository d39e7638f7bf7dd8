// What a node needs of a store that all nodes and the operators share. Implemented by an adapter for the environment
// that the node runs in.
#pragma once

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

// Small durable rows of the product's own.
class SharedRows {
public:
    virtual ~SharedRows() = default;
    virtual void list(std::string table, Completion<std::vector<TableRow>>) = 0;
    // Conflict unless the row has the expected version, zero meaning that there is none. Completes with the new
    // version.
    virtual void put(
        std::string table, std::string key, std::string value, uint64_t expectedVersion, Completion<uint64_t>)
        = 0;
};

// What the operators have written, as of one position in the source's history.
struct ConfigurationSnapshot {
    // Absent when it has not changed since the position asked for, or was never written.
    std::optional<std::string> document;
    uint64_t position { 0 };
};

class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    virtual void read(Completion<ConfigurationSnapshot>) = 0;
    // Answers as soon as something changes after the position, or when the time is over. HistoryLost when the source no
    // longer knows what came after the position.
    virtual void follow(uint64_t position, Duration wait, Completion<ConfigurationSnapshot>) = 0;
    // Nothing when the document cannot be used.
    virtual std::optional<TrafficConfiguration> decode(std::string_view document) const = 0;
};

struct StorePorts {
    std::unique_ptr<SharedRows> rows;
    std::unique_ptr<ConfigurationSource> configuration;
};

// How a node meets its environment.
struct NodeAdapter {
    std::shared_ptr<const Dialect> dialect;
    // Empty for nodes that are configured through the product's own table.
    std::function<StorePorts(event_base*, const NodeSettings&, uint64_t seed)> connectStore;
};

} // namespace Berylport
