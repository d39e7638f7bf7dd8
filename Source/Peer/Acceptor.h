// Listening TCP socket that accepts connections for the peer server and the operator server.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Result.h"
#include "Loop/FdWatcher.h"
#include "Loop/Timer.h"
#include "Peer/PeerError.h"

#include <functional>
#include <memory>

namespace Berylport {

class Acceptor {
public:
    // Receives an accepted connection and owns its descriptor from then on.
    using Handler = std::function<void(int fd)>;

    Acceptor(EventLoop&, Handler);
    ~Acceptor() { stop(); }
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    // Replaces an earlier listening socket, if any. Returns the bound address with the actual port.
    Result<Endpoint, PeerError> listen(const Endpoint&);
    void stop();

private:
    void acceptPending();

    EventLoop& m_loop;
    Handler m_handler;
    // Negative while not listening.
    int m_fd { -1 };
    std::unique_ptr<FdWatcher> m_watcher;
    Timer m_retryTimer;
};

} // namespace Berylport
