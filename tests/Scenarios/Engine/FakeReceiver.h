// Receiver with slots, a queue and a ledger that never evicts.
#pragma once

#include "Scenarios/Engine/Receiver.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace Berylport::Scenario {

class FakeReceiver : public Receiver {
public:
    FakeReceiver(NodeId node, TargetBehaviour behaviour)
        : m_node(node)
        , m_behaviour(behaviour)
    {
    }

    void offer(const CallRequest&, Instant now, ReceiverEvents&) override;
    void cancel(const CallCancel&, Instant now, ReceiverEvents&) override;
    void query(const CallQuery&, Instant now, ReceiverEvents&) override;
    void tick(Instant now, ReceiverEvents&) override;
    std::optional<Instant> nextWake() const override;
    void setBehaviour(const TargetBehaviour& behaviour) override { m_behaviour = behaviour; }
    const TargetBehaviour& behaviour() const override { return m_behaviour; }

private:
    enum class State : uint8_t {
        Queued,
        Running,
        Finished,
        Refused,
    };
    struct Entry {
        CallRequest request;
        State state { State::Queued };
        // Meaningful once Finished or Refused.
        CallReply reply;
    };

    void refuse(const AttemptId&, RefusalReason, ReceiverEvents&);
    void startQueued(Instant now, ReceiverEvents&);
    void endRunning(Entry&, CallReply, ReceiverEvents&);
    CallReply makeReply(const Entry&) const;
    LoadReport load() const;

    NodeId m_node;
    TargetBehaviour m_behaviour;
    std::unordered_map<AttemptId, Entry> m_entries;
    std::deque<AttemptId> m_queue;
    // By the time of their end, then by their start.
    std::multimap<Instant, AttemptId> m_running;
};

} // namespace Berylport::Scenario
