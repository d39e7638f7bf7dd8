// Accepts links and owns the accepted ones.
#include "Peer/PeerServer.h"

#include "Loop/Timer.h"
#include "Peer/Acceptor.h"
#include "Peer/ServerLink.h"
#include "Peer/Sockets.h"

#include <map>
#include <unistd.h>
#include <utility>

namespace Berylport {

class PeerServer::Private final : public std::enable_shared_from_this<Private> {
public:
    Private(EventLoop& loop, NodeId self, PeerHandler& handler, PeerServerOptions options)
        : m_context { .loop = loop, .self = self, .handler = handler, .options = options, .counters = {} }
        , m_checkTimer(loop, [this] { closeInactiveLinks(); })
        , m_acceptor(loop, [this](int fd) { addLink(fd); })
    {
        m_checkTimer.startPeriodic(options.checkInterval);
    }

    Result<Endpoint, PeerError> listen(const Endpoint& endpoint) { return m_acceptor.listen(endpoint); }
    void stopListening() { m_acceptor.stop(); }
    void pingLinks(const std::function<void(const LinkInfo&)>&);
    void close(LinkId);
    // Aborts all links without calling the handler.
    void closeWithoutEvents();
    std::vector<LinkInfo> links() const;
    size_t connectionCount() const { return m_links.size(); }
    const PeerServerCounters& counters() const { return m_context.counters; }

private:
    void addLink(int fd);
    void closeLater(LinkId);
    void closeInactiveLinks();

    ServerContext m_context;
    Timer m_checkTimer;
    Acceptor m_acceptor;
    uint64_t m_nextLink { 1 };
    std::map<LinkId, std::shared_ptr<ServerLink>> m_links;
};

void PeerServer::Private::addLink(int fd)
{
    if (m_links.size() >= m_context.options.maximumLinks) {
        ++m_context.counters.rejected;
        ::close(fd);
        return;
    }
    ++m_context.counters.accepted;
    enableTcpNoDelay(fd);
    LinkId id { m_nextLink++ };
    auto link = std::make_shared<ServerLink>(m_context, id, [this](LinkId ended) { closeLater(ended); });
    m_links.emplace(id, link);
    link->start(fd);
}

// Called from promise callbacks of the link. A promise must not be destroyed from inside its own callback, so the close
// is posted to the event loop.
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
    // May be called while a request of this link is being handled, so its destruction is posted.
    m_context.loop.post([self = shared_from_this(), link = std::move(link)]() mutable { link.reset(); });
}

void PeerServer::Private::closeWithoutEvents()
{
    stopListening();
    m_checkTimer.stop();
    for (auto& [id, link] : m_links) {
        link->abort();
        m_context.loop.post([self = shared_from_this(), link = std::move(link)]() mutable { link.reset(); });
    }
    m_links.clear();
}

void PeerServer::Private::closeInactiveLinks()
{
    std::vector<LinkId> silent;
    for (auto& [id, link] : m_links) {
        if (!link->checkActivity())
            silent.push_back(id);
    }
    m_context.counters.inactiveLinks += silent.size();
    for (LinkId it : silent)
        close(it);
}

void PeerServer::Private::pingLinks(const std::function<void(const LinkInfo&)>& confirmed)
{
    for (auto& [id, link] : m_links) {
        if (link->isOpen())
            link->ping(confirmed);
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

PeerServer::~PeerServer() { m_private->closeWithoutEvents(); }

Result<Endpoint, PeerError> PeerServer::listen(const Endpoint& endpoint) { return m_private->listen(endpoint); }

void PeerServer::stopListening() { m_private->stopListening(); }

void PeerServer::pingLinks(std::function<void(const LinkInfo&)> confirmed) { m_private->pingLinks(confirmed); }

void PeerServer::closeLink(LinkId id) { m_private->close(id); }

std::vector<LinkInfo> PeerServer::links() const { return m_private->links(); }

size_t PeerServer::connectionCount() const { return m_private->connectionCount(); }

const PeerServerCounters& PeerServer::counters() const { return m_private->counters(); }

} // namespace Berylport
