// Listening for links and keeping the set of accepted ones.
#include "Peer/PeerServer.h"

#include "Loop/FdWatcher.h"
#include "Loop/Timer.h"
#include "Peer/ServerLink.h"
#include "Peer/Sockets.h"

#include <cerrno>
#include <map>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// When the process is out of descriptors the listener would otherwise be ready in every turn.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);
// Connections accepted in one turn before others get theirs.
constexpr int acceptsPerTurn = 64;

} // namespace

class PeerServer::Private final : public std::enable_shared_from_this<Private> {
public:
    Private(EventLoop& loop, NodeId self, PeerHandler& handler, PeerServerOptions options)
        : m_context { .loop = loop, .self = self, .handler = handler, .options = options, .counters = {} }
        , m_checkTimer(loop, [this] { checkSilence(); })
        , m_acceptTimer(loop, [this] { m_watcher->start(); })
    {
        m_checkTimer.startPeriodic(options.checkInterval);
    }

    ~Private() { stopListening(); }

    Result<Endpoint, PeerError> listen(const Endpoint&);
    void stopListening();
    void confirmLinks(const std::function<void(const LinkInfo&)>&);
    void close(LinkId);
    // Ends all links without events.
    void abandon();
    std::vector<LinkInfo> links() const;
    size_t connectionCount() const { return m_links.size(); }
    const PeerServerCounters& counters() const { return m_context.counters; }

private:
    void acceptAll();
    void addLink(int fd);
    void closeLater(LinkId);
    void checkSilence();

    ServerContext m_context;
    int m_fd { -1 };
    std::unique_ptr<FdWatcher> m_watcher;
    Timer m_checkTimer;
    Timer m_acceptTimer;
    uint64_t m_nextLink { 1 };
    std::map<LinkId, std::shared_ptr<ServerLink>> m_links;
};

Result<Endpoint, PeerError> PeerServer::Private::listen(const Endpoint& endpoint)
{
    stopListening();
    auto fd = createListener(endpoint);
    if (!fd)
        return fd.error();
    m_fd = fd.value();
    m_watcher = std::make_unique<FdWatcher>(m_context.loop, m_fd, FdInterest::Read, [this] { acceptAll(); });
    m_watcher->start();
    return localEndpoint(m_fd);
}

void PeerServer::Private::stopListening()
{
    m_acceptTimer.stop();
    m_watcher.reset();
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

void PeerServer::Private::acceptAll()
{
    for (int i = 0; i < acceptsPerTurn; ++i) {
        int fd = accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            addLink(fd);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            m_watcher->stop();
            m_acceptTimer.startOnce(acceptRetryDelay);
        }
        if (errno != EINTR && errno != ECONNABORTED)
            return;
    }
}

void PeerServer::Private::addLink(int fd)
{
    if (m_links.size() >= m_context.options.maximumLinks) {
        ++m_context.counters.rejected;
        ::close(fd);
        return;
    }
    ++m_context.counters.accepted;
    disableDelay(fd);
    LinkId id { m_nextLink++ };
    auto link = std::make_shared<ServerLink>(m_context, id, [this](LinkId ended) { closeLater(ended); });
    m_links.emplace(id, link);
    link->start(fd);
}

// Called from promises of the link, which must not be destroyed from inside their own callbacks.
void PeerServer::Private::closeLater(LinkId id)
{
    m_context.loop.post([self = weak_from_this(), id] {
        if (auto server = self.lock())
            server->close(id);
    });
}

void PeerServer::Private::close(LinkId id)
{
    auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    auto link = std::move(it->second);
    m_links.erase(it);
    bool wasOpen = link->isOpen();
    link->abort();
    if (wasOpen)
        m_context.handler.linkClosed(link->info());
    // May be called from a request of this very link.
    m_context.loop.post([self = shared_from_this(), link = std::move(link)]() mutable { link.reset(); });
}

void PeerServer::Private::abandon()
{
    stopListening();
    m_checkTimer.stop();
    for (auto& [id, link] : m_links) {
        link->abort();
        m_context.loop.post([self = shared_from_this(), link = std::move(link)]() mutable { link.reset(); });
    }
    m_links.clear();
}

void PeerServer::Private::checkSilence()
{
    std::vector<LinkId> silent;
    for (auto& [id, link] : m_links) {
        if (!link->checkSilence())
            silent.push_back(id);
    }
    m_context.counters.silentLinks += silent.size();
    for (LinkId it : silent)
        close(it);
}

void PeerServer::Private::confirmLinks(const std::function<void(const LinkInfo&)>& confirmed)
{
    for (auto& [id, link] : m_links) {
        if (link->isOpen())
            link->confirm(confirmed);
    }
}

std::vector<LinkInfo> PeerServer::Private::links() const
{
    std::vector<LinkInfo> infos;
    for (const auto& [id, link] : m_links) {
        if (link->isOpen())
            infos.push_back(link->info());
    }
    return infos;
}

PeerServer::PeerServer(EventLoop& loop, NodeId self, PeerHandler& handler, PeerServerOptions options)
    : m_private(std::make_shared<Private>(loop, self, handler, options))
{
}

PeerServer::~PeerServer() { m_private->abandon(); }

Result<Endpoint, PeerError> PeerServer::listen(const Endpoint& endpoint) { return m_private->listen(endpoint); }

void PeerServer::stopListening() { m_private->stopListening(); }

void PeerServer::confirmLinks(std::function<void(const LinkInfo&)> confirmed) { m_private->confirmLinks(confirmed); }

void PeerServer::closeLink(LinkId id) { m_private->close(id); }

std::vector<LinkInfo> PeerServer::links() const { return m_private->links(); }

size_t PeerServer::connectionCount() const { return m_private->connectionCount(); }

const PeerServerCounters& PeerServer::counters() const { return m_private->counters(); }

} // namespace Berylport
