// Entry nodes, links and receivers in virtual time. Every run with the same steps gives the same result.
#pragma once

#include "Calls/Calls.h"
#include "Scenarios/Engine/Receiver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Berylport::Scenario {

struct CallRecord {
    CallId id;
    std::string entry;
    std::string body;
    Instant sentAt;
    Instant deadline;
    std::vector<AnswerCaller> answers;
    std::vector<Instant> answeredAt;
    // Target names in the order in which they started the call.
    std::vector<std::string> starts;
    std::vector<Instant> startedAt;
    uint32_t attempts { 0 };
    uint32_t cancels { 0 };
    bool isCallerGone { false };
};

class World {
public:
    // Zone, region and seed of the options are set for each entry node.
    explicit World(CallOptions = {});

    void addEntry(const std::string& name);
    void addTarget(const std::string& name, const ServiceName&, TargetBehaviour, const ZoneName&);
    bool hasEntry(const std::string& name) const { return m_entries.contains(name); }
    bool hasTarget(const std::string& name) const { return m_targets.contains(name); }
    bool hasCall(uint64_t number) const { return m_calls.contains(number); }
    CallRecord& call(uint64_t number) { return m_calls.at(number); }
    const std::map<uint64_t, CallRecord>& calls() const { return m_calls; }
    CallCoordinator& coordinator(const std::string& entry) { return *m_entries.at(entry).coordinator; }

    void at(Instant, std::function<void()>);
    void run(Instant until);
    Instant now() const { return m_now; }

    // The steps of a script; each acts at the current time.
    void sendCall(uint64_t number, const std::string& entry, StartCall);
    void leaveCaller(uint64_t number);
    void cutLink(const std::string& entry, const std::string& target);
    void healLink(const std::string& entry, const std::string& target);
    void setLinkDelay(const std::string& entry, const std::string& target, Duration);
    void setLinkDuplicates(const std::string& entry, const std::string& target, bool);
    void freeze(const std::string& target, Duration);
    void crash(const std::string& target);
    // Tells every entry node that the target's node has ended.
    void announceGone(const std::string& target);
    void changeTarget(const std::string& target, const std::function<void(TargetBehaviour&)>&);
    // Sets the state that entry nodes know by gossip.
    void setTargetState(const std::string& target, TargetState);
    void setSuspect(const std::string& target, bool);

private:
    struct Link {
        Duration delay { std::chrono::microseconds(1500) };
        bool isCut { false };
        // The sender has noticed the cut, so its sends fail at once.
        bool isKnownCut { false };
        bool duplicates { false };
        // Messages of an older connection are not delivered.
        uint64_t connection { 0 };
    };
    struct Entry {
        std::unique_ptr<CallCoordinator> coordinator;
        std::map<std::string, Link> links;
    };
    struct Target {
        NodeId node;
        TargetRecord record;
        std::unique_ptr<Receiver> receiver;
        bool hasCrashed { false };
        std::optional<Instant> frozenUntil;
        // Messages that arrived while it was frozen, in order.
        std::vector<std::function<void()>> inbox;
        // Who sent an attempt, so that the reply finds its way back.
        std::map<AttemptId, std::string> senders;
    };
    using EventKey = std::pair<Instant, uint64_t>;

    void updateTargets();
    void act(const std::string& entry, const std::function<void(CallCoordinator&, CallActions&)>&);
    void carryOut(const std::string& entry, const CallAction&);
    void carryOut(const std::string& entry, const SendAttempt&);
    void carryOut(const std::string& entry, const SendCancel&);
    void carryOut(const std::string& entry, const SendQuery&);
    void carryOut(const std::string& entry, const AnswerCaller&);
    void toTarget(const std::string& entry, const std::string& target, std::function<void()>);
    void toEntry(const std::string& entry, const std::string& target, std::function<void()>);
    void transmit(Link&, std::function<void()>);
    void receive(const std::string& target, std::function<void()>);
    void drive(const std::string& target, const std::function<void(Receiver&, ReceiverEvents&)>&);
    void publish(const std::string& target, const ReceiverEvent&);
    void thaw(const std::string& target);
    void loseLink(const std::string& entry, const std::string& target);
    void scheduleEntry(const std::string& entry);
    void scheduleTarget(const std::string& target);
    const std::string& nameOf(const TargetId&) const;
    CallRecord& recordOf(const CallId& id) { return m_calls.at(id.sequence); }

    CallOptions m_options;
    Instant m_now;
    uint64_t m_sequence { 0 };
    std::map<EventKey, std::function<void()>> m_events;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Target> m_targets;
    std::map<NodeId, std::string> m_targetNames;
    std::map<uint64_t, CallRecord> m_calls;
    uint64_t m_nextNode { 1 };
};

} // namespace Berylport::Scenario
