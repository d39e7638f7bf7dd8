// Runs membership over the gossip socket and tells the other tasks what it learns.
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
    void handle(VersionInForce&&);
    void handle(CoordinatorHeld&&);
    void handle(RemindMembers&&);
    void handle(SeedsFound&&);
    void handle(DepartureKnown&&);
    void handle(MembersDoubted&&);
    void handle(BeginDrain&&);

    void perform(MembershipActions&);
    void perform(SendGossip&&);
    void perform(MemberEvent&&);
    void perform(MembersChanged&&);
    void perform(DeclaredDead&&);
    void perform(ContactChanged&&);
    void perform(PeerVersionSeen&&);
    void perform(CoordinatorLearned&&);
    void perform(DepartureRemembered&&);
    void publishMembers();
    void wake();
    void updateStatus();

    NodeContext& m_context;
    Mailbox<MembershipMessage> m_mailbox;
    GossipSocket m_socket;
    MembershipService m_service;
    Timer m_timer;
    PauseDetector m_pauses;
    // Published at most once an interval, as a publication of 3,900 members takes 9 ms.
    // True at first: the other tasks must hear of this node itself.
    bool m_hasChanges { true };
    Instant m_lastPublication;
    bool m_wasDiscoveryDone { false };
};

} // namespace Berylport
