// Messages between the tasks of one node.
#pragma once

#include "Accounts/Accounts.h"
#include "Admission/Admission.h"
#include "Base/Base.h"
#include "Calls/CallActions.h"
#include "Configuration/Configuration.h"
#include "Node/AnnouncementOrder.h"
#include "Node/Port.h"
#include "Patient/Patient.h"
#include "Quota/Quota.h"
#include "Traffic/Traffic.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace Berylport {

// All service definitions of one version. Shared by the tasks and immutable.
struct ServiceCatalogue {
    uint64_t version { 0 };
    std::map<ServiceName, ServiceDefinition> services;
    // Set if operators configure routes; the route of a request then determines its service, deadlines and retries.
    std::shared_ptr<const RouteFinder> routes;
    // Set if callers need a key.
    std::shared_ptr<const AccountTable> accounts {};
};
using CataloguePointer = std::shared_ptr<const ServiceCatalogue>;

struct CatalogueChanged {
    CataloguePointer catalogue;
};

struct PauseNoticed {
    Duration gap {};
};

// A graceful shutdown has begun.
struct BeginDrain { };

// The process ends before the calls have: from now on no call gets another attempt. Sent before EndCalls.
struct StopRetries { };

// Gives each call that is left its final reply. The target task passes it on to the entry task behind its own replies.
struct EndCalls { };

// --- to the entry task

struct AttemptReplied {
    CallReply reply;
};
// The attempt failed before any byte of it was sent.
struct AttemptNotSent {
    AttemptId id;
};
struct QueryReplied {
    QueryReply reply;
};
struct QueryFailed {
    AttemptId id;
};
struct TargetsChanged {
    std::vector<TargetRecord> targets;
};
// The node was declared dead; the calls that it was running are lost.
struct MemberGone {
    NodeId node;
};
// An earlier process of this node acknowledged the departure of this target.
struct DepartureRestored {
    TargetIncarnation departed;
    // Where the departure was stored: "store" or "peer".
    std::string_view source;
};
struct ServingChanged {
    GuardState state { GuardState::Unconfirmed };
};
// Operators have evacuated the zone of this node, or have taken that back.
struct ZoneEvacuationChanged {
    bool isEvacuated { false };
};
struct ParentFound {
    CallId child;
    Result<NestedCallBudget, RefusalReason> allowance;
};

// A request that waited for a token of its client account may start or not.
struct QuotaDecided {
    DecideQuota decided;
};

using EntryMessage = std::variant<AttemptReplied, AttemptNotSent, QueryReplied, QueryFailed, TargetsChanged,
    CatalogueChanged, MemberGone, ServingChanged, ParentFound, QuotaDecided, BeginDrain, StopRetries, EndCalls>;

// --- to the target task

struct OfferCall {
    LinkId link;
    CallRequest request;
    std::function<void(CallReply)> reply;
};
struct CancelCall {
    CallCancel cancel;
};
struct QueryCall {
    LinkId link;
    CallQuery query;
    std::function<void(QueryReply)> reply;
};
struct LinkOpened {
    LinkId link;
};
struct LinkClosed {
    LinkId link;
};
// The peer of the link has answered a ping that was sent after the process pause with this number.
struct LinkConfirmed {
    LinkId link;
    uint64_t pause { 0 };
};
// Requests the deadline, depth and retry tokens that a child call inherits. The tokens are deducted from the parent.
struct FindParent {
    CallId child;
    CallId parent;
};
struct ReturnRetryTokens {
    CallId parent;
    uint32_t unused { 0 };
};
struct DrainTarget {
    ServiceName service;
    bool isDrained { true };
    // Called with false if there is no such target on this VM.
    std::function<void(bool isKnown)> done;
};

using TargetMessage = std::variant<OfferCall, CancelCall, QueryCall, LinkOpened, LinkClosed, LinkConfirmed, FindParent,
    ReturnRetryTokens, DrainTarget, CatalogueChanged, ServingChanged, ZoneEvacuationChanged, DepartureRestored,
    BeginDrain, EndCalls>;

// --- to the link task

struct PeerEndpoints {
    std::map<NodeId, Endpoint> endpoints;
};
struct ConfirmLinks {
    uint64_t pause { 0 };
};
struct FetchConfiguration {
    NodeId node;
    // Version that this node has; the response contains the changes since then.
    uint64_t since { 0 };
};
enum class RemoteDrainError : uint8_t {
    UnknownNode,
    UnknownTarget,
    Unreachable,
};
// Sends an attempt of a patient action to another node. `done` gets no value if the attempt was not sent and will not
// be.
struct SendActionAttempt {
    NodeId node;
    CallRequest request;
    std::function<void(std::optional<CallReply>)> done;
};
// Queries an attempt of a patient action. `done` gets no value if the node cannot be reached at present.
struct QueryActionAttempt {
    NodeId node;
    CallQuery query;
    std::function<void(std::optional<QueryReply>)> done;
};
struct DrainRemoteTarget {
    NodeId node;
    ServiceName service;
    bool isDrained { true };
    std::function<void(Result<void, RemoteDrainError>)> done;
};

