// The messages that the tasks of one node send each other.
#pragma once

#include "Admission/Admission.h"
#include "Base/Base.h"
#include "Calls/CallActions.h"
#include "Configuration/Configuration.h"
#include "Node/AnnouncementOrder.h"
#include "Node/Port.h"
#include "Patient/Patient.h"
#include "Traffic/Traffic.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace Berylport {

// All service definitions of one version; shared by the tasks and never changed.
struct ServiceCatalogue {
    uint64_t version { 0 };
    std::map<ServiceName, ServiceDefinition> services;
    // Set when operators configure routes; a request's route then decides its service and how it may be treated.
    std::shared_ptr<const RouteFinder> routes;
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

// --- to the entry task

struct AttemptReplied {
    CallReply reply;
};
// No byte of the attempt left this node.
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
// The node with that id has ended; what it had started is lost.
struct MemberGone {
    NodeId node;
};
// An earlier process of this node had acknowledged that this target leaves.
struct DepartureRestored {
    TargetIncarnation departed;
    // Who remembered it.
    std::string_view source;
};
struct ServingChanged {
    GuardState state { GuardState::Unconfirmed };
};
struct ParentFound {
    CallId child;
    Result<ParentAllowance, RefusalReason> allowance;
};

using EntryMessage = std::variant<AttemptReplied, AttemptNotSent, QueryReplied, QueryFailed, TargetsChanged,
    CatalogueChanged, MemberGone, ServingChanged, ParentFound, BeginDrain>;

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
// The link's peer has answered a ping sent after the pause with that number.
struct LinkConfirmed {
    LinkId link;
    uint64_t pause { 0 };
};
// Asks what the child may inherit; the retry tokens are taken from the parent.
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
    // False when no such target is on this VM.
    std::function<void(bool isKnown)> done;
};

using TargetMessage = std::variant<OfferCall, CancelCall, QueryCall, LinkOpened, LinkClosed, LinkConfirmed, FindParent,
    ReturnRetryTokens, DrainTarget, CatalogueChanged, ServingChanged, DepartureRestored, BeginDrain>;

// --- to the link task

struct PeerBook {
    std::map<NodeId, Endpoint> endpoints;
};
struct ConfirmLinks {
    uint64_t pause { 0 };
};
struct FetchConfiguration {
    NodeId node;
    // Version held; the answer is what is missing since then.
    uint64_t since { 0 };
};
enum class RemoteDrainError : uint8_t {
    UnknownNode,
    UnknownTarget,
    Unreachable,
};
// A patient action's attempt at another node. No value: it was not sent and never will be.
struct SendForAction {
    NodeId node;
    CallRequest request;
    std::function<void(std::optional<CallReply>)> done;
};
// No value: the node cannot be reached at present.
struct QueryForAction {
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

using LinkMessage = std::variant<SendAttempt, SendCancel, SendQuery, PeerBook, ConfirmLinks, FetchConfiguration,
    MemberGone, SendForAction, QueryForAction, DrainRemoteTarget, BeginDrain>;

// --- to the membership task

struct TargetsAnnounced {
    std::vector<MemberTarget> targets;
};
struct VersionInForce {
    uint64_t version { 0 };
};
struct CoordinatorHeld {
    CoordinatorInfo coordinator;
};
struct SeedsFound {
    std::vector<Endpoint> seeds;
    // The table holds no row of another node.
    bool isFirstNode { false };
};
// A target on this VM leaves, and later processes on the VM have to know it.
struct DepartureKnown {
    TargetIncarnation departed;
};
// A call found no target while members may be missing.
struct MembersDoubted { };

using MembershipMessage = std::variant<TargetsAnnounced, VersionInForce, CoordinatorHeld, RemindMembers, SeedsFound,
    DepartureKnown, MembersDoubted, BeginDrain>;

// --- to the configuration task

struct PeerVersion {
    NodeId node;
    uint64_t version { 0 };
    bool isOwnZone { false };
};
struct ConfigurationFetched {
    NodeId node;
    ConfigurationDelta delta;
    std::string document;
    // The peer itself serves, so it holds at least what was accepted.
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
struct TakenForDead { };
struct ContactLost {
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
    // False when the store did not answer.
    std::function<void(bool isDone)> done;
};

// Makes it durable that a target leaves, so that a later process of this node knows it.
struct RecordDeparture {
    TargetIncarnation departed;
    std::function<void()> done;
};

using ConfigurationMessage = std::variant<PeerVersion, RecordDeparture, ConfigurationFetched, ConfigurationFetchFailed,
    ZoneMembersChanged, ZoneMemberLeft, TakenForDead, ContactLost, OperatorChange, ListZones, RetireZone, BeginDrain>;

// --- to the patient task

struct ActionOutcomeArrived {
    uint32_t partition { 0 };
    std::string token;
    AttemptId attempt;
    ActionOutcome outcome;
};

using PatientMessage = std::variant<ActionOutcomeArrived, BeginDrain>;

// Every task's address.
struct NodePorts {
    Port<EntryMessage> entry;
    Port<TargetMessage> target;
    Port<LinkMessage> link;
    Port<MembershipMessage> membership;
    Port<ConfigurationMessage> configuration;
    Port<PatientMessage> patient;
};

} // namespace Berylport
