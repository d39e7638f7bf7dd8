// The receiver side of a node: admits calls for the targets on this VM, runs them, and listens to announcements.
//
// Its ledgers are what "at most once" and "not run" rest on, and they cannot be rebuilt. So a failure of this task ends
// the whole process: the next one has another NodeId, and no node takes its word for what ran before.
#pragma once

#include "Node/LocalTarget.h"
#include "Node/NodeContext.h"

#include <list>
#include <map>

namespace Berylport {

class TargetTask : public Task {
public:
    explicit TargetTask(NodeContext&);
    ~TargetTask() override;

    void start() override;
    void stop() noexcept override;

private:
    struct PendingAcknowledgement {
        Responder responder;
        Instant deadline;
    };

    const Dialect& dialect() const { return *m_context.adapter.dialect; }

    // --- messages
    void handle(OfferCall&&);
    void handle(CancelCall&&);
    void handle(QueryCall&&);
    void handle(LinkOpened&&);
    void handle(LinkClosed&&);
    void handle(LinkConfirmed&&);
    void handle(FindParent&&);
    void handle(ReturnRetryTokens&&);
    void handle(DrainTarget&&);
    void handle(CatalogueChanged&&);
    void handle(ServingChanged&&);
    void handle(DepartureRestored&&);
    void handle(BeginDrain&&);

    // --- HTTP on loopback
    void localRequest(HttpRequest, const Endpoint& peer, Responder);
    void targetMessage(TargetAnnouncement&&, const Responder&);
    void targetMessage(TargetWithdrawal&&, const Responder&);
    void targetMessage(AnnouncementError, const Responder&);
    void targetMessage(NoAnnouncement, const Responder&);
    // Answers the target once its departure is durable, or after a while without.
    void acknowledgeDeparture(const TargetIncarnation&, const Responder&);
    void applyAnnouncement(LocalTarget&, const TargetAnnouncement&, Instant now);
    // Another target has taken over the address of these.
    void endOthers(const LocalTarget&);

    // --- actions of admission
    void perform(LocalTarget&, AdmissionActions&);
    void perform(LocalTarget&, StartOnTarget&&);
    void perform(LocalTarget&, CancelOnTarget&&);
    void perform(LocalTarget&, Reply&&);
    void perform(LocalTarget&, AnswerQuery&&);
    void targetFinished(LocalTarget&, const AttemptId&, SendResult);
    void loseRunning(LocalTarget&, LossReason);
    static void logTargetAnswer(const LocalTarget&, const AttemptId&, const SendResult&);
    void applyDefinition(LocalTarget&, const ServiceDefinition&);

    LocalTarget& findOrCreate(const ServiceName&);
    LocalTarget* find(const ServiceName&);
    template <typename Function> void forEach(Function&&);
    void pauseNoticed(Duration gap);
    void stateChanged(LocalTarget&);
    void publishTargets();
    void learnDepartures();
    void checkAnnouncements(Instant now);
    void probeTargets(Instant now);
    void probe(LocalTarget&, Instant now);
    void noteReport(LocalTarget&, const HttpResponse&, Instant now);
    // When the speed of the target's VM is to be read again; nothing while no calls arrive for it.
    std::optional<Instant> nextLoadRead(const LocalTarget&, Instant now) const;
    void wake();
    void updateStatus();

    NodeContext& m_context;
    Mailbox<TargetMessage> m_mailbox;
    HttpServer m_server;
    Timer m_timer;
    PauseDetector m_pauses;
    MeasureBudget m_budget;
    std::map<ServiceName, std::unique_ptr<LocalTarget>> m_targets;
    bool m_areDeparturesKnown { false };
    AnnouncementOrder m_order;
    std::vector<LinkId> m_links;
    CataloguePointer m_catalogue;
    // Numbers the pauses of this node; every target has its own number for the same pause.
    uint64_t m_pause { 0 };
    bool m_isDraining { false };
    Instant m_nextCheck;
    // Departures that are being made durable, with the time at which their targets get an answer regardless.
    std::list<PendingAcknowledgement> m_acknowledgements;

    // Takes admission's answer while a query is handed to it; null at other times.
    std::function<void(QueryReply)> m_queryReply;
};

} // namespace Berylport