using LinkMessage = std::variant<SendAttempt, SendCancel, SendQuery, PeerEndpoints, ConfirmLinks, FetchConfiguration,
    MemberGone, SendActionAttempt, QueryActionAttempt, DrainRemoteTarget, BeginDrain>;

// --- to the membership task

struct TargetsAnnounced {
    std::vector<MemberTarget> targets;
};
struct ConfigurationVersionApplied {
    uint64_t version { 0 };
};
// When the source of the configuration confirmed the version in force, if that is known.
struct ConfigurationConfirmed {
    std::optional<SourceConfirmation> confirmation;
    // By an answer to this node, so the members are told at once.
    bool isAnnounced { false };
};
struct CoordinatorLeaseAcquired {
    CoordinatorInfo coordinator;
};
struct SeedsFound {
    std::vector<Endpoint> seeds;
    // There is no row of another node.
    bool isFirstNode { false };
};
// Gossips the departure of a target on this VM to the members, which report it to later processes on the VM.
struct ReplicateDeparture {
    TargetIncarnation departed;
};
// An era of the shared store, learned from the store or from a member.
struct StoreEraSeen {
    uint64_t era { 0 };
};
// The zones that operators have evacuated, as this node holds them. The members are told only if `isShared`.
struct EvacuationChanged {
    EvacuatedZones evacuation;
    bool isShared { false };
};
// This node has learned something new about requests under which targets end; the table of suspects holds it.
struct SuspectsChanged { };
// A call found no target while the member view may be incomplete.
struct MembershipRefreshRequested { };
struct QuotaMessageDue {
    NodeId to;
    QuotaMessage message;
};

using MembershipMessage = std::variant<TargetsAnnounced, ConfigurationVersionApplied, ConfigurationConfirmed,
    CoordinatorLeaseAcquired, RemindMembers, SeedsFound, ReplicateDeparture, StoreEraSeen, EvacuationChanged,
    SuspectsChanged, MembershipRefreshRequested, QuotaMessageDue, BeginDrain>;

// --- to the configuration task

struct PeerVersion {
    NodeId node;
    uint64_t version { 0 };
    bool isOwnZone { false };
    std::optional<SourceConfirmation> confirmation;
    bool isInOwnGroup { false };
};
struct ConfigurationFetched {
    NodeId node;
    ConfigurationDelta delta;
    std::string document;
    // The peer is serving, so its version is at least the newest accepted one.
    bool isServing { false };
    Instant askedAt;
};
struct ConfigurationFetchFailed {
    NodeId node;
};
struct ZoneMembersChanged {
    std::vector<NodeId> present;
};
struct ZoneMemberLeft {
    NodeId node;
};
struct SelfDeclaredDead { };
struct ConnectivityChanged {
    bool isCutOff { false };
};
struct ChangeFinished {
    ChangeOutcome outcome { ChangeOutcome::Unresolved };
    uint64_t version { 0 };
    std::vector<ZoneName> missingZones;
    std::string detail;
};
struct OperatorChange {
    ChangeTracker::Request request;
    std::function<void(ChangeFinished)> done;
};
struct ZoneListing {
    bool isStoreReachable { false };
    uint64_t headVersion { 0 };
    std::vector<ZoneConfirmation> zones;
};
struct ListZones {
    std::function<void(ZoneListing)> done;
};
struct RetireZone {
    ZoneName zone;
    // Called with false if the store did not answer.
    std::function<void(bool isDone)> done;
};

// A member tells another set of evacuated zones than this node does.
struct EvacuationSeen {
    EvacuatedZones evacuation;
};

// Persists the departure of a target, so that a later process of this node knows it.
struct RecordDeparture {
    TargetIncarnation departed;
    std::function<void()> done;
};

using ConfigurationMessage = std::variant<PeerVersion, PauseNoticed, StoreEraSeen, EvacuationSeen, RecordDeparture,
    ConfigurationFetched, ConfigurationFetchFailed, ZoneMembersChanged, ZoneMemberLeft, SelfDeclaredDead,
    ConnectivityChanged, OperatorChange, ListZones, RetireZone, BeginDrain>;

// --- to the patient task

struct ActionOutcomeArrived {
    uint32_t partition { 0 };
    std::string token;
    AttemptId attempt;
    ActionOutcome outcome;
};

using PatientMessage = std::variant<ActionOutcomeArrived, BeginDrain>;

// --- to the quota task

struct QuotaMembersChanged {
    // Members that may issue tokens, this node included.
    std::vector<NodeId> candidates;
    // VMs that share each limit; zero while they are unknown.
    size_t knownVms { 0 };
};
struct QuotaMessageReceived {
    QuotaMessage message;
};
// The limiter was asked and may have to be woken sooner.
struct QuotaRequested { };

using QuotaTaskMessage = std::variant<CatalogueChanged, QuotaMembersChanged, QuotaMessageReceived, QuotaRequested>;

// Mailbox addresses of all tasks.
struct NodePorts {
    Port<EntryMessage> entry;
    Port<TargetMessage> target;
    Port<LinkMessage> link;
    Port<MembershipMessage> membership;
    Port<ConfigurationMessage> configuration;
    Port<PatientMessage> patient;
    Port<QuotaTaskMessage> quota;
};

} // namespace Berylport
