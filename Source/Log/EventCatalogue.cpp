// The table behind the numbered events.
#include "Log/EventCatalogue.h"

#include <array>
#include <cstdlib>

namespace Berylport {

namespace {

constexpr EventInfo catalogue[] = {
    { Event::NodeStarted, Level::Info, "node-started", "The node serves; fields give its id and addresses." },
    { Event::NodeDraining, Level::Info, "node-draining",
        "A graceful shutdown has begun; new calls are refused as not run." },
    { Event::NodeStopped, Level::Info, "node-stopped",
        "The process ends; the field says whether the drain was complete." },
    { Event::DrainCutShort, Level::Error, "drain-cut-short",
        "A second signal or the drain limit ended the drain; fields count what was cut off." },
    { Event::TaskFailed, Level::Error, "task-failed", "A task ended with an error; its supervisor restarts it." },
    { Event::TaskRestarted, Level::Warning, "task-restarted", "A supervisor has restarted a failed task." },
    { Event::SettingsRejected, Level::Error, "settings-rejected",
        "The settings file has a fault; nothing was started." },
    { Event::PauseDetected, Level::Warning, "pause-detected",
        "The event loop stood still; starts are held until each link has answered." },
    { Event::StartFailed, Level::Error, "start-failed",
        "A listening address could not be used or a task could not start." },
    { Event::RestartLimitReached, Level::Error, "restart-limit-reached",
        "A task failed more than 5 times in 10 s; the node drains and exits." },
    { Event::TargetAnnounced, Level::Info, "target-announced",
        "A target on this VM announced itself for the first time." },
    { Event::TargetStateChanged, Level::Info, "target-state-changed",
        "A target on this VM became ready, draining or down." },
    { Event::AnnouncementRejected, Level::Warning, "announcement-rejected",
        "A message of a target was unreadable, late or from a start that has left; it changed nothing." },
    { Event::TargetDeparted, Level::Info, "target-departed",
        "A target said that it leaves; it gets no new work, and later processes of this node know it." },
    { Event::ReadinessChanged, Level::Info, "readiness-changed",
        "The node does or does not want callers; fields give what decided it." },
    { Event::SettingsReloaded, Level::Info, "settings-reloaded",
        "The settings file was read again; a file with faults changes nothing." },
    { Event::LogLinesDropped, Level::Warning, "log-lines-dropped",
        "Log lines beyond the rate or the buffer were dropped since the last such line." },
    { Event::TargetLimitChanged, Level::Info, "target-limit-changed",
        "A target on this VM named another limit of requests per second, or none any more." },
    { Event::TargetLimitMalformed, Level::Warning, "target-limit-malformed",
        "A target on this VM names a limit that cannot be read; the limit held stays in force." },
    { Event::TargetEnded, Level::Warning, "target-ended",
        "The target's process ended while it ran the calls counted; `end` names this end in the log of each caller's "
        "node." },
    { Event::TargetCold, Level::Info, "target-cold",
        "A target on this VM says that it is cold; its starts are limited to what its service tolerates." },
    { Event::TargetWarm, Level::Info, "target-warm", "A target on this VM is no longer cold." },
    { Event::QuotasChanged, Level::Info, "quotas-changed",
        "The limits of client accounts have changed; fields count the accounts that have one and name changed ones as "
        "rate+burst." },
    { Event::QuotaOwnerReplaced, Level::Info, "quota-owner-replaced",
        "A member that issues permissions for client accounts does not reply, though others do; another one is asked "
        "for the time given." },
    { Event::RequestRejected, Level::Info, "request-rejected",
        "A caller's request was malformed, ambiguous or too large." },
    { Event::CallerConnectionLimit, Level::Warning, "caller-connection-limit",
        "A caller's connection was refused because the limit is reached." },
    { Event::CallerMemoryExceeded, Level::Warning, "caller-memory-exceeded",
        "Callers' connections hold more than their part of the memory; the one that holds most for longest was "
        "closed." },
    { Event::LinkOpened, Level::Debug, "link-opened", "A link to or from another node is up." },
    { Event::LinkClosed, Level::Info, "link-closed",
        "A link to or from another node was closed; the field gives the reason." },
    { Event::LinkRefused, Level::Warning, "link-refused", "A peer on that address is not the node that was expected." },
    { Event::PeerMessageMalformed, Level::Warning, "peer-message-malformed", "A message on a link failed validation." },
    { Event::DatagramMalformed, Level::Warning, "datagram-malformed",
        "Gossip datagrams failed validation and were dropped." },
    { Event::CallGivenUp, Level::Info, "call-given-up",
        "A call ended without an answer of its target; fields give outcome and reason." },
    { Event::CallOutcomeUnknown, Level::Warning, "call-outcome-unknown",
        "A call ended without its answer and may have run; its caller was told so." },
    { Event::CallEndedWithTarget, Level::Warning, "call-ended-with-target",
        "The target's process ended while it ran this call; other calls ran there as well." },
    { Event::RetryBudgetExhausted, Level::Warning, "retry-budget-exhausted",
        "A service's retries are stopped by its budget." },
    { Event::LateReplyDropped, Level::Debug, "late-reply-dropped",
        "A reply arrived for a call that had already ended." },
    { Event::AttemptSent, Level::Info, "attempt-sent",
        "An attempt of a call goes to a target; fields give what is known of its load and how old that is." },
    { Event::CallAnswered, Level::Info, "call-answered", "A call ended with the whole answer of its target." },
    { Event::CallerLeft, Level::Info, "caller-left", "A caller closed its connection; what still ran was cancelled." },
    { Event::AdmissionRefused, Level::Info, "admission-refused",
        "A call was refused beside its target and has not run." },
    { Event::AnswerDropped, Level::Warning, "answer-dropped",
        "A held answer was dropped to stay within the memory bound." },
    { Event::LedgerFull, Level::Error, "ledger-full", "The ledger holds only live entries; new calls are refused." },
    { Event::AdmissionQueued, Level::Info, "admission-queued",
        "A call waits beside its target; fields give the load that decided it." },
    { Event::AdmissionStarted, Level::Info, "admission-started", "A call was handed to its target." },
    { Event::TargetAnswered, Level::Info, "target-answered",
        "A target ended a call; fields give its status, or why there is no answer." },
    { Event::MemberJoined, Level::Info, "member-joined", "A node has become a member." },
    { Event::MemberSuspected, Level::Info, "member-suspected", "A member did not answer probes." },
    { Event::MemberDead, Level::Warning, "member-dead", "A suspected member did not refute in time." },
    { Event::MemberLeft, Level::Info, "member-left", "A member left gracefully." },
    { Event::SeedsUnavailable, Level::Warning, "seeds-unavailable",
        "No seed answered and the table gave none; the node is not ready." },
    { Event::NodeCutOff, Level::Error, "node-cut-off", "Contact with most of the zone and the region is lost." },
    { Event::NodeContactRestored, Level::Info, "node-contact-restored",
        "Contact with the zone and the region is back." },
    { Event::SeedsFound, Level::Info, "seeds-found",
        "The store's rows name other nodes, which are asked for the members." },
    { Event::ForeignSystem, Level::Warning, "foreign-system",
        "A node of another system sends gossip to this address; its messages are dropped and counted." },
    { Event::ConfigurationApplied, Level::Info, "configuration-applied",
        "A newer configuration is in force on this node." },
    { Event::ConfigurationRecorded, Level::Info, "configuration-recorded", "An operator's change is durable." },
    { Event::ConfigurationAccepted, Level::Info, "configuration-accepted",
        "Every registered zone has confirmed the change." },
    { Event::ConfigurationPending, Level::Warning, "configuration-pending",
        "A recorded change is not yet confirmed by the zones named." },
    { Event::CoordinatorElected, Level::Info, "coordinator-elected", "This node holds its zone's coordinator lease." },
    { Event::CoordinatorSteppedDown, Level::Info, "coordinator-stepped-down",
        "This node no longer holds its zone's coordinator lease." },
    { Event::NodeUnconfirmed, Level::Warning, "node-unconfirmed",
        "The configuration held may be old; new calls are refused as not run." },
    { Event::NodeConfirmed, Level::Info, "node-confirmed", "The configuration held is confirmed; calls are served." },
    { Event::ConfigurationMalformed, Level::Error, "configuration-malformed",
        "A configuration row could not be read; the version held stays in force." },
    { Event::ConfigurationHistoryLost, Level::Warning, "configuration-history-lost",
        "The store no longer knows what changed since the last answer; the configuration is read as a whole." },
    { Event::SourceFollowed, Level::Info, "source-followed",
        "This node follows the operators' configuration in the store for the nodes around it." },
    { Event::SourceNotFollowed, Level::Info, "source-not-followed",
        "This node relies on other nodes to follow the operators' configuration." },
    { Event::ZonesEvacuated, Level::Info, "zones-evacuated",
        "The set of evacuated zones has changed; targets of the zones named get no new calls." },
    { Event::ActionAccepted, Level::Debug, "action-accepted", "A patient action is durable." },
    { Event::ActionDone, Level::Debug, "action-done", "A patient action has run and its result is durable." },
    { Event::ActionInDoubt, Level::Error, "action-in-doubt",
        "A patient action may have run on a lost VM; it is not run again by itself." },
    { Event::PartitionAcquired, Level::Info, "partition-acquired",
        "This node runs the patient actions of a partition." },
    { Event::PartitionLost, Level::Info, "partition-lost",
        "This node no longer runs the patient actions of a partition." },
    { Event::StoreUnavailable, Level::Warning, "store-unavailable",
        "The table service or the object store does not answer." },
    { Event::StoreRecovered, Level::Info, "store-recovered", "The table service or the object store answers again." },
    { Event::RowMalformed, Level::Warning, "row-malformed", "A row of the shared store could not be read." },
    { Event::StoreRestored, Level::Warning, "store-restored",
        "The shared store came back from an older copy; this node's row and the configuration are read again." },
    { Event::OperatorChange, Level::Info, "operator-change", "An operator changed a service or drained a target." },
    { Event::OperatorRejected, Level::Info, "operator-rejected", "An operator's request was invalid or in conflict." },
    { Event::MeasuringSkipped, Level::Debug, "measuring-skipped",
        "A measurement was skipped because its budget is spent." },
};

} // namespace

std::string_view toText(Channel channel)
{
    switch (channel) {
    case Channel::Node:
        return "node";
    case Channel::Http:
        return "http";
    case Channel::Peer:
        return "peer";
    case Channel::Calls:
        return "calls";
    case Channel::Admission:
        return "admission";
    case Channel::Membership:
        return "membership";
    case Channel::Configuration:
        return "configuration";
    case Channel::Patient:
        return "patient";
    case Channel::Platform:
        return "platform";
    case Channel::Operator:
        return "operator";
    case Channel::Measure:
        return "measure";
    }
    return "unknown";
}

std::string_view toText(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "unknown";
}

std::span<const EventInfo> eventCatalogue() { return catalogue; }

const EventInfo& describe(Event event)
{
    for (auto& it : catalogue) {
        if (it.event == event)
            return it;
    }
    // An enumerator without a row is a programming error that the catalogue test finds.
    std::abort();
}

Channel channelOf(Event event) { return static_cast<Channel>(static_cast<uint16_t>(event) / 100); }

std::string toText(Event event) { return "BP-" + std::to_string(static_cast<uint16_t>(event)); }

bool isOutcome(Event event)
{
    return event == Event::CallGivenUp || event == Event::CallOutcomeUnknown || event == Event::RequestRejected;
}

} // namespace Berylport
