// The receiving end of links: listens, checks who connects, and hands requests to a handler.
#pragma once

#include "Base/Base.h"
#include "Loop/EventLoop.h"
#include "Peer/PeerError.h"

#include <functional>
#include <memory>
#include <vector>

namespace Berylport {

// Names one accepted link of this process.
struct LinkId {
    uint64_t value { 0 };
    bool operator==(const LinkId&) const = default;
    bool operator<(const LinkId& other) const { return value < other.value; }
};

struct LinkInfo {
    LinkId id;
    NodeId peer;
};

using ReplyToCall = std::function<void(CallReply)>;
using ReplyToQuery = std::function<void(QueryReply)>;

// Requests of one link arrive in the order in which the peer sent them. Deadlines are on the own clock, the earliest
// possible time. A deadline that cannot be translated is the zero instant, which has passed. The reply functions may be
// called once, now or later, but must not outlive the event loop; a reply to a lost link is dropped. What a handler
// throws ends the loop, so a task passes guarded functions.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;
    virtual void callArrived(const LinkInfo&, CallRequest, ReplyToCall) = 0;
    virtual void cancelArrived(const LinkInfo&, CallCancel) = 0;
    virtual void queryArrived(const LinkInfo&, CallQuery, ReplyToQuery) = 0;
    virtual ConfigurationSnapshot configuration() = 0;
    virtual void versionReported(const LinkInfo&, NodeId, uint64_t version) = 0;
    virtual void linkOpened(const LinkInfo&) { }
    virtual void linkClosed(const LinkInfo&) { }
};

struct PeerServerOptions {
    size_t maximumLinks { 4096 };
    size_t maximumMessageBytes { 9 * 1024 * 1024 };
    // How often silent links are looked for.
    Duration checkInterval { std::chrono::milliseconds(500) };
    // A link from which nothing came for this long is closed, also one without a hello.
    Duration silenceLimit { std::chrono::seconds(3) };
};

struct PeerServerCounters {
    uint64_t accepted { 0 };
    // Closed at once, as there were too many links.
    uint64_t rejected { 0 };
    uint64_t refusedHellos { 0 };
    uint64_t malformedMessages { 0 };
    uint64_t silentLinks { 0 };
};

class PeerServer {
public:
    // The handler must outlive the server.
    PeerServer(EventLoop&, NodeId self, PeerHandler&, PeerServerOptions);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Returns the endpoint with the actual port. Port zero lets the system choose.
    Result<Endpoint, PeerError> listen(const Endpoint&);
    // Accepts no more links; the open ones stay.
    void stopListening();
    // Pings every open link now and calls the function for each one that answers. All that the peer had sent before
    // its answer has then been handed to the handler.
    void confirmLinks(std::function<void(const LinkInfo&)>);
    void closeLink(LinkId);

    std::vector<LinkInfo> links() const;
    // Accepted connections, with and without a hello.
    size_t connectionCount() const;
    const PeerServerCounters& counters() const;

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Berylport
