// Accept loop of a listening TCP socket.
#include "Peer/Acceptor.h"

#include "Peer/Sockets.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// Pause after accept4() fails for lack of descriptors or memory: the listening socket stays readable then, and polling
// it would wake every event loop iteration.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);
// Limits the connections accepted per event loop iteration, so that other watchers are served in between.
constexpr int maximumAcceptsPerIteration = 64;

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
    m_watcher = std::make_unique<FdWatcher>(m_loop, m_fd, FdInterest::Read, [this] { acceptPending(); });
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

void Acceptor::acceptPending()
{
    for (int i = 0; i < maximumAcceptsPerIteration; ++i) {
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
