// The sending end of a link: opens one connection to a peer and carries all calls to it.
#pragma once

#include "Base/Base.h"
#include "Loop/EventLoop.h"
#include "Peer/PeerError.h"

#include <functional>
#include <memory>

namespace Berylport {

struct PeerAddress {
    // Null when the node on the endpoint is not known yet; any node is then accepted.
    NodeId node;
    Endpoint endpoint;
    bool operator==(const PeerAddress&) const = default;
};

// The request was never handed to the socket and never will be.
struct CallNotSent {
    AttemptId id;
    PeerError cause { PeerError::Closed };
    bool operator==(const CallNotSent&) const = default;
};

// A reply of the peer; CallLost{LinkLost} when the link was lost after a byte of the request may have left; or
// CallNotSent.
using CallResult = Result<CallReply, CallNotSent>;
using CallCompletion = std::function<void(CallResult)>;
using QueryCompletion = std::function<void(Result<QueryReply, PeerError>)>;
using ConfigurationCompletion = std::function<void(Result<ConfigurationOffer, PeerError>)>;
// Whether the peer has such a target.
using DrainCompletion = std::function<void(Result<bool, PeerError>)>;

struct PeerLinkOptions {
    // Covers the connect and the hello.
    Duration connectTimeout { std::chrono::milliseconds(500) };
    Duration pingInterval { std::chrono::milliseconds(500) };
    // A link without an answer for this long is closed.
    Duration silenceLimit { std::chrono::seconds(3) };
    // Twice the largest response and its headers.
    size_t maximumMessageBytes { 9 * 1024 * 1024 };
};

struct PeerLinkEvents {
    std::function<void()> opened;
    // The last event, also when the link could not be opened. Not called when the owner destroys the link.
    std::function<void(PeerError)> closed;
};

// Completions and events are called in a later turn, each exactly once, in no case from inside a function of the link.
// Destroying the link drops them.
class PeerLink {
public:
    // Starts to connect at once. Requests made before the link is open wait for it.
    PeerLink(EventLoop&, NodeId self, PeerAddress, PeerLinkOptions, PeerLinkEvents);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    // The deadline is on the own clock. DuplicateAttempt says nothing about the first request with that id.
    void send(CallRequest, CallCompletion);
    // Takes back a request that still waits for the link; otherwise tells the peer.
    void cancel(const CallCancel&);
    void query(const CallQuery&, QueryCompletion);
    // What the peer holds beyond the given version.
    void fetchConfiguration(uint64_t since, ConfigurationCompletion);
    void drainTarget(const ServiceName&, bool isDrained, DrainCompletion);
    void close(PeerError = PeerError::Closed);

    bool isOpen() const;
    bool isClosed() const;
    // The node at the other end; null until the link is open.
    NodeId peer() const;
    // Requests without a result so far.
    size_t outstanding() const;
    uint64_t bytesRead() const;
    uint64_t bytesWritten() const;

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Berylport
