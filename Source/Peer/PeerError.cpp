// Text form of the peer link errors.
#include "Peer/PeerError.h"

namespace Berylport {

std::string_view toText(PeerError error)
{
    switch (error) {
    case PeerError::ListenFailed:
        return "listen-failed";
    case PeerError::InvalidAddress:
        return "invalid-address";
    case PeerError::ConnectFailed:
        return "connect-failed";
    case PeerError::ConnectTimeout:
        return "connect-timeout";
    case PeerError::BackingOff:
        return "backing-off";
    case PeerError::WrongNode:
        return "wrong-node";
    case PeerError::ForeignSystem:
        return "foreign-system";
    case PeerError::WrongVersion:
        return "wrong-version";
    case PeerError::LinkLost:
        return "link-lost";
    case PeerError::PingTimeout:
        return "ping-timeout";
    case PeerError::IdleClosed:
        return "idle-closed";
    case PeerError::Closed:
        return "closed";
    case PeerError::TooManyLinks:
        return "too-many-links";
    case PeerError::Cancelled:
        return "cancelled";
    case PeerError::DuplicateAttempt:
        return "duplicate-attempt";
    case PeerError::MessageTooLarge:
        return "message-too-large";
    case PeerError::Malformed:
        return "malformed";
    case PeerError::RemoteFailed:
        return "remote-failed";
    case PeerError::SendFailed:
        return "send-failed";
    }
    return "unknown";
}

} // namespace Berylport
