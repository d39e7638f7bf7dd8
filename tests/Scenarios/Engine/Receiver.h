// The node beside a target, as scenarios drive it. Implemented by a fake until the admission module replaces it.
#pragma once

#include "Base/CallMessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace Berylport::Scenario {

// The target has begun to run an attempt.
struct AttemptStarted {
    AttemptId id;
};

using ReceiverEvent = std::variant<AttemptStarted, CallReply, QueryReply>;
using ReceiverEvents = std::vector<ReceiverEvent>;

// How the target behind the node behaves.
struct TargetBehaviour {
    Duration serviceTime { std::chrono::milliseconds(10) };
    uint16_t status { 200 };
    uint16_t slots { 10 };
    uint32_t queueLimit { 20 };
    bool isDraining { false };
    // The target closes its connection instead of answering.
    bool closesConnection { false };
};

class Receiver {
public:
    virtual ~Receiver() = default;

    virtual void offer(const CallRequest&, Instant now, ReceiverEvents&) = 0;
    virtual void cancel(const CallCancel&, Instant now, ReceiverEvents&) = 0;
    virtual void query(const CallQuery&, Instant now, ReceiverEvents&) = 0;
    virtual void tick(Instant now, ReceiverEvents&) = 0;
    virtual std::optional<Instant> nextWake() const = 0;
    virtual void setBehaviour(const TargetBehaviour&) = 0;
    virtual const TargetBehaviour& behaviour() const = 0;
};

} // namespace Berylport::Scenario
