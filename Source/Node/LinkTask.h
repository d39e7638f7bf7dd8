// Manages the links to peers: passes calls from peers to the target task, and sends the calls of this node to peers.
#pragma once

#include "Node/NodeContext.h"
#include "Peer/Peer.h"

#include <set>

namespace Berylport {

class LinkTask : public Task, private PeerHandler {
public:
    explicit LinkTask(NodeContext&);
    ~LinkTask() override;

    void start() override;
    void stop() noexcept override;

private:
    // --- requests from peers
    void callArrived(const LinkInfo&, CallRequest, ReplyToCall) override;
    void cancelArrived(const LinkInfo&, CallCancel) override;
    void queryArrived(const LinkInfo&, CallQuery, ReplyToQuery) override;
    ConfigurationOffer configuration(uint64_t since) override;
    void drainArrived(const LinkInfo&, const ServiceName&, bool isDrained, std::function<void(bool)>) override;
    void linkOpened(const LinkInfo&) override;
    void linkClosed(const LinkInfo&) override;

    // --- handlers of messages from other tasks
    void handle(SendAttempt&&);
    void handle(SendCancel&&);
    void handle(SendQuery&&);
    void handle(PeerEndpoints&&);
    void handle(ConfirmLinks&&);
    void handle(FetchConfiguration&&);
    void handle(MemberGone&&);
    void handle(SendActionAttempt&&);
    void handle(QueryActionAttempt&&);
    void handle(DrainRemoteTarget&&);
    void handle(BeginDrain&&);

    void closeUnconfirmed();
    // Returns nothing if the node is not in the membership table.
    std::optional<PeerAddress> addressOf(NodeId) const;

    NodeContext& m_context;
    Mailbox<LinkMessage> m_mailbox;
    PeerServer m_server;
    PeerLinkPool m_links;
    std::map<NodeId, Endpoint> m_endpoints;
    // Links whose peer has not answered a ping since the last process pause; closed when the timer fires.
    std::set<LinkId> m_unconfirmed;
    Timer m_confirmationTimer;
};

} // namespace Berylport
