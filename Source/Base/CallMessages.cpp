// Text of the reasons that appear in logs and in Berylport-Reason.
#include "Base/CallMessages.h"

namespace Berylport {

bool asksForAnotherTarget(RefusalReason reason)
{
    return reason == RefusalReason::SlowNow || reason == RefusalReason::BusyNow
        || reason == RefusalReason::BesideSuspect;
}

std::string_view toText(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::TenantOverShare:
        return "tenant-over-share";
    case RefusalReason::DeadlineTooNear:
        return "deadline-too-near";
    case RefusalReason::DeadlinePassed:
        return "deadline-passed";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::WrongNode:
        return "wrong-node";
    case RefusalReason::Cancelled:
        return "cancelled";
    case RefusalReason::RefusedBefore:
        return "refused-before";
    case RefusalReason::LedgerFull:
        return "ledger-full";
    case RefusalReason::ConnectFailed:
        return "connect-failed";
    case RefusalReason::UnknownParent:
        return "unknown-parent";
    case RefusalReason::DepthExceeded:
        return "depth-exceeded";
    case RefusalReason::Unconfirmed:
        return "unconfirmed";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::SlowNow:
        return "slow-now";
    case RefusalReason::BusyNow:
        return "busy-now";
    case RefusalReason::BesideSuspect:
        return "beside-suspect";
    case RefusalReason::EndsTargets:
        return "ends-targets";
    case RefusalReason::ZoneEvacuated:
        return "zone-evacuated";
    }
    return "unknown";
}

std::string_view toText(LossReason reason)
{
    switch (reason) {
    case LossReason::LinkLost:
        return "link-lost";
    case LossReason::TargetClosed:
        return "target-closed";
    case LossReason::TargetTimeout:
        return "target-timeout";
    case LossReason::AnswerTooLarge:
        return "answer-too-large";
    case LossReason::AnswerMalformed:
        return "answer-malformed";
    case LossReason::NodeRestarted:
        return "node-restarted";
    case LossReason::NodeStopped:
        return "node-stopped";
    case LossReason::AnswerDropped:
        return "answer-dropped";
    }
    return "unknown";
}

} // namespace Berylport
