// Serves callers: receives complete requests, drives the CallCoordinator, and sends the responses.
#pragma once

#include "Calls/Calls.h"
#include "Http/Http.h"
#include "Node/CallerAnswers.h"
#include "Node/NodeContext.h"

#include <memory>
#include <unordered_map>

namespace Berylport {

// Accepts requests to services of kind Patient; implemented by the patient task.
class PatientRequestHandler {
public:
    virtual ~PatientRequestHandler() = default;
    virtual void accept(const ServiceDefinition&, const CallerRequest&, HttpRequest, Responder) = 0;
    virtual void showAction(std::string_view token, const HttpRequest&, Responder) = 0;
};

class EntryTask : public Task {
public:
    // `patient` is null while the patient task is not running.
    EntryTask(NodeContext&, PatientRequestHandler* const& patient);
    ~EntryTask() override;

    void start() override;
    void stop() noexcept override;

private:
    struct Caller {
        Responder responder;
        std::unique_ptr<opentracing::Span> span;
        Instant arrived;
        ServiceName service;
        // Empty for services without routes.
        std::string route;
        std::string requestId;
        // Version of the configuration that the request was resolved with.
        uint64_t configuration { 0 };
        // Of the client account; its account is zero if it has no limit.
        QuotaToken quotaToken {};
        std::optional<CallId> parent;
        uint32_t tokensFromParent { 0 };
        // Result of each attempt, for the log line of a failed call.
        std::string attempts;
    };
    // A nested call that waits for the deadline, depth and retry tokens that its parent grants.
    struct PendingChildCall {
        StartCall call;
        Caller caller;
    };

    // Service, retry policy and deadlines of a request, taken from its route or from the definition of its service.
    struct RequestPolicy {
        ServiceDefinition definition;
        // Latency objective, relative to the arrival of the request. Negative if the caller has already waited longer
        // than the objective, counting its earlier tries.
        Duration objective {};
        std::string route;
        // The request was made by a target on behalf of a call that is already running.
        bool isNested { false };
        // Empty if the request runs on no account.
        std::string account {};
    };

    // A request that waits for a token of its client account.
    struct PendingRequest {
        CallerRequest request;
        RequestPolicy policy;
        HttpRequest http;
        Responder responder;
    };

    const Dialect& dialect() const { return *m_context.adapter.dialect; }
    HttpServerOptions makeServerOptions();
    // Whether the request may run concurrently with other requests of the same connection.
    bool mayRunConcurrently(const HttpRequest&) const;
    void requestArrived(HttpRequest, const Endpoint& peer, Responder);
    bool answerInternalPath(const HttpRequest&, const Responder&);
    // The account of the caller's key; null if it needs none and names none.
    Result<const ClientAccount*, EntryRefusal> findAccount(const HttpRequest&, const TrafficRoute&) const;
    Result<RequestPolicy, EntryRefusal> resolvePolicy(const CallerRequest&, const HttpRequest&, Instant readAt);
    // Starts the call if the client account has not used up its limit.
    void startWithinQuota(CallerRequest, RequestPolicy, HttpRequest, Responder);
    void startCall(const CallerRequest&, const RequestPolicy&, HttpRequest, Responder, const QuotaToken&);
    void updateRetryBudget();
    void applyLimits(const TrafficConfiguration&);
    void beginCall(StartCall, Caller);

    void handle(AttemptReplied&&);
    void handle(AttemptNotSent&&);
    void handle(QueryReplied&&);
    void handle(QueryFailed&&);
    void handle(TargetsChanged&&);
    void handle(CatalogueChanged&&);
    void handle(MemberGone&&);
    void handle(ServingChanged&&);
    void handle(ParentFound&&);
    void handle(QuotaDecided&&);
    void handle(BeginDrain&&);
    void handle(StopRetries&&);
    void handle(EndCalls&&);

    void perform(CallActions&);
    void perform(SendAttempt&&);
    void perform(SendCancel&&);
    void perform(SendQuery&&);
    void perform(AnswerCaller&&);
    void sendToOwnTarget(CallRequest);
    void refuse(const Responder&, std::string_view requestId, EntryRefusal);
    void refuseOverQuota(const Responder&, const CallerRequest&, const RequestPolicy&, const QuotaRefused&);
    // What the node knows of the age of its configuration, for logs: milliseconds, and the node that asked its source.
    std::string confirmationAge() const;
    std::string confirmationReader() const;
    // A connection was closed for the memory that it held.
    void memoryExceeded(const Endpoint& peer, size_t held);
    void logAttempt(const SendAttempt&);
    // Whether a request ends its targets.
    void recordEvidence(const CallLost&);
    void recordEvidence(const CallAnswered&);
    void recordAttemptEnd(const AttemptId&, std::string_view outcome);
    void logAnswer(const AnswerCaller&, const Caller&, Instant now);
    void wake();
    void updateStatus();

    NodeContext& m_context;
    PatientRequestHandler* const& m_patient;
    Mailbox<EntryMessage> m_mailbox;
    CallCoordinator m_coordinator;
    HttpServer m_server;
    Timer m_timer;
    TrafficSplit m_split;
    NestedRouteDetector m_nested;
    RetryWaitEstimator m_returning;
    CataloguePointer m_catalogue;
    GuardState m_guard { GuardState::Unconfirmed };
    // The process ends without waiting for the calls that are left.
    bool m_isEnding { false };
    // Until when further closed connections are only counted.
    Instant m_memoryQuietUntil;
    uint64_t m_lastSequence { 0 };
    // The limiter outlives this task, so the tickets of a restarted task differ from earlier ones.
    QuotaTicket m_lastTicket;
    std::unordered_map<QuotaTicket, PendingRequest> m_pendingRequests;
    std::unordered_map<CallId, Caller> m_callers;
    std::unordered_map<CallId, PendingChildCall> m_pendingChildCalls;
    std::unordered_map<AttemptId, std::unique_ptr<opentracing::Span>> m_attemptSpans;
};

} // namespace Berylport
