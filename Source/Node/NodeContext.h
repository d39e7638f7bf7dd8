// What all tasks of one node share: identity, settings, ports, measures and the tracer.
#pragma once

#include "Base/Base.h"
#include "Loop/Loop.h"
#include "Metrics/Metrics.h"
#include "Node/FleetPorts.h"
#include "Node/NodeMessages.h"
#include "Settings/Settings.h"

#include <memory>
#include <opentracing/tracer.h>

namespace Berylport {

// State that operators ask for; each member is written by the task that owns it.
struct NodeStatus {
    GuardState guard { GuardState::Unconfirmed };
    bool isDraining { false };
    // When a shutdown that has begun ends the process, whatever still runs; nothing while it waits for all.
    std::optional<Instant> processEnds;
    bool isStoreReachable { false };
    bool isCoordinator { false };
    // This node knows the members as another one does, or knows that there is none.
    bool isDiscoveryDone { false };
    // A first answer of a member has come; it tells what earlier processes on this VM had acknowledged.
    bool hasMetMembers { false };
    // So does the row of this VM in the shared store, which has been read.
    bool isRowRead { false };
    // Members, and so targets, may be missing.
    bool isViewPartial { true };
    // Nodes that may exist: members and rows at which nobody has answered yet.
    size_t knownNodes { 0 };
    uint64_t configurationVersion { 0 };
    std::vector<MemberRecord> members;
    std::vector<TargetRecord> targets;
    CataloguePointer catalogue;
    // Owned by the configuration task; null until it runs.
    const ConfigurationStore* configuration { nullptr };
    // The configuration in force as its source wrote it; null when there is none or it comes from the own table.
    std::shared_ptr<const std::string> document;
    Instant startedAt;
    // In-flight work by task; a drain is complete when all are zero.
    size_t entryCalls { 0 };
    size_t admittedCalls { 0 };
    size_t runningActions { 0 };
    // Latest deadline of the calls that run on the targets of this VM; the zero instant when none runs.
    Instant latestRunningDeadline;
};

struct NodeContext {
    EventLoop& loop;
    const NodeSettings& settings;
    const NodeAdapter& adapter;
    NodeId self;
    // Drawn at random at the start; parts of the node derive their own seeds from it.
    uint64_t seed { 0 };
    NodePorts ports;
    MetricRegistry metrics;
    std::shared_ptr<opentracing::Tracer> tracer;
    NodeStatus status;
};

} // namespace Berylport
