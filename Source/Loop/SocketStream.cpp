// Socket I/O for KJ on libevent readiness.
#include "Loop/SocketStream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <kj/debug.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace Berylport {

namespace {

constexpr size_t readAheadBytes = 16 * 1024;
constexpr size_t maximumPieces = 64;

kj::Exception disconnected(const char* what)
{
    return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str(what));
}

bool isTemporary(int ec) { return ec == EAGAIN || ec == EWOULDBLOCK; }

} // namespace

kj::Promise<void> SocketStream::Readiness::wait()
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    fulfiller = kj::mv(pair.fulfiller);
    event_add(event.get(), nullptr);
    return kj::mv(pair.promise);
}

void SocketStream::Readiness::onReady(int, short, void* self)
{
    auto& readiness = *static_cast<Readiness*>(self);
    if (readiness.fulfiller)
        readiness.fulfiller->fulfill();
}

SocketStream::SocketStream(EventLoop& loop, int fd)
    : m_fd(fd)
{
    evutil_make_socket_nonblocking(fd);
    m_readable.event.reset(event_new(loop.base(), fd, EV_READ, &Readiness::onReady, &m_readable));
    m_writable.event.reset(event_new(loop.base(), fd, EV_WRITE, &Readiness::onReady, &m_writable));
}

SocketStream::~SocketStream() noexcept(false)
{
    m_readable.event.reset();
    m_writable.event.reset();
    close(m_fd);
}

void SocketStream::abort()
{
    m_isAborted = true;
    shutdown(m_fd, SHUT_RDWR);
}

kj::Promise<size_t> SocketStream::tryRead(void* buffer, size_t minBytes, size_t maxBytes)
{
    return readMore(static_cast<kj::byte*>(buffer), minBytes, maxBytes, 0);
}

kj::Promise<size_t> SocketStream::readMore(kj::byte* buffer, size_t minBytes, size_t maxBytes, size_t done)
{
    while (true) {
        done += takeBuffered(buffer + done, maxBytes - done);
        if (done >= minBytes)
            return done;
        ssize_t n = receive(buffer + done, maxBytes - done);
        if (!n)
            return done;
        if (n > 0) {
            done += static_cast<size_t>(n);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (!isTemporary(errno))
            return disconnected(strerror(errno));
        return m_readable.wait().then(
            [this, buffer, minBytes, maxBytes, done] { return readMore(buffer, minBytes, maxBytes, done); });
    }
}

size_t SocketStream::takeBuffered(kj::byte* buffer, size_t size)
{
    size_t n = std::min(size, m_bufferEnd - m_bufferStart);
    if (n)
        memcpy(buffer, m_buffer.data() + m_bufferStart, n);
    m_bufferStart += n;
    return n;
}

// Reads into the caller's buffer when that is large, and otherwise ahead. Zero means the end of the stream.
ssize_t SocketStream::receive(kj::byte* buffer, size_t size)
{
    if (m_isAborted)
        return 0;
    if (size >= readAheadBytes) {
        ssize_t n = recv(m_fd, buffer, size, 0);
        m_bytesRead += n > 0 ? static_cast<size_t>(n) : 0;
        return n;
    }
    if (m_buffer.empty())
        m_buffer.resize(readAheadBytes);
    ssize_t n = recv(m_fd, m_buffer.data(), m_buffer.size(), 0);
    if (n <= 0)
        return n;
    m_bytesRead += static_cast<size_t>(n);
    m_bufferStart = 0;
    m_bufferEnd = static_cast<size_t>(n);
    return static_cast<ssize_t>(takeBuffered(buffer, size));
}

kj::Promise<void> SocketStream::write(const void* buffer, size_t size)
{
    return writeMore(kj::arrayPtr(static_cast<const kj::byte*>(buffer), size), nullptr);
}

kj::Promise<void> SocketStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (!pieces.size())
        return kj::READY_NOW;
    return writeMore(pieces[0], pieces.slice(1, pieces.size()));
}

kj::Promise<void> SocketStream::writeMore(
    kj::ArrayPtr<const kj::byte> first, kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> rest)
{
    while (true) {
        while (!first.size()) {
            if (!rest.size())
                return kj::READY_NOW;
            first = rest[0];
            rest = rest.slice(1, rest.size());
        }
        if (m_isAborted)
            return disconnected("the connection was closed");
        iovec pieces[maximumPieces];
        size_t count = 1 + std::min(rest.size(), maximumPieces - 1);
        pieces[0] = { const_cast<kj::byte*>(first.begin()), first.size() };
        for (size_t i = 1; i < count; ++i)
            pieces[i] = { const_cast<kj::byte*>(rest[i - 1].begin()), rest[i - 1].size() };
        msghdr message {};
        message.msg_iov = pieces;
        message.msg_iovlen = count;
        // Without MSG_NOSIGNAL a closed peer would end the process with SIGPIPE.
        ssize_t n = sendmsg(m_fd, &message, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && isTemporary(errno))
            return m_writable.wait().then([this, first, rest] { return writeMore(first, rest); });
        if (n < 0)
            return disconnected(strerror(errno));
        auto left = static_cast<size_t>(n);
        m_bytesWritten += left;
        while (left >= first.size() && rest.size()) {
            left -= first.size();
            first = rest[0];
            rest = rest.slice(1, rest.size());
        }
        first = first.slice(left, first.size());
    }
}

// Allowed by the interface; a lost peer is noticed by reading.
kj::Promise<void> SocketStream::whenWriteDisconnected() { return kj::NEVER_DONE; }

void SocketStream::shutdownWrite() { shutdown(m_fd, SHUT_WR); }

void SocketStream::abortRead() { shutdown(m_fd, SHUT_RD); }

void SocketStream::getsockopt(int level, int option, void* value, kj::uint* length)
{
    socklen_t size = *length;
    KJ_SYSCALL(::getsockopt(m_fd, level, option, value, &size));
    *length = size;
}

void SocketStream::setsockopt(int level, int option, const void* value, kj::uint length)
{
    KJ_SYSCALL(::setsockopt(m_fd, level, option, value, length));
}

} // namespace Berylport
