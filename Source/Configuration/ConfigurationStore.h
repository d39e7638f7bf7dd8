// The configuration in force on this node. Its version only grows.
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
    // The version held is the same or newer; nothing was changed.
    NotNewer,
    // The delta starts above the version held, so a change in between would be missed.
    Gap,
    // A definition breaks a rule, or has a version outside the delta's.
    Malformed,
};

std::string_view toText(ApplyResult);

class ConfigurationStore {
public:
    struct Options {
        // Removals kept for deltas; a peer that is further behind gets the whole configuration.
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

    // All of the delta or none of it.
    ApplyResult apply(const ConfigurationDelta&);

    // What a node that holds the given version lacks. A whole configuration when the version is zero or too old.
    ConfigurationDelta deltaSince(uint64_t version) const;

    uint64_t version() const { return m_version; }
    const ServiceDefinition* find(const ServiceName&) const;
    const std::map<ServiceName, ServiceDefinition>& definitions() const { return m_definitions; }

private:
    bool isWellFormed(const ConfigurationDelta&) const;
    void remember(const RemovedService&);

    Options m_options;
    uint64_t m_version { 0 };
    std::map<ServiceName, ServiceDefinition> m_definitions;
    // In order of version. Removals up to m_forgottenVersion are no longer held.
    std::vector<RemovedService> m_removals;
    uint64_t m_forgottenVersion { 0 };
};

} // namespace Berylport
