// One service on this VM: its admission, the connection to its target, and what the target last said of itself.
#pragma once

#include "Admission/Admission.h"
#include "Http/Http.h"
#include "Measure/Measure.h"
#include "Node/Announcement.h"
#include "Settings/Settings.h"

#include <functional>
#include <memory>
#include <unordered_map>

struct event_base;

namespace Berylport {

// Replies to requests that wait in admission. The same request may arrive twice on one link, so a key has several.
class ReplyBook {
public:
    using Function = std::function<void(CallReply)>;

    void add(LinkId, const AttemptId&, Function);
    // Takes the function that waits longest; null when its link was closed.
    Function take(LinkId, const AttemptId&);
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

    std::unordered_multimap<Key, Function, KeyHash> m_functions;
};

struct LocalTarget {
    LocalTarget(event_base*, NodeId self, const ServiceName&, const TargetSection&, Instant now);

    // The address of the target has changed or is known for the first time.
    void connect(const Endpoint&, bool allowsCloseDelimitedAnswers);
    // Ready only when it has announced so, is not drained by an operator, and its announcement has not lapsed.
    TargetState effectiveState() const;

    event_base* base { nullptr };
    const TargetSection& settings;
    ServiceName service;
    AdmissionController admission;
    ReplyBook replies;
    std::unique_ptr<TargetClient> client;
    std::optional<TargetAnnouncement> announcement;
    Instant announcedAt;
    // Set by an operator; holds until undone, whatever the target announces.
    bool isDrainedByOperator { false };
    // The store or other members have told this process which departures earlier ones had acknowledged.
    bool areDeparturesKnown { false };
    // The target refused a connection since its last announcement.
    bool isRefusing { false };
    std::string healthPath { "/health" };
    TargetProbe probe;
    bool isProbing { false };
    // Newest call that arrived for it, and newest report of its load.
    Instant lastOffer;
    Instant lastLoad;
    std::unordered_map<AttemptId, SendHandle> running;
    // Number that admission gave to the last pause.
    uint64_t pause { 0 };
    // Version of the state in membership; grows with each change.
    uint64_t stateVersion { 1 };
};

} // namespace Berylport
