// One Cap'n Proto RPC connection over one socket, used by both ends of a link. Slow to compile: pulls in Cap'n Proto.
#pragma once

#include "Base/Identifiers.h"
#include "Loop/SocketStream.h"

#include <Peer.capnp.h>
#include <capnp/rpc-twoparty.h>
#include <functional>

namespace Berylport {

constexpr uint32_t peerProtocolVersion = 1;

// Message stream that reports each call request just before its first byte is written to the socket. A call that has
// not been reported was certainly not sent.
class CallWriteTracker final : public capnp::MessageStream {
public:
    using CallWritten = std::function<void(const AttemptId&)>;

    CallWriteTracker(SocketStream&, CallWritten);

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
        kj::ArrayPtr<kj::AutoCloseFd> fdSpace, capnp::ReaderOptions, kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

private:
    void reportIfCall(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments);

    SocketStream& m_socket;
    capnp::AsyncIoMessageStream m_stream;
    CallWritten m_callWritten;
};

class PeerConnection {
public:
    // Takes ownership of the descriptor.
    PeerConnection(EventLoop&, int fd, capnp::rpc::twoparty::Side, Schema::Peer::Client exported,
        size_t maximumMessageBytes, CallWriteTracker::CallWritten);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    // The bootstrap interface that the peer exports.
    Schema::Peer::Client remote();
    kj::Promise<void> onDisconnect();
    SocketStream& socket() { return m_socket; }

private:
    SocketStream m_socket;
    CallWriteTracker m_tracker;
    capnp::rpc::twoparty::Side m_side;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace Berylport
