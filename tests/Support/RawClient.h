// A blocking connection to a port on loopback that sends what a test tells it to, well-formed or not.
#pragma once

#include "Base/Identifiers.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Berylport {

class RawClient {
public:
    explicit RawClient(const Endpoint& endpoint)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(endpoint.port);
        EXPECT_EQ(connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }
    ~RawClient() { close(m_fd); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;
    void send(const std::string& bytes) { ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT); }
    void finish() { shutdown(m_fd, SHUT_WR); }

private:
    int m_fd;
};

} // namespace Berylport
