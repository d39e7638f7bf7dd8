// Server side of links: listens, validates the hello of each peer, and passes requests to a handler.
#pragma once

#include "Base/Base.h"
#include "Loop/EventLoop.h"
#include "Peer/PeerError.h"

#include <functional>
#include <memory>
#include <vector>

namespace Berylport {

struct LinkInfo {
    LinkId id;
    NodeId peer;
};

using ReplyToCall = std::function<void(CallReply)>;
using ReplyToQuery = std::function<void(QueryReply)>;
using ReplyToDrain = std::function<void(bool isKnown)>;

// Requests of one link arrive in the order in which the peer sent them. Deadlines are converted to the local clock
// as the earliest possible time; a deadline that cannot be converted is the zero instant, which has passed. The reply
// functions may be called once, now or later, but must not outlive the event loop; a reply to a lost link is dropped.
// An exception from a handler ends the event loop, so tasks pass guarded functions.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual void callArrived(const LinkInfo&, CallRequest, ReplyToCall) = 0;
    virtual void cancelArrived(const LinkInfo&, CallCancel) = 0;
    virtual void queryArrived(const LinkInfo&, CallQuery, ReplyToQuery) = 0;
    virtual ConfigurationOffer configuration(uint64_t since) = 0;
    virtual void drainArrived(const LinkInfo&, const ServiceName&, bool isDrained, ReplyToDrain) = 0;
    virtual void linkOpened(const LinkInfo&) { }
    virtual void linkClosed(const LinkInfo&) { }
};

struct PeerServerOptions {
    size_t maximumLinks { 4096 };
    size_t maximumMessageBytes { 9 * 1024 * 1024 };
    // Interval of the checks for inactive links.
    Duration checkInterval { std::chrono::milliseconds(500) };
    // A link on which nothing is received for this long is closed, also before its hello.
    Duration inactivityTimeout { std::chrono::seconds(3) };
};

struct PeerServerCounters {
    uint64_t accepted { 0 };
    // Connections closed immediately because the limit on links was reached.
    uint64_t rejected { 0 };
    uint64_t refusedHellos { 0 };
    uint64_t malformedMessages { 0 };
    uint64_t inactiveLinks { 0 };
};

class PeerServer {
public:
    // The handler must outlive the server.
    PeerServer(EventLoop&, NodeId self, PeerHandler&, PeerServerOptions);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Returns the bound endpoint. With port zero, the operating system chooses the port.
    Result<Endpoint, PeerError> listen(const Endpoint&);
    // Stops accepting links; open links stay open.
    void stopListening();
    // Pings every open link and calls the function for each one that answers. By then the handler has received
    // everything that the peer sent before its answer.
    void pingLinks(std::function<void(const LinkInfo&)>);
    void closeLink(LinkId);

    std::vector<LinkInfo> links() const;
    // Number of accepted connections, including those without a hello yet.
    size_t connectionCount() const;
    const PeerServerCounters& counters() const;

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Berylport
