// Runs the membership service on the gossip socket and publishes membership changes to the other tasks.
#pragma once

#include "Membership/Membership.h"
#include "Node/NodeContext.h"
#include "Peer/Peer.h"

namespace Berylport {

class MembershipTask : public Task {
public:
    explicit MembershipTask(NodeContext&);

    void start() override;
    void stop() noexcept override;

private:
    void handle(TargetsAnnounced&&);
    void handle(ConfigurationVersionApplied&&);
    void handle(ConfigurationConfirmed&&);
    void handle(CoordinatorLeaseAcquired&&);
    void handle(RemindMembers&&);
    void handle(SeedsFound&&);
    void handle(ReplicateDeparture&&);
    void handle(StoreEraSeen&&);
    void handle(EvacuationChanged&&);
    void handle(SuspectsChanged&&);
    void handle(MembershipRefreshRequested&&);
    void handle(QuotaMessageDue&&);
    void handle(BeginDrain&&);

    void perform(MembershipActions&);
    void perform(SendGossip&&);
    void perform(MemberEvent&&);
    void perform(MembersChanged&&);
    void perform(DeclaredDead&&);
    void perform(ContactChanged&&);
    void perform(PeerVersionSeen&&);
    void perform(StoreEraLearned&&);
    void perform(EvacuationLearned&&);
    void perform(CoordinatorLearned&&);
    void perform(PredecessorDepartureLearned&&);
    void foreignSystemSeen(const Endpoint& from);
    void publishMembers();
    void publishQuotaMembers();
    void wake();
    void updateStatus();

    NodeContext& m_context;
    Mailbox<MembershipMessage> m_mailbox;
    GossipSocket m_socket;
    MembershipService m_service;
    Timer m_timer;
    PauseDetector m_pauses;
    // Whether there are unpublished changes. Publications are rate-limited, as one of 3,900 members takes 9 ms.
    // Initially true, as the record of this node itself must be published.
    bool m_hasChanges { true };
    Instant m_lastPublication;
    // Until when further datagrams of other systems are only counted.
    Instant m_foreignQuietUntil;
    bool m_wasDiscoveryDone { false };
};

} // namespace Berylport
