// Errors of the links between nodes.
#pragma once

#include <cstdint>
#include <string_view>

namespace Berylport {

enum class PeerError : uint8_t {
    ListenFailed,
    InvalidAddress,
    ConnectFailed,
    ConnectTimeout,
    // The last connection attempt failed and the reconnect backoff has not expired.
    BackingOff,
    // The node at the address has another NodeId than expected.
    WrongNode,
    WrongVersion,
    // The sender belongs to another system.
    ForeignSystem,
    LinkLost,
    // The peer did not answer keepalive pings within the inactivity limit.
    PingTimeout,
    IdleClosed,
    // The owner has closed the link.
    Closed,
    // The limit on links is reached and all of them have outstanding requests.
    TooManyLinks,
    Cancelled,
    // An attempt with the same id is outstanding on this link.
    DuplicateAttempt,
    MessageTooLarge,
    Malformed,
    // The peer rejected the request or failed while handling it.
    RemoteFailed,
    SendFailed,
};

std::string_view toText(PeerError);

} // namespace Berylport
