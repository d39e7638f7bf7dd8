// Receiving side of a node: admits calls for the targets on this VM, forwards them, and processes announcements.
//
// The at-most-once guarantee and "not run" outcomes depend on the call ledgers of this task, which cannot be rebuilt. A
// failure of this task therefore ends the whole process: the next process has another NodeId, so no node relies on its
// answers about earlier calls.
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

    // --- handlers of messages from other tasks
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
    void handle(ZoneEvacuationChanged&&);
    void handle(DepartureRestored&&);
    void handle(BeginDrain&&);
    void handle(EndCalls&&);

    // --- HTTP requests of local targets
    void localRequestArrived(HttpRequest, const Endpoint& peer, Responder);
    void targetMessage(TargetAnnouncement&&, const Responder&);
    void targetMessage(TargetWithdrawal&&, const Responder&);
    void targetMessage(AnnouncementError, const Responder&);
    void targetMessage(UnrelatedMessage, const Responder&);
    // Acknowledges the departure once it is durable, or when the timeout has elapsed.
    void acknowledgeDeparture(const TargetIncarnation&, const Responder&);
    void applyAnnouncement(LocalTarget&, const TargetAnnouncement&, Instant now);
    // Ends all other targets with an instance id; the given one has replaced them.
    void supersedeOthers(const LocalTarget&);

    // --- actions of admission
    void perform(LocalTarget&, AdmissionActions&);
    void perform(LocalTarget&, StartOnTarget&&);
    void perform(LocalTarget&, CancelOnTarget&&);
    void perform(LocalTarget&, Reply&&);
    void perform(LocalTarget&, AnswerQuery&&);
    void requestEnded(LocalTarget&, const AttemptId&, SendResult);
    void targetFinished(LocalTarget&, const AttemptId&, SendResult, uint64_t targetEnd = 0);
    // Whether the target has ended is known when a new connection is refused or answered.
    void checkForEnd(LocalTarget&, uint32_t attempt);
    void endChecked(LocalTarget&, bool hasEnded);
    void recordEnd(LocalTarget&, size_t calls);
    // The process at the target's address is gone: fails its calls, refuses the waiting ones and closes the
    // connections. No call starts before the next announcement.
    void endProcess(LocalTarget&);
    static void logTargetAnswer(const LocalTarget&, const AttemptId&, const SendResult&);
    void applyDefinition(LocalTarget&, const ServiceDefinition&);

    AnnouncementOrder::Options makeOrderOptions() const;
    LocalTarget& findOrCreate(const ServiceName&);
    LocalTarget* find(const ServiceName&);
    template <typename Function> void forEach(Function&&);
    void pauseDetected(Duration gap);
    void stateChanged(LocalTarget&);
    void publishTargets();
    void updateDeparturesKnown();
    void updateConfirmed(Instant now);
    void expireAnnouncements(Instant now);
    void probeTargets(Instant now);
    void probe(LocalTarget&, Instant now);
    // Applies what an answer of the target tells about the target itself. Returns the report.
    TargetReport recordReport(LocalTarget&, const HttpResponse&, Instant sentAt, Instant now);
    void recordRequestLimit(LocalTarget&, const TargetReport&, Instant sentAt, Instant now);
    // Takes over what the target's health path says of its being cold.
    void recordColdTime(LocalTarget&, const TargetReport&);
    // Another process has answered on the target's address.
    static bool isFromOtherTarget(const LocalTarget&, const TargetReport&);
    void beginDeparture(LocalTarget&);
    void endFirstAnswerWait(LocalTarget&);
    // When to poll the load of the target, including the slowness of its VM, again; nothing while no calls arrive for
    // it.
    std::optional<Instant> nextLoadRead(const LocalTarget&, Instant now) const;
    void wake();
    void wakeBy(Instant due);
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
    // Number of process pauses of this node. The admission controllers of the targets number the same pauses
    // independently.
    uint64_t m_pauseNumber { 0 };
    // Operators have evacuated the zone of this node.
    bool m_isZoneEvacuated { false };
    bool m_isDraining { false };
    // Ends of targets seen by this process.
    uint64_t m_targetEnds { 0 };
    Instant m_nextCheck;
    // Time for which the timer is set.
    Instant m_nextWake;
    // Departures that are being persisted, with the time at which they are acknowledged regardless.
    std::list<PendingAcknowledgement> m_acknowledgements;

    // Receives the result of admission while a query is being processed; null otherwise.
    std::function<void(QueryReply)> m_queryReply;
};

} // namespace Berylport
