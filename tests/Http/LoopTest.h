// An event loop that a test turns itself, and a raw TCP client and server whose bytes the test chooses.
#pragma once

#include "Base/Base.h"
#include "Http/EventPointers.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <event2/event.h>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Berylport {

// Only a failing test waits this long, so a busy machine does not change a verdict.
constexpr auto testPatience = std::chrono::seconds(30);

class LoopTest : public testing::Test {
protected:
    LoopTest() { std::signal(SIGPIPE, SIG_IGN); }

    event_base* base() const { return m_base.get(); }

    void turn()
    {
        event_base_loop(base(), EVLOOP_NONBLOCK);
        std::this_thread::sleep_for(std::chrono::microseconds(100));
    }

    // Turns the loop until the condition holds; false when it does not within the patience.
    bool runUntil(const std::function<bool()>& condition)
    {
        auto end = steadyNow() + testPatience;
        while (!condition()) {
            if (steadyNow() > end)
                return false;
            turn();
        }
        return true;
    }

    void runFor(Duration duration)
    {
        auto end = steadyNow() + duration;
        while (steadyNow() < end)
            turn();
    }

private:
    EventBasePointer m_base { makeEventBase() };
};

// A non-blocking socket. What has been read is kept in one string.
class RawSocket {
public:
    explicit RawSocket(int fd = -1)
        : m_fd(fd)
    {
        if (fd >= 0)
            fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    }
    RawSocket(RawSocket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_received(std::move(other.m_received))
        , m_isAtEnd(other.m_isAtEnd)
    {
    }
    RawSocket& operator=(RawSocket&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        std::swap(m_received, other.m_received);
        std::swap(m_isAtEnd, other.m_isAtEnd);
        return *this;
    }
    ~RawSocket() { close(); }

    static RawSocket connectTo(const Endpoint& endpoint)
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        auto address = makeAddress(endpoint.port);
        EXPECT_EQ(0, connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
        return RawSocket(fd);
    }

    static sockaddr_in makeAddress(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    // The peer gets a reset instead of an orderly end.
    void reset()
    {
        linger option { .l_onoff = 1, .l_linger = 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    // Sends what the socket takes and returns how many bytes that was.
    size_t trySend(std::string_view bytes)
    {
        auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return n < 0 ? 0 : static_cast<size_t>(n);
    }
    void send(std::string_view bytes) { ASSERT_EQ(bytes.size(), trySend(bytes)); }

    // Reads what is there.
    const std::string& received()
    {
        std::array<char, 65536> buf;
        while (m_fd >= 0 && !m_isAtEnd) {
            auto n = recv(m_fd, buf.data(), buf.size(), 0);
            if (n < 0 && errno == EAGAIN)
                break;
            if (n <= 0) {
                m_isAtEnd = true;
                m_wasReset = n < 0;
                break;
            }
            m_received.append(buf.data(), static_cast<size_t>(n));
        }
        return m_received;
    }
    bool isAtEnd()
    {
        received();
        return m_isAtEnd;
    }
    bool wasReset() const { return m_wasReset; }
    void clear() { m_received.clear(); }

private:
    int m_fd;
    std::string m_received;
    bool m_isAtEnd { false };
    bool m_wasReset { false };
};

// A listening socket that accepts by hand.
class RawListener {
public:
    explicit RawListener(int backlog = 16)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        auto address = RawSocket::makeAddress(0);
        EXPECT_EQ(0, bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
        EXPECT_EQ(0, listen(m_fd, backlog));
        socklen_t length = sizeof(address);
        getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
        m_endpoint = { .address = "127.0.0.1", .port = ntohs(address.sin_port) };
    }
    RawListener(const RawListener&) = delete;
    RawListener& operator=(const RawListener&) = delete;
    ~RawListener() { close(); }

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    const Endpoint& endpoint() const { return m_endpoint; }
    // Empty when no connection waits.
    std::optional<RawSocket> accept()
    {
        int fd = ::accept(m_fd, nullptr, nullptr);
        return fd < 0 ? std::nullopt : std::optional<RawSocket>(std::in_place, fd);
    }

private:
    int m_fd;
    Endpoint m_endpoint;
};

inline size_t countOf(std::string_view text, std::string_view part)
{
    size_t n = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size()))
        ++n;
    return n;
}

inline bool contains(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }

} // namespace Berylport
