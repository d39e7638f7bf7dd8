// The configuration tree of one node. Each default stands beside its member; ranges and units are in SettingsSchema.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Berylport {

struct NodeSection {
    ZoneName zone;
    RegionName region;
    // Stable name of the VM; the key of this node's row in the shared store.
    std::string name {};
    // Service of the target on this VM. Targets of other VMs are told that calls which enter here come from it.
    std::string service {};
    // The whole system starts for the first time, so the shared store holds no row of this VM yet.
    bool isFirstStart { false };
};

struct ListenSection {
    // Callers' HTTP.
    Endpoint caller { .address = "127.0.0.1", .port = 7080 };
    // Targets on this VM announce themselves here; also serves the measures page. Loopback only.
    Endpoint local { .address = "127.0.0.1", .port = 7081 };
    Endpoint operators { .address = "127.0.0.1", .port = 7082 };
    // Other nodes reach these two, so they hold the VM's own IP number.
    Endpoint peer { .address = "127.0.0.1", .port = 7083 };
    Endpoint gossip { .address = "127.0.0.1", .port = 7084 };
    // Answers 200 while this node wants new callers.
    std::optional<Endpoint> readiness;
    // The measures page, besides the local address.
    std::optional<Endpoint> metrics;
    // What other nodes are told instead, where an address translator stands between.
    std::optional<Endpoint> peerAdvertised;
    std::optional<Endpoint> gossipAdvertised;
};

struct PlatformSection {
    std::optional<Endpoint> table;
    std::optional<Endpoint> objects;
    // Store of rows that operators write to; it takes the place of the table and the object store.
    std::optional<Endpoint> store;
    Duration timeout { std::chrono::milliseconds(500) };
    // This node's part of the fleet's store writes.
    uint32_t writesPerSecond { 20 };
};

struct MembershipSection {
    // Gossip endpoints asked first; the table's seed rows are asked as well.
    std::vector<Endpoint> seeds;
    Duration probeInterval { std::chrono::milliseconds(500) };
    Duration suspicionTime { std::chrono::seconds(5) };
    // Name of the system that this node belongs to; nodes of others are ignored. Empty: the addresses of the store,
    // which all nodes of a system share, identify it.
    std::string system {};
};

struct CallerSection {
    uint32_t maximumConnections { 1000 };
    uint32_t maximumHeaderBytes { 16 * 1024 };
    uint32_t maximumBodyBytes { 1024 * 1024 };
    Duration readTimeout { std::chrono::seconds(10) };
    Duration idleTimeout { std::chrono::seconds(60) };
    // Requests of one connection that may be read while an earlier one of it has no answer.
    uint32_t pipelinedRequests { 16 };
};

struct TargetSection {
    uint32_t maximumConnections { 250 };
    uint32_t maximumAnswerBytes { 4 * 1024 * 1024 };
    Duration connectTimeout { std::chrono::milliseconds(500) };
    // An announcement that has not been renewed for this long has lapsed.
    Duration announcementTimeout { std::chrono::seconds(6) };
};

struct RoutingSection {
    // fresh-load, two-choices, least-reported, round-robin or random.
    std::string policy { "fresh-load" };
    // What a round trip to another zone of the region costs.
    Duration crossZoneRoundTrip { std::chrono::milliseconds(3) };
    // A target of another zone must be expected to answer this many times sooner than one of the own zone.
    double otherZoneFactor { 1 };
};

struct RetrySection {
    // Further attempts that may reach targets, as a share of the calls; all nodes together stay below it.
    double share { 0.1 };
    // Further attempts beyond the share that the whole fleet may make within the window. Zero: each node has a budget
    // of its own.
    double fleetExtra { 0 };
    Duration window { std::chrono::seconds(10) };
    // Idempotent calls are tried again after a target's own failure.
    bool serverErrors { false };
};

struct MeasureSection {
    // Share of the calls' own bytes, and of one core.
    double byteShare { 0.01 };
    double cpuShare { 0.005 };
    // Reads of the health path of a target that reports the speed of its VM, while calls arrive for it. They stay on
    // the VM. Zero: health is read within the budget above only.
    uint32_t loadReadsPerSecond { 0 };
};

struct MemorySection {
    // What this process may take. Zero: what the VM has. The parts that hold requests and answers are bounded by it.
    uint32_t limitMegabytes { 0 };
};

// How far client accounts may exceed their limits: by a share of what they allow in the window, plus some requests. It
// is used up by accounts whose requests are spread unevenly over nodes and time.
struct QuotaSection {
    double excess { 0 };
    double slack { 0 };
    Duration window { std::chrono::seconds(5) };
};

struct LogSection {
    std::string level { "info" };
    // Empty: standard error only, as the VMs have no disks.
    std::string file;
};

struct TraceSection {
    // "none", "stderr" or a path that gets one JSON object a line.
    std::string output { "none" };
};

struct ShutdownSection {
    // Above the longest caller wait of 5 minutes, so that no call in flight is cut off by it.
    Duration drainLimit { std::chrono::seconds(330) };
    // The environment kills the process this long after SIGTERM; zero when it does not.
    Duration killTime {};
    // Callers are still accepted for this long after readiness has ended, until all have noticed.
    Duration noticeTime {};
};

struct NodeSettings {
    NodeSection node;
    ListenSection listen;
    PlatformSection platform;
    MembershipSection membership;
    CallerSection caller;
    TargetSection target;
    RoutingSection routing;
    RetrySection retry;
    MeasureSection measure;
    MemorySection memory;
    QuotaSection quota;
    LogSection log;
    TraceSection trace;
    ShutdownSection shutdown;
};

} // namespace Berylport
