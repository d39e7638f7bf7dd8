// All sending links of a node: opened on demand and ahead, reconnected, and closed when idle.
#pragma once

#include "Peer/PeerLink.h"

#include <functional>
#include <memory>

namespace Berylport {

struct PeerLinksOptions {
    size_t maximumLinks { 64 };
    Duration idleTimeout { std::chrono::seconds(60) };
    Duration minimumBackoff { std::chrono::milliseconds(50) };
    Duration maximumBackoff { std::chrono::seconds(5) };
    // A link that was open for this long is reconnected without a delay when it is lost.
    Duration stableTime { std::chrono::seconds(1) };
    // How often idle links and due reconnects are looked for.
    Duration sweepInterval { std::chrono::milliseconds(100) };
    PeerLinkOptions link;
};

struct PeerLinksEvents {
    std::function<void(const PeerAddress&)> opened;
    // Also when a link could not be opened.
    std::function<void(const PeerAddress&, PeerError)> closed;
};

// Completions and events are called in a later turn. Destroying the object drops them.
class PeerLinks {
public:
    // The seed decides the jitter of reconnects.
    PeerLinks(EventLoop&, NodeId self, uint64_t seed, PeerLinksOptions, PeerLinksEvents);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    // Opens a link ahead of its use, or keeps it for another idle time. A lost link is reconnected until it is idle.
    void open(const PeerAddress&);
    // An attempt goes to one link once and is never repeated here. DuplicateAttempt means that an attempt with this id
    // is still outstanding and says nothing about it.
    void send(const PeerAddress&, CallRequest, CallCompletion);
    void cancel(const PeerAddress&, const CallCancel&);
    void query(const PeerAddress&, const CallQuery&, QueryCompletion);
    void fetchConfiguration(const PeerAddress&, uint64_t since, ConfigurationCompletion);
    void drainTarget(const PeerAddress&, const ServiceName&, bool isDrained, DrainCompletion);
    // Closes the link and stops reconnecting, as for a node known to be gone.
    void forget(const PeerAddress&);

    bool isOpen(const PeerAddress&) const;
    // Links that are open or connecting.
    size_t linkCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Berylport
