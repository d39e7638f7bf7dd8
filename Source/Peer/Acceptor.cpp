#include "Peer/Acceptor.h"

#include "Peer/Sockets.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// When the process is out of descriptors the listener would otherwise be ready in every turn.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);
// Connections accepted in one turn before others get theirs.
constexpr int acceptsPerTurn = 64;

} // namespace

Acceptor::Acceptor(EventLoop& loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_retryTimer(loop, [this] { m_watcher->start(); })
{
}

Result<Endpoint, PeerError> Acceptor::listen(const Endpoint& endpoint)
{
    stop();
    auto fd = createListener(endpoint);
    if (!fd)
        return fd.error();
    m_fd = fd.value();
    m_watcher = std::make_unique<FdWatcher>(m_loop, m_fd, FdInterest::Read, [this] { acceptWaiting(); });
    m_watcher->start();
    return localEndpoint(m_fd);
}

void Acceptor::stop()
{
    m_retryTimer.stop();
    m_watcher.reset();
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

void Acceptor::acceptWaiting()
{
    for (int i = 0; i < acceptsPerTurn; ++i) {
        int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            m_handler(fd);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            m_watcher->stop();
            m_retryTimer.startOnce(acceptRetryDelay);
        }
        if (errno != EINTR && errno != ECONNABORTED)
            return;
    }
}

} // namespace Berylport
