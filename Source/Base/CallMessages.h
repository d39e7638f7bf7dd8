// What passes between the sender of a call and the node beside the target.
#pragma once

#include "Base/HttpMessage.h"
#include "Base/Identifiers.h"
#include "Base/ServiceDefinition.h"
#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Berylport {

// What is known about the execution of a request.
enum class RunOutcome : uint8_t {
    // The request has not run and never will.
    NotRun,
    // The request ran and this is its whole answer.
    Run,
    // Nobody can tell whether the request ran or will still run.
    MayHaveRun,
};

constexpr std::string_view toText(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::Run:
        return "run";
    case RunOutcome::MayHaveRun:
        return "may-have-run";
    }
    return "unknown";
}

// Load of one target as its own node counts it; carried on every reply, so it needs no message of its own.
struct LoadReport {
    uint16_t slots { 0 };
    uint16_t running { 0 };
    uint16_t queued { 0 };
    // Moving average over recent answers; zero when there were none.
    Duration serviceTime {};
    // How long work takes on the target's VM at present, relative to its usual speed of 100; zero when unknown.
    uint16_t slownessPercent { 0 };
    // The target has started a short while ago and gets less work.
    bool isWarmingUp { false };
    // Time until the target's request limit lets one more call start, and the mean time between starts that it allows;
    // zero when it names none.
    Duration startWait {};
    Duration startInterval {};
    bool operator==(const LoadReport&) const = default;
};

// Sent to the node beside a target. Never sent twice on purpose with the same AttemptId to different nodes.
struct CallRequest {
    AttemptId id;
    // The node it is meant for. Another process on the same address refuses it.
    NodeId receiver;
    ServiceName service;
    TenantName tenant;
    RequestKind kind { RequestKind::AtMostOnce };
    Priority priority { Priority::Normal };
    // On the receiver's clock once the link has translated it.
    Instant deadline;
    // An answer by then is worth the most to the caller; translated like the deadline and never later than it.
    Instant objective {};
    // Retry tokens that the subtree below this attempt may spend.
    uint32_t retryTokens { 0 };
    uint32_t depth { 0 };
    HttpRequest http;
    // The caller's own name for the request, for logs. May be empty.
    std::string requestId {};
    // Calls of one route cost a target about the same. Empty for services without routes.
    std::string route {};
    // The receiver may refuse it because its VM is slow or its target is full just now; the sender then asks another
    // node.
    bool mayHandOn { false };
    // Calls that run and wait at a target of the service on average, as the sender knows it.
    double meanLoad { 0 };
    // A target has ended under this request, so it does not run beside another such request.
    bool isSuspect { false };
};

struct CallCancel {
    AttemptId id;
};

// Asks what became of an attempt. An unknown attempt is refused for good by asking.
struct CallQuery {
    AttemptId id;
    ServiceName service;
    NodeId receiver;
    // Deadline of the attempt. Long after it the receiver may have evicted the entry and then answers CallLost.
    Instant deadline;
};

enum class RefusalReason : uint8_t {
    QueueFull,
    TenantOverShare,
    DeadlineTooNear,
    DeadlinePassed,
    Draining,
    NoTarget,
    WrongNode,
    Cancelled,
    // A query came before the request, or the id had been refused already.
    RefusedBefore,
    LedgerFull,
    ConnectFailed,
    UnknownParent,
    DepthExceeded,
    // The node has not confirmed that it holds the newest accepted configuration.
    Unconfirmed,
    // The target itself refused it.
    Overloaded,
    // The VM of the target is much slower than usual at this moment; another target would be faster.
    SlowNow,
    // All slots of the target are taken at this moment, while targets of the service have room on average.
    BusyNow,
    // A target has ended under this request, and the target runs another one of which the same is true.
    BesideSuspect,
    // Too many targets have ended under this request.
    EndsTargets,
    // An operator has evacuated the zone of the target.
    ZoneEvacuated,
};

std::string_view toText(RefusalReason);
// The receiver could have taken the call and holds that another target serves it better.
bool asksForAnotherTarget(RefusalReason);

// The target ran the request; this is its whole answer.
struct CallAnswered {
    AttemptId id;
    HttpResponse http;
    LoadReport load;
    uint32_t retryTokensUsed { 0 };
};

// The request has not run beside this target and never will.
struct CallRefused {
    AttemptId id;
    RefusalReason reason { RefusalReason::QueueFull };
    // When to come back; zero when the receiver has no estimate.
    Duration retryAfter {};
    LoadReport load;
};

enum class LossReason : uint8_t {
    LinkLost,
    TargetClosed,
    TargetTimeout,
    AnswerTooLarge,
    AnswerMalformed,
    NodeRestarted,
    NodeStopped,
    // The request ran, but its held answer was dropped or evicted.
    AnswerDropped,
};

std::string_view toText(LossReason);

// The request may have run and its answer cannot be had.
struct CallLost {
    AttemptId id;
    LossReason reason { LossReason::LinkLost };
    LoadReport load;
    // Names the end of the target's process while it ran the request; zero if it did not end.
    uint64_t targetEnd { 0 };
};

// Answers a query about an attempt that is still queued or running; the final reply follows on its own.
struct CallPending {
    AttemptId id;
};

using CallReply = std::variant<CallAnswered, CallRefused, CallLost>;
using QueryReply = std::variant<CallAnswered, CallRefused, CallLost, CallPending>;

} // namespace Berylport
