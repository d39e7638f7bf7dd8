// kj::AsyncIoStream over a non-blocking stream socket on libevent. Heavy to compile: only for sources that use KJ.
#pragma once

#include "Loop/EventLoop.h"

#include <kj/async-io.h>
#include <vector>

namespace Berylport {

class SocketStream final : public kj::AsyncIoStream {
public:
    // Takes the descriptor over and makes it non-blocking.
    SocketStream(EventLoop&, int fd);
    ~SocketStream() noexcept(false);

    // Ends the connection at once in both directions. No byte leaves after this.
    void abort();
    bool isAborted() const { return m_isAborted; }
    uint64_t bytesRead() const { return m_bytesRead; }
    uint64_t bytesWritten() const { return m_bytesWritten; }

    kj::Promise<size_t> tryRead(void* buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void* buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    void getsockopt(int level, int option, void* value, kj::uint* length) override;
    void setsockopt(int level, int option, const void* value, kj::uint length) override;
    kj::Maybe<int> getFd() const override { return m_fd; }

private:
    // Resolves a promise once when the socket is ready.
    struct Readiness {
        EventPointer event;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        kj::Promise<void> wait();
        static void onReady(int, short, void*);
    };

    kj::Promise<size_t> readMore(kj::byte* buffer, size_t minBytes, size_t maxBytes, size_t done);
    kj::Promise<void> writeMore(
        kj::ArrayPtr<const kj::byte> first, kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> rest);
    size_t takeBuffered(kj::byte* buffer, size_t size);
    ssize_t receive(kj::byte* buffer, size_t size);

    int m_fd;
    bool m_isAborted { false };
    uint64_t m_bytesRead { 0 };
    uint64_t m_bytesWritten { 0 };
    Readiness m_readable;
    Readiness m_writable;
    // Bytes read ahead: a message takes two small reads, which one system call serves.
    std::vector<kj::byte> m_buffer;
    size_t m_bufferStart { 0 };
    size_t m_bufferEnd { 0 };
};

} // namespace Berylport
