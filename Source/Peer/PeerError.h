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
    // An earlier connect failed a short while ago and the next one is not due yet.
    BackingOff,
    // The process on the address has another NodeId than expected.
    WrongNode,
    WrongVersion,
    LinkLost,
    // The peer has not answered pings.
    PingTimeout,
    IdleClosed,
    // The owner has closed the link.
    Closed,
    // All links are in use.
    TooManyLinks,
    Cancelled,
    // An attempt with the same id is outstanding on this link.
    DuplicateAttempt,
    MessageTooLarge,
    Malformed,
    // The peer has rejected the request or failed to answer it.
    RemoteFailed,
    SendFailed,
};

std::string_view toText(PeerError);

} // namespace Berylport
