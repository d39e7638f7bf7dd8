// Serves callers: takes whole requests, drives the CallCoordinator, and answers.
#pragma once

#include "Calls/Calls.h"
#include "Http/Http.h"
#include "Node/CallerAnswers.h"
#include "Node/NodeContext.h"

#include <memory>
#include <unordered_map>

namespace Berylport {

// Accepts requests to services of kind Patient; implemented by the patient task.
class PatientGate {
public:
    virtual ~PatientGate() = default;
    virtual void accept(const ServiceDefinition&, const CallerRequest&, HttpRequest, Responder) = 0;
    virtual void showAction(std::string_view token, const HttpRequest&, Responder) = 0;
};

class EntryTask : public Task {
public:
    // `patient` is null until the patient task runs.
    EntryTask(NodeContext&, PatientGate* const& patient);
    ~EntryTask() override;

    void start() override;
    void stop() noexcept override;

private:
    struct Caller {
        Responder responder;
        std::unique_ptr<opentracing::Span> span;
        Instant arrived;
        ServiceName service;
        std::optional<CallId> parent;
        uint32_t tokensFromParent { 0 };
    };
    // A nested call that waits for what its parent allows it.
    struct WaitingChild {
        StartCall call;
        Caller caller;
    };

    void arrived(HttpRequest, const Endpoint& peer, Responder);
    bool answerOwnPath(const HttpRequest&, const Responder&);
    void startCall(const CallerRequest&, const ServiceDefinition&, HttpRequest, Responder);
    void begin(StartCall, Caller);

    void handle(AttemptReplied&&);
    void handle(AttemptNotSent&&);
    void handle(QueryReplied&&);
    void handle(QueryFailed&&);
    void handle(TargetsChanged&&);
    void handle(CatalogueChanged&&);
    void handle(MemberGone&&);
    void handle(ServingChanged&&);
    void handle(ParentFound&&);
    void handle(BeginDrain&&);

    void perform(CallActions&);
    void perform(SendAttempt&&);
    void perform(SendCancel&&);
    void perform(SendQuery&&);
    void perform(AnswerCaller&&);
    void sendToOwnTarget(CallRequest);
    void refuse(const Responder&, EntryRefusal);
    void wake();
    void updateStatus();

    NodeContext& m_context;
    PatientGate* const& m_patient;
    Mailbox<EntryMessage> m_mailbox;
    CallCoordinator m_coordinator;
    HttpServer m_server;
    Timer m_timer;
    CataloguePointer m_catalogue;
    GuardState m_guard { GuardState::Unconfirmed };
    uint64_t m_lastSequence { 0 };
    std::unordered_map<CallId, Caller> m_callers;
    std::unordered_map<CallId, WaitingChild> m_waitingChildren;
    std::unordered_map<AttemptId, std::unique_ptr<opentracing::Span>> m_attemptSpans;
};

} // namespace Berylport
