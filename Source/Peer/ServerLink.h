// One accepted link. Slow to compile: pulls in Cap'n Proto.
#pragma once

#include "Base/ClockOffset.h"
#include "Peer/InactivityMonitor.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerServer.h"

#include <optional>

namespace Berylport {

// State shared by all links of one server.
struct ServerContext {
    EventLoop& loop;
    NodeId self;
    PeerHandler& handler;
    PeerServerOptions options;
    PeerServerCounters counters;
};

class ServerLink final : public std::enable_shared_from_this<ServerLink>, private kj::TaskSet::ErrorHandler {
public:
    using ClosedCallback = std::function<void(LinkId)>;

    ServerLink(ServerContext&, LinkId, ClosedCallback);
    ~ServerLink();

    // Takes ownership of the descriptor.
    void start(int fd);
    // Called once per check interval; returns false when the inactivity limit is exceeded.
    bool checkActivity();
    void ping(const std::function<void(const LinkInfo&)>&);
    // Aborts the socket immediately. The server destroys the link later, from the event loop.
    void abort();
    bool isOpen() const { return m_state == State::Open; }
    const LinkInfo& info() const { return m_info; }

private:
    class Service;
    enum class State : uint8_t {
        AwaitingHello,
        Open,
        Refused,
        Closed,
    };

    void taskFailed(kj::Exception&&) override { m_closedCallback(m_info.id); }
    void requireOpen() const;
    [[noreturn]] void rejectMalformed();
    Schema::HelloStatus handleHello(Schema::Hello::Reader);
    void recordPing(Instant clock, Instant echoedClock, Instant echoReceivedAt);
    Instant toLocalDeadline(Instant peerTime) const;

    ServerContext& m_context;
    LinkInfo m_info;
    ClosedCallback m_closedCallback;
    State m_state { State::AwaitingHello };
    ClockOffset m_offset;
    InactivityMonitor m_inactivity;
    uint64_t m_bytesAtLastCheck { 0 };
    std::unique_ptr<PeerConnection> m_connection;
    // Interface that the peer exports; set when the link opens. Requesting it from the connection after the peer has
    // disconnected would throw, whereas requests on an existing capability only fail.
    std::optional<Schema::Peer::Client> m_remote;
    // Destroyed before the connection, as its promises refer to it.
    std::unique_ptr<kj::TaskSet> m_tasks;
};

} // namespace Berylport
