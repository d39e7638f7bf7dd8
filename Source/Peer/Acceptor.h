// Accepts connections on one address for the servers of links and of operators.
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
    // Takes over the descriptor of an accepted connection.
    using Handler = std::function<void(int fd)>;

    Acceptor(EventLoop&, Handler);
    ~Acceptor() { stop(); }
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    // Stops listening on the address before, if there is one. Returns the address with the port in use.
    Result<Endpoint, PeerError> listen(const Endpoint&);
    void stop();

private:
    void acceptWaiting();

    EventLoop& m_loop;
    Handler m_handler;
    // Negative while not listening.
    int m_fd { -1 };
    std::unique_ptr<FdWatcher> m_watcher;
    Timer m_retryTimer;
};

} // namespace Berylport
