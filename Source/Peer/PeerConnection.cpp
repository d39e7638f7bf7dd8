// RPC over a socket, with a record of which calls have begun to leave.
#include "Peer/PeerConnection.h"

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>

namespace Berylport {

namespace {

using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;

constexpr uint16_t callMethod = 2;

capnp::ReaderOptions readerOptions(size_t maximumMessageBytes)
{
    capnp::ReaderOptions options;
    // Also the limit on the size of a message, checked before memory for it is taken.
    options.traversalLimitInWords = maximumMessageBytes / sizeof(capnp::word);
    return options;
}

} // namespace

CallTracker::CallTracker(SocketStream& socket, CallWritten callWritten)
    : m_socket(socket)
    , m_stream(socket)
    , m_callWritten(std::move(callWritten))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> CallTracker::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fdSpace, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace)
{
    return m_stream.tryReadMessage(fdSpace, options, scratchSpace);
}

kj::Promise<void> CallTracker::writeMessage(kj::ArrayPtr<const int> fds, Segments segments)
{
    track(segments);
    return m_stream.writeMessage(fds, segments);
}

kj::Promise<void> CallTracker::writeMessages(kj::ArrayPtr<Segments> messages)
{
    for (auto& it : messages)
        track(it);
    return m_stream.writeMessages(messages);
}

kj::Maybe<int> CallTracker::getSendBufferSize() { return m_stream.getSendBufferSize(); }

kj::Promise<void> CallTracker::end() { return m_stream.end(); }

void CallTracker::track(Segments segments)
{
    if (!m_callWritten || m_socket.isAborted())
        return;
    capnp::SegmentArrayMessageReader reader(segments);
    auto message = reader.getRoot<capnp::rpc::Message>();
    if (!message.isCall())
        return;
    auto call = message.getCall();
    if (call.getInterfaceId() != capnp::typeId<Schema::Peer>() || call.getMethodId() != callMethod)
        return;
    auto id = call.getParams().getContent().getAs<Schema::Peer::CallParams>().getRequest().getId();
    AttemptId attempt;
    attempt.call = { .origin = NodeId { id.getOrigin() }, .sequence = id.getSequence() };
    attempt.attempt = id.getAttempt();
    m_callWritten(attempt);
}

PeerConnection::PeerConnection(EventLoop& loop, int fd, capnp::rpc::twoparty::Side side, Schema::Peer::Client exported,
    size_t maximumMessageBytes, CallTracker::CallWritten callWritten)
    : m_socket(loop, fd)
    , m_tracker(m_socket, std::move(callWritten))
    , m_side(side)
    , m_network(m_tracker, side, readerOptions(maximumMessageBytes))
    , m_rpc(capnp::makeRpcServer(m_network, kj::mv(exported)))
{
}

// Nothing that the RPC system still wants to send while it ends may leave.
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
