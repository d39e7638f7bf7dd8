// The configuration in effect on this node. Its version increases monotonically.
#pragma once

#include "Base/ConfigurationDelta.h"

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace Berylport {

enum class ApplyResult : uint8_t {
    Applied,
    // The held version is the same or newer; nothing was changed.
    NotNewer,
    // The delta's base version is above the held version, so intermediate changes would be lost.
    Gap,
    // A definition is invalid or has a version outside the delta's range.
    Malformed,
};

std::string_view toText(ApplyResult);

class ConfigurationStore {
public:
    struct Options {
        // Number of removals kept for deltas; a peer that lags further behind gets a full snapshot.
        size_t maximumRemovals { 1000 };
    };

    ConfigurationStore()
        : ConfigurationStore(Options {})
    {
    }
    explicit ConfigurationStore(const Options& options)
        : m_options(options)
    {
    }

    // Applies the delta atomically.
    ApplyResult apply(const ConfigurationDelta&);

    // Returns the changes since the given version, or a full snapshot when it is zero or older than the removals kept.
    ConfigurationDelta deltaSince(uint64_t version) const;

    uint64_t version() const { return m_version; }
    const ServiceDefinition* find(const ServiceName&) const;
    const std::map<ServiceName, ServiceDefinition>& definitions() const { return m_definitions; }

private:
    bool isWellFormed(const ConfigurationDelta&) const;
    void applyRemoval(const RemovedService&);

    Options m_options;
    uint64_t m_version { 0 };
    std::map<ServiceName, ServiceDefinition> m_definitions;
    // Ordered by version. Removals up to m_truncatedVersion have been discarded.
    std::vector<RemovedService> m_removals;
    uint64_t m_truncatedVersion { 0 };
};

} // namespace Berylport
