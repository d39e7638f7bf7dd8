// UDP socket that sends and receives gossip datagrams.
#include "Peer/GossipSocket.h"

#include "Loop/FdWatcher.h"
#include "Peer/Sockets.h"

#include <cerrno>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// Limits the datagrams read per event loop iteration, so that other watchers are served in between.
constexpr int maximumDatagramsPerIteration = 64;

} // namespace

class GossipSocket::Private {
public:
    Private(EventLoop& loop, Receiver receiver, uint64_t system, ForeignHandler onForeign)
        : m_loop(loop)
        , m_receiver(std::move(receiver))
        , m_system(system)
        , m_onForeign(std::move(onForeign))
    {
    }

    ~Private() { close(); }

    Result<Endpoint, PeerError> listen(const Endpoint&);
    Result<size_t, PeerError> send(const Endpoint&, const Result<std::string, PeerError>& datagram);
    uint64_t system() const { return m_system; }
    void setQuotaReceiver(QuotaReceiver receiver) { m_quotaReceiver = std::move(receiver); }
    const GossipCounters& counters() const { return m_counters; }

private:
    void close();
    void receivePending();
    void handleDatagram(const SocketAddress&, std::string_view datagram);

    EventLoop& m_loop;
    Receiver m_receiver;
    QuotaReceiver m_quotaReceiver;
    uint64_t m_system;
    ForeignHandler m_onForeign;
    int m_fd { -1 };
    std::unique_ptr<FdWatcher> m_watcher;
    GossipCounters m_counters;
};

void GossipSocket::Private::close()
{
    m_watcher.reset();
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

Result<Endpoint, PeerError> GossipSocket::Private::listen(const Endpoint& endpoint)
{
    close();
    auto fd = createDatagramSocket(endpoint);
    if (!fd)
        return fd.error();
    m_fd = fd.value();
    m_watcher = std::make_unique<FdWatcher>(m_loop, m_fd, FdInterest::Read, [this] { receivePending(); });
    m_watcher->start();
    return localEndpoint(m_fd);
}

Result<size_t, PeerError> GossipSocket::Private::send(
    const Endpoint& to, const Result<std::string, PeerError>& datagram)
{
    auto address = toSocketAddress(to);
    if (!address)
        return PeerError::InvalidAddress;
    if (!datagram)
        return datagram.error();
    const std::string& bytes = datagram.value();
    ssize_t n = sendto(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, address->get(), address->size);
    if (n < 0) {
        ++m_counters.sendFailures;
        return PeerError::SendFailed;
    }
    ++m_counters.sent;
    m_counters.sentBytes += bytes.size();
    return bytes.size();
}

void GossipSocket::Private::receivePending()
{
    for (int i = 0; i < maximumDatagramsPerIteration && m_fd >= 0; ++i) {
        // One byte above the limit, so that an oversized datagram is detected instead of truncated to a valid size.
        char buf[maximumGossipBytes + 1];
        SocketAddress from;
        ssize_t n = recvfrom(m_fd, buf, sizeof buf, 0, from.get(), &from.size);
        // An ICMP error caused by an earlier send is reported here; it does not concern a received datagram.
        if (n < 0 && (errno == EINTR || errno == ECONNREFUSED))
            continue;
        if (n < 0)
            return;
        handleDatagram(from, { buf, static_cast<size_t>(n) });
    }
}

void GossipSocket::Private::handleDatagram(const SocketAddress& from, std::string_view datagram)
{
    ++m_counters.received;
    m_counters.receivedBytes += datagram.size();
    auto message = decodeDatagram(datagram, steadyNow(), m_system);
    if (message) {
        if (auto* quota = std::get_if<QuotaMessage>(&message.value())) {
            if (m_quotaReceiver)
                m_quotaReceiver(std::move(*quota));
        } else
            m_receiver(toEndpoint(from), std::get<GossipMessage>(std::move(message).value()));
    } else if (message.error() == PeerError::ForeignSystem) {
        ++m_counters.foreign;
        if (m_onForeign)
            m_onForeign(toEndpoint(from));
    } else
        ++m_counters.malformed;
}

GossipSocket::GossipSocket(EventLoop& loop, Receiver receiver, uint64_t system, ForeignHandler onForeign)
    : m_private(std::make_unique<Private>(loop, std::move(receiver), system, std::move(onForeign)))
{
}

GossipSocket::~GossipSocket() = default;

Result<Endpoint, PeerError> GossipSocket::listen(const Endpoint& endpoint) { return m_private->listen(endpoint); }

Result<size_t, PeerError> GossipSocket::send(const Endpoint& to, const GossipMessage& message)
{
    return m_private->send(to, encodeGossip(message, steadyNow(), m_private->system()));
}

Result<size_t, PeerError> GossipSocket::send(const Endpoint& to, const QuotaMessage& message)
{
    return m_private->send(to, encodeQuota(message, m_private->system()));
}

void GossipSocket::setQuotaReceiver(QuotaReceiver receiver) { m_private->setQuotaReceiver(std::move(receiver)); }

const GossipCounters& GossipSocket::counters() const { return m_private->counters(); }

} // namespace Berylport
