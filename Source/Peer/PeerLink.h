// Client side of a link: opens one connection to a peer and multiplexes all calls to it.
#pragma once

#include "Base/Base.h"
#include "Loop/EventLoop.h"
#include "Peer/PeerError.h"

#include <functional>
#include <memory>

namespace Berylport {

struct PeerAddress {
    // Null when the node at the endpoint is not known yet; any node is accepted then.
    NodeId node;
    Endpoint endpoint;
    bool operator==(const PeerAddress&) const = default;
};

// No byte of the request was written to the socket, and none will be: a retry cannot execute it twice.
struct CallNotSent {
    AttemptId id;
    PeerError cause { PeerError::Closed };
    bool operator==(const CallNotSent&) const = default;
};

// The peer's reply; CallLost{LinkLost} when the link was lost after a byte of the request may have been sent; or
// CallNotSent.
using CallResult = Result<CallReply, CallNotSent>;
using CallCompletion = std::function<void(CallResult)>;
using QueryCompletion = std::function<void(Result<QueryReply, PeerError>)>;
using ConfigurationCompletion = std::function<void(Result<ConfigurationOffer, PeerError>)>;
// The result is true when the peer knows the target.
using DrainCompletion = std::function<void(Result<bool, PeerError>)>;

struct PeerLinkOptions {
    // Covers the TCP connect and the hello handshake.
    Duration connectTimeout { std::chrono::milliseconds(500) };
    Duration pingInterval { std::chrono::milliseconds(500) };
    // A link on which nothing is received for this long is closed; LinkMonitor closes one with calls sooner.
    Duration inactivityTimeout { std::chrono::seconds(3) };
    // Twice the size of the largest response with its headers.
    size_t maximumMessageBytes { 9 * 1024 * 1024 };
};

struct PeerLinkEvents {
    std::function<void()> opened;
    // The last event, also when the connection attempt failed. Not called when the owner destroys the link.
    std::function<void(PeerError)> closed;
};

// Completions and events are posted to the event loop: each is called exactly once and never from inside a function of
// the link. Destroying the link discards them.
class PeerLink {
public:
    // Starts to connect immediately. Requests made before the link is open are queued.
    PeerLink(EventLoop&, NodeId self, PeerAddress, PeerLinkOptions, PeerLinkEvents);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    // The deadline is on the local clock. DuplicateAttempt implies nothing about the outcome of the first request with
    // that id.
    void send(CallRequest, CallCompletion);
    // Drops a request that is still queued for the link; otherwise sends a cancellation to the peer.
    void cancel(const CallCancel&);
    void query(const CallQuery&, QueryCompletion);
    // Fetches the peer's configuration changes since the given version.
    void fetchConfiguration(uint64_t since, ConfigurationCompletion);
    void drainTarget(const ServiceName&, bool isDrained, DrainCompletion);
    void close(PeerError = PeerError::Closed);

    bool isOpen() const;
    bool isClosed() const;
    // The node at the other end; null until the link is open.
    NodeId peer() const;
    // Number of requests that have not completed yet.
    size_t outstanding() const;
    uint64_t bytesRead() const;
    uint64_t bytesWritten() const;

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Berylport
