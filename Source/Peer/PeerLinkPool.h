// Pool of the links that a node opens to its peers: opened on demand or in advance, reconnected, closed when idle.
#pragma once

#include "Peer/PeerLink.h"

#include <functional>
#include <memory>

namespace Berylport {

struct PeerLinkPoolOptions {
    size_t maximumLinks { 64 };
    Duration idleTimeout { std::chrono::seconds(60) };
    Duration minimumBackoff { std::chrono::milliseconds(50) };
    Duration maximumBackoff { std::chrono::seconds(5) };
    // Losing a link that was open for at least this long resets its backoff: it is reconnected without delay.
    Duration backoffResetTime { std::chrono::seconds(1) };
    // Interval of the checks for idle links and due reconnects.
    Duration sweepInterval { std::chrono::milliseconds(100) };
    PeerLinkOptions link;
};

struct PeerLinkPoolEvents {
    std::function<void(const PeerAddress&)> opened;
    // Also called when a connection attempt failed.
    std::function<void(const PeerAddress&, PeerError)> closed;
};

// Completions and events are posted to the event loop. Destroying the pool discards them.
class PeerLinkPool {
public:
    // The seed initializes the random jitter of the reconnect backoff.
    PeerLinkPool(EventLoop&, NodeId self, uint64_t seed, PeerLinkPoolOptions, PeerLinkPoolEvents);
    ~PeerLinkPool();
    PeerLinkPool(const PeerLinkPool&) = delete;
    PeerLinkPool& operator=(const PeerLinkPool&) = delete;

    // Opens a link before its first use, or restarts its idle timeout. A lost link is reconnected until the timeout
    // expires.
    void open(const PeerAddress&);
    // Sends an attempt on one link once; the pool never retries. DuplicateAttempt means that an attempt with this id is
    // still outstanding and implies nothing about its outcome.
    void send(const PeerAddress&, CallRequest, CallCompletion);
    void cancel(const PeerAddress&, const CallCancel&);
    void query(const PeerAddress&, const CallQuery&, QueryCompletion);
    void fetchConfiguration(const PeerAddress&, uint64_t since, ConfigurationCompletion);
    void drainTarget(const PeerAddress&, const ServiceName&, bool isDrained, DrainCompletion);
    // Closes the link and stops reconnecting; for a node that is known to have left or failed.
    void disconnect(const PeerAddress&);

    bool isOpen(const PeerAddress&) const;
    // Number of links that are open or connecting.
    size_t linkCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Berylport
