// Creates TCP and UDP sockets from endpoints with numeric IP addresses.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Result.h"
#include "Peer/PeerError.h"

#include <optional>
#include <sys/socket.h>

namespace Berylport {

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t size { sizeof(sockaddr_storage) };
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

std::optional<SocketAddress> toSocketAddress(const Endpoint&);
Endpoint toEndpoint(const SocketAddress&);
// The local endpoint of a bound socket.
Endpoint localEndpoint(int fd);

// All sockets are created with SOCK_NONBLOCK and SOCK_CLOEXEC.
Result<int, PeerError> createListener(const Endpoint&);
Result<int, PeerError> createDatagramSocket(const Endpoint&);
// The connection is established, or has failed, when the socket becomes writable.
Result<int, PeerError> startConnect(const Endpoint&);
// Sets TCP_NODELAY: small messages must not wait for the acknowledgement of earlier ones (Nagle's algorithm).
void enableTcpNoDelay(int fd);
bool hasSocketError(int fd);

} // namespace Berylport
