// RPC connection over a socket that reports which call requests have been written.
#include "Peer/PeerConnection.h"

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>

namespace Berylport {

namespace {

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;

constexpr uint16_t callMethodId = 2;

capnp::ReaderOptions readerOptions(size_t maximumMessageBytes)
{
    capnp::ReaderOptions options;
    // Cap'n Proto also applies this limit to the size of a message, before allocating memory for it.
    options.traversalLimitInWords = maximumMessageBytes / sizeof(capnp::word);
    return options;
}

} // namespace

CallWriteTracker::CallWriteTracker(SocketStream& socket, CallWritten callWritten)
    : m_socket(socket)
    , m_stream(socket)
    , m_callWritten(std::move(callWritten))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> CallWriteTracker::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fdSpace, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace)
{
    return m_stream.tryReadMessage(fdSpace, options, scratchSpace);
}

kj::Promise<void> CallWriteTracker::writeMessage(kj::ArrayPtr<const int> fds, Segments segments)
{
    reportIfCall(segments);
    return m_stream.writeMessage(fds, segments);
}

kj::Promise<void> CallWriteTracker::writeMessages(kj::ArrayPtr<Segments> messages)
{
    for (auto& it : messages)
        reportIfCall(it);
    return m_stream.writeMessages(messages);
}

kj::Maybe<int> CallWriteTracker::getSendBufferSize() { return m_stream.getSendBufferSize(); }

kj::Promise<void> CallWriteTracker::end() { return m_stream.end(); }

void CallWriteTracker::reportIfCall(Segments segments)
{
    if (!m_callWritten || m_socket.isAborted())
        return;
    capnp::SegmentArrayMessageReader reader(segments);
    auto message = reader.getRoot<capnp::rpc::Message>();
    if (!message.isCall())
        return;
    auto call = message.getCall();
    if (call.getInterfaceId() != capnp::typeId<Schema::Peer>() || call.getMethodId() != callMethodId)
        return;
    auto id = call.getParams().getContent().getAs<Schema::Peer::CallParams>().getRequest().getId();
    AttemptId attempt;
    attempt.call = { .origin = NodeId { id.getOrigin() }, .sequence = id.getSequence() };
    attempt.attempt = id.getAttempt();
    m_callWritten(attempt);
}

PeerConnection::PeerConnection(EventLoop& loop, int fd, capnp::rpc::twoparty::Side side, Schema::Peer::Client exported,
    size_t maximumMessageBytes, CallWriteTracker::CallWritten callWritten)
    : m_socket(loop, fd)
    , m_tracker(m_socket, std::move(callWritten))
    , m_side(side)
    , m_network(m_tracker, side, readerOptions(maximumMessageBytes))
    , m_rpc(capnp::makeRpcServer(m_network, kj::mv(exported)))
{
}

// Aborts the socket first, so that messages that the RPC system sends during its destruction are not written.
PeerConnection::~PeerConnection() { m_socket.abort(); }

Schema::Peer::Client PeerConnection::remote()
{
    capnp::word scratch[4] {};
    capnp::MallocMessageBuilder message(scratch);
    auto vatId = message.getRoot<capnp::rpc::twoparty::VatId>();
    bool isClient = m_side == capnp::rpc::twoparty::Side::CLIENT;
    vatId.setSide(isClient ? capnp::rpc::twoparty::Side::SERVER : capnp::rpc::twoparty::Side::CLIENT);
    return m_rpc.bootstrap(vatId).castAs<Schema::Peer>();
}

kj::Promise<void> PeerConnection::onDisconnect() { return m_network.onDisconnect(); }

} // namespace Berylport
