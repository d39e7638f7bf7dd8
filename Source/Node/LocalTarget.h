// State of one service on this VM: its admission controller, the connection to its target, and the last announcement.
#pragma once

#include "Admission/Admission.h"
#include "Http/Http.h"
#include "Measure/Measure.h"
#include "Node/Announcement.h"
#include "Node/MemoryLimits.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>
#include <unordered_map>

struct event_base;

namespace Berylport {

// Reply callbacks of calls that have no result yet. The same call may arrive twice on one link, so a key may have
// several.
class PendingReplies {
public:
    using Callback = std::function<void(CallReply)>;

    void add(LinkId, const AttemptId&, Callback);
    // Removes and returns the oldest callback of the call; null if its link was closed.
    Callback take(LinkId, const AttemptId&);
    void dropLink(LinkId);

private:
    struct Key {
        LinkId link;
        AttemptId id;
        bool operator==(const Key&) const = default;
    };
    struct KeyHash {
        size_t operator()(const Key& key) const
        {
            return std::hash<AttemptId>()(key.id) ^ (std::hash<LinkId>()(key.link) << 1);
        }
    };

    std::unordered_multimap<Key, Callback, KeyHash> m_callbacks;
};

struct LocalTarget {
    // processStart as in AdmissionOptions.
    LocalTarget(event_base*, NodeId self, const ServiceName&, const TargetSection&, Instant now,
        Instant processStart = {}, const MemoryLimits& = memoryLimits({}));

    // Creates the client for the address of the target; called when the address is first known and when it changes.
    void connect(const Endpoint&, bool allowsCloseDelimitedAnswers);
    // Deletes the client. Results of its requests are dropped, so no call may be running.
    void disconnect();
    // Ready only if the target has announced so, is not drained by an operator, and its announcement has not expired.
    TargetState effectiveState() const;

    event_base* base { nullptr };
    const TargetSection& settings;
    ServiceName service;
    size_t maximumAnswerBytes { 0 };
    AdmissionController admission;
    PendingReplies replies;
    // Null until the first announcement and once the process is known to be gone.
    std::unique_ptr<TargetClient> client;
    std::optional<TargetAnnouncement> announcement;
    Instant announcedAt;
    // Set and cleared by operators; overrides the announced state.
    bool isDrainedByOperator { false };
    // Whether the store or other members have reported the departures that earlier processes acknowledged.
    bool areDeparturesKnown { false };
    // The announcement may have been sent before a departure that only an earlier process knew of.
    bool isUnconfirmed { false };
    // Until when the target counts as starting because it has not answered this process yet; empty once it has. Its
    // first answer tells whether it limits requests or leaves.
    std::optional<Instant> firstAnswerDeadline;
    // Whether the target has refused a connection since its last announcement.
    bool isRefusing { false };
    std::string healthPath { "/health" };
    TargetProbe probe;
    bool isProbing { false };
    Instant lastProbeAt;
    // The service names a bound for cold targets, and whether the target was cold at its latest health answer.
    bool hasColdBound { false };
    bool isCold { false };
    // Time of the newest call that arrived for the target, and of the newest report of its load.
    Instant lastOfferAt;
    Instant lastLoadReportAt;
    struct RunningRequest {
        SendHandle handle;
        Instant sentAt;
    };
    std::unordered_map<AttemptId, RunningRequest> running;
    // Calls whose connection the target has closed, while it is checked whether its process has ended.
    std::vector<AttemptId> closedCalls;
    // Number of the end of its process; zero while it runs, as far as is known.
    uint64_t end { 0 };
    // Whether its latest answer named a request limit that cannot be read.
    bool isLimitMalformed { false };
    // Number that admission assigned to the last process pause.
    uint64_t pauseNumber { 0 };
    // Version of the state in the membership records; incremented with each change.
    uint64_t stateVersion { 1 };
};

} // namespace Berylport
