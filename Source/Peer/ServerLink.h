// One accepted link. Heavy to compile.
#pragma once

#include "Peer/ClockOffset.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerServer.h"
#include "Peer/SilenceWatch.h"

#include <optional>

namespace Berylport {

// What the links of one server share.
struct ServerContext {
    EventLoop& loop;
    NodeId self;
    PeerHandler& handler;
    PeerServerOptions options;
    PeerServerCounters counters;
};

class ServerLink final : public std::enable_shared_from_this<ServerLink>, private kj::TaskSet::ErrorHandler {
public:
    using Ended = std::function<void(LinkId)>;

    ServerLink(ServerContext&, LinkId, Ended);
    ~ServerLink();

    // Takes the descriptor over.
    void start(int fd);
    // Returns false when the peer has been silent for too long.
    bool checkSilence();
    void confirm(const std::function<void(const LinkInfo&)>&);
    // Ends the socket at once. The link is destroyed in a later turn.
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

    void taskFailed(kj::Exception&&) override { m_ended(m_info.id); }
    void requireOpen() const;
    [[noreturn]] void rejectMalformed();
    Schema::HelloStatus acceptHello(Schema::Hello::Reader);
    void notePing(Instant clock, Instant echoedClock, Instant echoReceivedAt);
    Instant translate(Instant peerTime) const;

    ServerContext& m_context;
    LinkInfo m_info;
    Ended m_ended;
    State m_state { State::AwaitingHello };
    ClockOffset m_offset;
    SilenceWatch m_silence;
    uint64_t m_bytesAtLastCheck { 0 };
    std::unique_ptr<PeerConnection> m_connection;
    // What the peer exports; set while the link is open. Asking the connection for it later would fail once the peer
    // has vanished, whereas requests on it only end with an error.
    std::optional<Schema::Peer::Client> m_remote;
    // Destroyed before the connection, as its promises refer to it.
    std::unique_ptr<kj::TaskSet> m_tasks;
};

} // namespace Berylport
