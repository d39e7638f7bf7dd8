// Socket creation and address conversion.
#include "Peer/Sockets.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

namespace Berylport {

namespace {

constexpr int listenBacklog = 1024;

Result<int, PeerError> createBoundSocket(const Endpoint& endpoint, int type)
{
    auto address = toSocketAddress(endpoint);
    if (!address)
        return PeerError::InvalidAddress;
    int fd = socket(address->storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return PeerError::ListenFailed;
    int on = 1;
    // A restarted node must be able to bind while connections of the previous process are in TIME_WAIT.
    if (type == SOCK_STREAM)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, address->get(), address->size) < 0) {
        close(fd);
        return PeerError::ListenFailed;
    }
    return fd;
}

} // namespace

std::optional<SocketAddress> toSocketAddress(const Endpoint& endpoint)
{
    SocketAddress address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        address.size = sizeof(sockaddr_in6);
        return address;
    }
    return std::nullopt;
}

Endpoint toEndpoint(const SocketAddress& address)
{
    char text[INET6_ADDRSTRLEN] = "";
    if (address.storage.ss_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof text);
        return { .address = text, .port = ntohs(v6->sin6_port) };
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    return { .address = text, .port = ntohs(v4->sin_port) };
}

Endpoint localEndpoint(int fd)
{
    SocketAddress address;
    getsockname(fd, address.get(), &address.size);
    return toEndpoint(address);
}

Result<int, PeerError> createListener(const Endpoint& endpoint)
{
    auto fd = createBoundSocket(endpoint, SOCK_STREAM);
    if (fd && listen(fd.value(), listenBacklog) < 0) {
        close(fd.value());
        return PeerError::ListenFailed;
    }
    return fd;
}

Result<int, PeerError> createDatagramSocket(const Endpoint& endpoint)
{
    return createBoundSocket(endpoint, SOCK_DGRAM);
}

Result<int, PeerError> startConnect(const Endpoint& endpoint)
{
    auto address = toSocketAddress(endpoint);
    if (!address)
        return PeerError::InvalidAddress;
    int fd = socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return PeerError::ConnectFailed;
    if (connect(fd, address->get(), address->size) < 0 && errno != EINPROGRESS) {
        close(fd);
        return PeerError::ConnectFailed;
    }
    return fd;
}

void enableTcpNoDelay(int fd)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool hasSocketError(int fd)
{
    int ec = 0;
    socklen_t size = sizeof ec;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size) < 0 || ec;
}

} // namespace Berylport
