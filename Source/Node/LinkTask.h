// The links of a node: takes calls from peers to the target task, and carries this node's calls to peers.
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
    // --- from peers
    void callArrived(const LinkInfo&, CallRequest, ReplyToCall) override;
    void cancelArrived(const LinkInfo&, CallCancel) override;
    void queryArrived(const LinkInfo&, CallQuery, ReplyToQuery) override;
    ConfigurationOffer configuration(uint64_t since) override;
    void drainArrived(const LinkInfo&, const ServiceName&, bool isDrained, std::function<void(bool)>) override;
    void linkOpened(const LinkInfo&) override;
    void linkClosed(const LinkInfo&) override;

    // --- from the other tasks
    void handle(SendAttempt&&);
    void handle(SendCancel&&);
    void handle(SendQuery&&);
    void handle(PeerBook&&);
    void handle(ConfirmLinks&&);
    void handle(FetchConfiguration&&);
    void handle(MemberGone&&);
    void handle(SendForAction&&);
    void handle(QueryForAction&&);
    void handle(DrainRemoteTarget&&);
    void handle(BeginDrain&&);

    void closeUnconfirmed();
    // Nothing when membership does not know the node.
    std::optional<PeerAddress> addressOf(NodeId) const;

    NodeContext& m_context;
    Mailbox<LinkMessage> m_mailbox;
    PeerServer m_server;
    PeerLinks m_links;
    std::map<NodeId, Endpoint> m_endpoints;
    // Links that have not answered since the last pause; they are closed when the timer fires.
    std::set<LinkId> m_unconfirmed;
    Timer m_confirmationTimer;
};

} // namespace Berylport
