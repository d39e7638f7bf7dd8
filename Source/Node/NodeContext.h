// State shared by all tasks of one node: identity, settings, ports, metrics and the tracer.
#pragma once

#include "Base/Base.h"
#include "Loop/Loop.h"
#include "Metrics/Metrics.h"
#include "Node/NodeAdapter.h"
#include "Node/NodeMessages.h"
#include "Node/ShutdownWindow.h"
#include "Settings/Settings.h"
#include "Suspects/Suspects.h"

#include <memory>
#include <opentracing/tracer.h>

namespace Berylport {

// State that operators can query. Each member is written by the task that owns it.
struct NodeStatus {
    GuardState guard { GuardState::Unconfirmed };
    bool isDraining { false };
    // Set while a shutdown is in progress that ends the process even if calls are still running.
    std::optional<ShutdownWindow> shutdown;
    bool isStoreReachable { false };
    bool isCoordinator { false };
    // This node has as complete a view of the members as another node, or knows that there is no other node.
    bool isDiscoveryDone { false };
    // A member has replied for the first time. The reply includes the target departure that earlier processes on this
    // VM acknowledged.
    bool hasJoined { false };
    // The row of this VM in the shared store, which includes the same information, has been read.
    bool isRowRead { false };
    // Reading it has failed at least once before.
    bool hasRowReadFailed { false };
    // Members, and therefore targets, may be missing from the view.
    bool isViewPartial { true };
    // Upper bound of the number of nodes: members, and rows whose node has not replied yet.
    size_t knownNodes { 0 };
    uint64_t configurationVersion { 0 };
    // Latest confirmation that no newer version exists; unset if unknown. Written by the directory task.
    std::optional<SourceConfirmation> confirmation;
    std::vector<MemberRecord> members;
    std::vector<TargetRecord> targets;
    // Zones whose targets get no calls. Written by the membership task as it publishes the targets.
    EvacuatedZones evacuation;
    CataloguePointer catalogue;
    // Owned by the configuration task; null while the task is not running.
    const ConfigurationStore* configuration { nullptr };
    // Original document of the active configuration; null if there is none or it comes from the native table.
    std::shared_ptr<const std::string> document;
    Instant startedAt;
    // In-flight work of each task; a drain is complete when all are zero.
    size_t entryCalls { 0 };
    size_t admittedCalls { 0 };
    size_t runningActions { 0 };
    // Latest deadline of the calls running on the targets of this VM; the zero instant if none is running.
    Instant latestRunningDeadline;
};

struct NodeContext {
    EventLoop& loop;
    const NodeSettings& settings;
    const NodeAdapter& adapter;
    NodeId self;
    // Random seed of this process; components derive their own seeds from it.
    uint64_t seed { 0 };
    NodePorts ports;
    MetricRegistry metrics;
    std::shared_ptr<opentracing::Tracer> tracer;
    NodeStatus status;
    // Requests under which targets end, here or at other nodes.
    SuspectTable suspects;
    // Limits of client accounts. The entry task asks it, the quota task drives it.
    QuotaLimiter quota { { .self = self, .seed = seed ^ 0x0007A }, steadyNow() };
};

} // namespace Berylport
