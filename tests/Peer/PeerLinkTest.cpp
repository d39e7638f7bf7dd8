// Guards the path of a call over a link: each caller gets its own reply, and loss is reported truthfully.
#include "Peer/PeerTestSupport.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

class PeerLinkTest : public testing::Test {
protected:
    std::unique_ptr<PeerLink> connect(const PeerAddress& address, PeerLinkOptions options = patientLinkOptions())
    {
        PeerLinkEvents events {
            .opened = [this] { ++openedCount; },
            .closed = [this](PeerError ec) { closeReasons.push_back(ec); },
        };
        return std::make_unique<PeerLink>(loop, a, address, options, events);
    }
    bool runUntil(const std::function<bool()>& condition) { return loop.runUntil(condition, testLimit); }

    EventLoop loop;
    NodeId a { 0xa };
    NodeId b { 0xb };
    int openedCount { 0 };
    std::vector<PeerError> closeReasons;
    CallResults results;
};

// A bound socket that completes connects in the kernel and never answers.
struct SilentListener {
    SilentListener()
        : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        EXPECT_EQ(listen(fd, 16), 0);
        socklen_t size = sizeof address;
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        endpoint = { .address = loopbackAddress, .port = ntohs(address.sin_port) };
    }
    ~SilentListener() { close(fd); }
    int fd;
    Endpoint endpoint;
};

} // namespace

// Fails when a field is lost or changed on the way.
TEST_F(PeerLinkTest, RequestAndReplyArriveUnchanged)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    CallRequest request = createCall(a, 1, b);
    link->send(request, results.completion(1));
    ASSERT_TRUE(runUntil([&] { return node.handler.held.size() == 1; }));
    const CallRequest& arrived = node.handler.held[0].request;
    EXPECT_EQ(node.handler.held[0].link.peer, a);
    EXPECT_EQ(arrived.id, request.id);
    EXPECT_EQ(arrived.receiver, b);
    EXPECT_EQ(arrived.service, request.service);
    EXPECT_EQ(arrived.tenant, request.tenant);
    EXPECT_EQ(arrived.kind, request.kind);
    EXPECT_EQ(arrived.priority, request.priority);
    EXPECT_EQ(arrived.retryTokens, request.retryTokens);
    EXPECT_EQ(arrived.depth, request.depth);
    EXPECT_EQ(arrived.http, request.http);
    // Both ends share a clock here, so the translated deadline may only be earlier.
    EXPECT_LE(arrived.deadline, request.deadline);
    EXPECT_GT(arrived.deadline, Instant());
    CallAnswered answer = createAnswer(arrived, "done");
    node.handler.held[0].reply(answer);
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 1; }));
    const auto& reply = std::get<CallAnswered>(results.bySequence.at(1).value());
    EXPECT_EQ(reply.id, answer.id);
    EXPECT_EQ(reply.http, answer.http);
    EXPECT_EQ(reply.load, answer.load);
    EXPECT_EQ(reply.retryTokensUsed, answer.retryTokensUsed);
    EXPECT_EQ(openedCount, 1);
}

// Fails when interleaved calls get each other's replies (P2).
TEST_F(PeerLinkTest, ThousandInterleavedCallsGetTheirOwnReplies)
{
    constexpr uint64_t count = 1000;
    TestNode node(loop, b);
    auto link = connect(node.address());
    for (uint64_t i = 0; i < count; ++i)
        link->send(createCall(a, i, b, "request " + std::to_string(i)), results.completion(i));
    ASSERT_TRUE(runUntil([&] { return node.handler.held.size() == count; }));
    // Odd calls first, then even ones backwards: no reply is in the order of the requests.
    auto reply = [&](size_t i) {
        auto& held = node.handler.held[i];
        held.reply(createAnswer(held.request, "reply to " + held.request.http.body));
    };
    for (size_t i = 1; i < count; i += 2)
        reply(i);
    for (size_t i = count; i >= 2; i -= 2)
        reply(i - 2);
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == count; }));
    for (uint64_t i = 0; i < count; ++i)
        EXPECT_EQ(results.body(i), "reply to request " + std::to_string(i));
    EXPECT_EQ(link->outstanding(), 0u);
}

TEST_F(PeerLinkTest, TwoNodesCallEachOther)
{
    TestNode nodeA(loop, a);
    TestNode nodeB(loop, b);
    nodeA.handler.onCall
        = [](const CallRequest& request, const ReplyToCall& reply) { reply(createAnswer(request, "from a")); };
    nodeB.handler.onCall
        = [](const CallRequest& request, const ReplyToCall& reply) { reply(createAnswer(request, "from b")); };
    auto toB = connect(nodeB.address());
    PeerLink toA(loop, b, nodeA.address(), patientLinkOptions(), {});
    for (uint64_t i = 0; i < 20; i += 2) {
        toB->send(createCall(a, i, b), results.completion(i));
        toA.send(createCall(b, i + 1, a), results.completion(i + 1));
    }
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 20; }));
    for (uint64_t i = 0; i < 20; ++i)
        EXPECT_EQ(results.body(i), i % 2 ? "from a" : "from b");
}
