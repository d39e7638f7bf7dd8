// Guards the path of a call over a link: each caller gets its own reply, and loss is reported truthfully.
#include "Peer/PeerTestSupport.h"
#include "Peer/Relay.h"

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
    std::unique_ptr<PeerLink> connect(const PeerAddress& address, PeerLinkOptions options = longTimeoutLinkOptions())
    {
        PeerLinkEvents events {
            .opened = [this] { ++openedCount; },
            .closed = [this](PeerError ec) { closeReasons.push_back(ec); },
        };
        return std::make_unique<PeerLink>(loop, a, address, options, events);
    }
    bool runUntil(const std::function<bool()>& condition) { return loop.runUntil(condition, testTimeout); }

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
    ASSERT_TRUE(runUntil([&] { return node.handler.pending.size() == 1; }));
    const CallRequest& arrived = node.handler.pending[0].request;
    EXPECT_EQ(node.handler.pending[0].link.peer, a);
    EXPECT_EQ(arrived.id, request.id);
    EXPECT_EQ(arrived.receiver, b);
    EXPECT_EQ(arrived.service, request.service);
    EXPECT_EQ(arrived.tenant, request.tenant);
    EXPECT_EQ(arrived.kind, request.kind);
    EXPECT_EQ(arrived.priority, request.priority);
    EXPECT_EQ(arrived.retryTokens, request.retryTokens);
    EXPECT_EQ(arrived.mayHandOn, request.mayHandOn);
    EXPECT_EQ(arrived.meanLoad, request.meanLoad);
    EXPECT_EQ(arrived.depth, request.depth);
    EXPECT_EQ(arrived.http, request.http);
    // Both ends share a clock here, so the translated deadline may only be earlier.
    EXPECT_LE(arrived.deadline, request.deadline);
    EXPECT_GT(arrived.deadline, Instant());
    CallAnswered answer = createAnswer(arrived, "done");
    node.handler.pending[0].reply(answer);
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
    ASSERT_TRUE(runUntil([&] { return node.handler.pending.size() == count; }));
    // Odd calls first, then even ones backwards: no reply is in the order of the requests.
    auto reply = [&](size_t i) {
        auto& held = node.handler.pending[i];
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
    PeerLink toA(loop, b, nodeA.address(), longTimeoutLinkOptions(), {});
    for (uint64_t i = 0; i < 20; i += 2) {
        toB->send(createCall(a, i, b), results.completion(i));
        toA.send(createCall(b, i + 1, a), results.completion(i + 1));
    }
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 20; }));
    for (uint64_t i = 0; i < 20; ++i)
        EXPECT_EQ(results.body(i), i % 2 ? "from a" : "from b");
}

// Fails when a cancellation is lost, or overtakes the call that it cancels.
TEST_F(PeerLinkTest, CancelArrivesAfterItsCall)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return link->isOpen(); }));
    for (uint64_t i = 2; i < 50; ++i)
        link->send(createCall(a, i, b), results.completion(i));
    CallCancel cancelled { .id = createCall(a, 49, b).id };
    link->cancel(cancelled);
    ASSERT_TRUE(runUntil([&] { return node.handler.log.size() == 50; }));
    EXPECT_EQ(node.handler.log[48], "call " + toText(cancelled.id.call));
    EXPECT_EQ(node.handler.log[49], "cancel " + toText(cancelled.id.call));
    auto& held = node.handler.pending[48];
    held.reply(
        CallRefused { .id = held.request.id, .reason = RefusalReason::Cancelled, .retryAfter = 7ms, .load = {} });
    ASSERT_TRUE(runUntil([&] { return results.bySequence.contains(49); }));
    const auto& refused = std::get<CallRefused>(results.bySequence.at(49).value());
    EXPECT_EQ(refused.reason, RefusalReason::Cancelled);
    EXPECT_EQ(refused.retryAfter, 7ms);
}

// Fails when a request that is taken back before the link is open is sent all the same.
TEST_F(PeerLinkTest, CancelBeforeTheLinkIsOpenMeansNotSent)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    link->send(createCall(a, 1, b), results.completion(1));
    link->send(createCall(a, 2, b), results.completion(2));
    link->cancel({ .id = createCall(a, 1, b).id });
    ASSERT_TRUE(runUntil([&] { return results.bySequence.contains(1) && node.handler.pending.size() == 1; }));
    EXPECT_EQ(results.bySequence.at(1).error(), (CallNotSent { createCall(a, 1, b).id, PeerError::Cancelled }));
    EXPECT_EQ(node.handler.pending[0].request.id.call.sequence, 2u);
}

TEST_F(PeerLinkTest, RefusedConnectMeansNotSent)
{
    Endpoint closedPort;
    {
        TestNode node(loop, b);
        closedPort = node.endpoint;
    }
    auto link = connect({ .node = b, .endpoint = closedPort });
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return closeReasons.size() == 1 && results.bySequence.size() == 1; }));
    EXPECT_EQ(closeReasons[0], PeerError::ConnectFailed);
    EXPECT_EQ(results.bySequence.at(1).error().cause, PeerError::ConnectFailed);
}

// Fails when a peer that accepts the connection but does not answer holds its calls for ever.
TEST_F(PeerLinkTest, PeerWithoutAnswerToHelloMeansNotSent)
{
    SilentListener listener;
    PeerLinkOptions options = longTimeoutLinkOptions();
    options.connectTimeout = 50ms;
    auto link = connect({ .node = b, .endpoint = listener.endpoint }, options);
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return closeReasons.size() == 1 && results.bySequence.size() == 1; }));
    EXPECT_EQ(closeReasons[0], PeerError::ConnectTimeout);
    EXPECT_TRUE(results.isNotSent(1));
}

// Fails when the loss of a request that the peer has received is reported as not sent (P3, P4).
TEST_F(PeerLinkTest, LinkCutAfterTheRequestArrivedMeansCallLost)
{
    TestNode node(loop, b);
    Relay relay(loop, node.endpoint);
    auto link = connect({ .node = b, .endpoint = relay.endpoint });
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return node.handler.pending.size() == 1; }));
    relay.closeConnections();
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 1 && closeReasons.size() == 1; }));
    EXPECT_TRUE(results.isLinkLost(1));
    EXPECT_EQ(closeReasons[0], PeerError::LinkLost);
    // A request after the loss is certainly not sent.
    link->send(createCall(a, 2, b), results.completion(2));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 2; }));
    EXPECT_TRUE(results.isNotSent(2));
    ASSERT_TRUE(runUntil([&] { return node.handler.closed.size() == 1; }));
    // A late reply to the lost link must do no harm.
    node.handler.pending[0].reply(createAnswer(node.handler.pending[0].request, "late"));
    loop.runOnce(1ms);
    EXPECT_EQ(node.handler.pending.size(), 1u);
}

// Fails when a request that waited behind a full socket counts as lost, or one that has begun to leave as not sent.
TEST_F(PeerLinkTest, RequestsBehindAFullSocketAreNotSent)
{
    constexpr uint64_t count = 64;
    TestNode node(loop, b);
    Relay relay(loop, node.endpoint);
    auto link = connect({ .node = b, .endpoint = relay.endpoint });
    ASSERT_TRUE(runUntil([&] { return openedCount == 1; }));
    relay.pause();
    std::string body(1'000'000, 'x');
    for (uint64_t i = 0; i < count; ++i)
        link->send(createCall(a, i, b, body), results.completion(i));
    // Until the socket takes nothing more.
    uint64_t written = 0;
    do {
        written = link->bytesWritten();
        Timer pause(loop, [] {});
        pause.startOnce(50ms);
        loop.runUntil([&] { return !pause.isRunning(); }, testTimeout);
    } while (!written || written != link->bytesWritten());
    EXPECT_LT(written, count * body.size());
    link->close();
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == count; }));
    relay.resume();
    ASSERT_TRUE(runUntil([&] { return node.handler.closed.size() == 1; }));
    uint64_t notSentCount = 0;
    for (uint64_t i = 0; i < count; ++i) {
        EXPECT_NE(results.isNotSent(i), results.isLinkLost(i));
        notSentCount += results.isNotSent(i);
    }
    for (const auto& it : node.handler.pending)
        EXPECT_TRUE(results.isLinkLost(it.request.id.call.sequence));
    EXPECT_GT(notSentCount, 0u);
    EXPECT_LT(notSentCount, count);
    // The messages before the one that is partly written are complete, so at most one more than that may be lost.
    EXPECT_LE((count - notSentCount - 1) * body.size(), written);
}

// Fails when a call meant for a dead process reaches its successor on the same address.
TEST_F(PeerLinkTest, AnotherNodeOnTheAddressIsRefused)
{
    TestNode node(loop, b);
    NodeId former { 0xbb };
    auto link = connect({ .node = former, .endpoint = node.endpoint });
    link->send(createCall(a, 1, former), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return closeReasons.size() == 1 && results.bySequence.size() == 1; }));
    EXPECT_EQ(closeReasons[0], PeerError::WrongNode);
    EXPECT_EQ(results.bySequence.at(1).error().cause, PeerError::WrongNode);
    EXPECT_EQ(node.server->counters().refusedHellos, 1u);
    EXPECT_TRUE(node.handler.opened.empty());
    EXPECT_TRUE(node.handler.log.empty());
    EXPECT_EQ(openedCount, 0);
}

TEST_F(PeerLinkTest, UnknownNodeIdIsLearned)
{
    TestNode node(loop, b);
    auto link = connect({ .node = {}, .endpoint = node.endpoint });
    ASSERT_TRUE(runUntil([&] { return openedCount == 1; }));
    EXPECT_EQ(link->peer(), b);
}

// Calls waited five seconds on a link that carried nothing any more.
TEST_F(PeerLinkTest, CallsOnASilentLinkAreGivenUpSoon)
{
    TestNode node(loop, b);
    Relay relay(loop, node.endpoint);
    PeerLinkOptions options = longTimeoutLinkOptions();
    auto link = connect({ .node = b, .endpoint = relay.endpoint }, options);
    ASSERT_TRUE(runUntil([&] { return openedCount == 1; }));
    relay.pause();
    Instant sentAt = steadyNow();
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 1; }));
    EXPECT_LT(steadyNow() - sentAt, options.inactivityTimeout / 2);
    EXPECT_EQ(closeReasons, std::vector { PeerError::PingTimeout });
    EXPECT_TRUE(results.isLinkLost(1));
}

// Guards against a target that works for long being taken for a silent link.
TEST_F(PeerLinkTest, ASlowCallKeepsItsLink)
{
    TestNode node(loop, b);
    auto link = connect(node.address(), longTimeoutLinkOptions());
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return node.handler.pending.size() == 1; }));
    loop.runUntil([&] { return !closeReasons.empty(); }, 1500ms);
    EXPECT_TRUE(closeReasons.empty());
    node.handler.pending[0].reply(createAnswer(node.handler.pending[0].request, "ok"));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 1; }));
    EXPECT_EQ(results.body(1), "ok");
}

// Fails when a stopped peer keeps its link, and with it the calls sent to it, for ever.
TEST_F(PeerLinkTest, PeerThatStopsAnsweringIsClosedByPings)
{
    TestNode node(loop, b);
    Relay relay(loop, node.endpoint);
    PeerLinkOptions options = longTimeoutLinkOptions();
    options.pingInterval = 10ms;
    options.inactivityTimeout = 1s;
    auto link = connect({ .node = b, .endpoint = relay.endpoint }, options);
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return node.handler.pending.size() == 1; }));
    EXPECT_TRUE(closeReasons.empty());
    relay.pause();
    ASSERT_TRUE(runUntil([&] { return closeReasons.size() == 1 && results.bySequence.size() == 1; }));
    EXPECT_EQ(closeReasons[0], PeerError::PingTimeout);
    EXPECT_TRUE(results.isLinkLost(1));
}

// Fails when the receiving end keeps the link of a peer that has stopped.
TEST_F(PeerLinkTest, ServerClosesTheLinkOfASilentPeer)
{
    PeerServerOptions options;
    options.checkInterval = 10ms;
    options.inactivityTimeout = 1s;
    TestNode node(loop, b, options);
    Relay relay(loop, node.endpoint);
    PeerLinkOptions linkOptions = longTimeoutLinkOptions();
    linkOptions.pingInterval = 10ms;
    auto link = connect({ .node = b, .endpoint = relay.endpoint }, linkOptions);
    ASSERT_TRUE(runUntil([&] { return node.handler.opened.size() == 1; }));
    relay.pause();
    ASSERT_TRUE(runUntil([&] { return node.handler.closed.size() == 1; }));
    EXPECT_EQ(node.server->counters().inactiveLinks, 1u);
    EXPECT_EQ(node.server->connectionCount(), 0u);
}

// Fails when a duplicate id confuses the replies of two requests.
TEST_F(PeerLinkTest, DuplicateAttemptIsRejectedLocally)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    link->send(createCall(a, 1, b), results.completion(1));
    std::optional<CallResult> duplicate;
    link->send(createCall(a, 1, b), [&](CallResult result) { duplicate = std::move(result); });
    ASSERT_TRUE(runUntil([&] { return duplicate && node.handler.pending.size() == 1; }));
    EXPECT_EQ(duplicate->error().cause, PeerError::DuplicateAttempt);
    node.handler.pending[0].reply(createAnswer(node.handler.pending[0].request, "first"));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 1; }));
    EXPECT_EQ(results.body(1), "first");
    EXPECT_EQ(node.handler.pending.size(), 1u);
}

TEST_F(PeerLinkTest, TooLargeRequestIsNotSentAndTooLargeAnswerIsLost)
{
    TestNode node(loop, b);
    node.handler.onCall = [](const CallRequest& request, const ReplyToCall& reply) {
        reply(createAnswer(request, std::string(6'000'000, 'x')));
    };
    auto link = connect(node.address());
    link->send(createCall(a, 1, b, std::string(6'000'000, 'x')), results.completion(1));
    link->send(createCall(a, 2, b), results.completion(2));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 2; }));
    EXPECT_EQ(results.bySequence.at(1).error().cause, PeerError::MessageTooLarge);
    EXPECT_EQ(std::get<CallLost>(results.bySequence.at(2).value()).reason, LossReason::AnswerTooLarge);
}

// The largest messages of the design, 1 MiB in a request and 4 MiB in a response, must pass.
TEST_F(PeerLinkTest, LargestMessagesPass)
{
    TestNode node(loop, b);
    node.handler.onCall = [](const CallRequest& request, const ReplyToCall& reply) {
        reply(createAnswer(request, std::string(4 * 1024 * 1024, 'y')));
    };
    auto link = connect(node.address());
    link->send(createCall(a, 1, b, std::string(4 * 1024 * 1024, 'x')), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 1; }));
    EXPECT_EQ(results.body(1).size(), 4u * 1024 * 1024);
}

// Fails when a malformed request ends the link or the process. The header name is one that HTTP forbids.
TEST_F(PeerLinkTest, MalformedRequestFailsAloneAndTheLinkStays)
{
    TestNode node(loop, b);
    node.handler.onCall
        = [](const CallRequest& request, const ReplyToCall& reply) { reply(createAnswer(request, "ok")); };
    auto link = connect(node.address());
    CallRequest malformed = createCall(a, 1, b);
    malformed.http.headers[0].value = "1\r\nInjected: 2";
    link->send(malformed, results.completion(1));
    link->send(createCall(a, 2, b), results.completion(2));
    ASSERT_TRUE(runUntil([&] { return results.bySequence.size() == 2; }));
    EXPECT_EQ(std::get<CallLost>(results.bySequence.at(1).value()).reason, LossReason::AnswerMalformed);
    EXPECT_EQ(results.body(2), "ok");
    EXPECT_EQ(node.server->counters().malformedMessages, 1u);
    EXPECT_TRUE(closeReasons.empty());
}

TEST_F(PeerLinkTest, QueriesReturnEveryKindOfReply)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    CallRequest request = createCall(a, 1, b);
    CallQuery query { .id = request.id, .service = request.service, .receiver = b, .deadline = request.deadline };
    std::vector<QueryReply> replies { CallPending { .id = request.id }, createAnswer(request, "held"),
        CallRefused { .id = request.id, .reason = RefusalReason::RefusedBefore, .retryAfter = {}, .load = {} },
        CallLost { .id = request.id, .reason = LossReason::AnswerDropped, .load = {} } };
    for (const auto& it : replies) {
        node.handler.queryReply = it;
        std::optional<Result<QueryReply, PeerError>> result;
        link->query(query, [&](Result<QueryReply, PeerError> reply) { result = std::move(reply); });
        ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
        ASSERT_TRUE(result->has_value());
        EXPECT_EQ(result->value().index(), it.index());
    }
    EXPECT_EQ(node.handler.queries[0].id, request.id);
    EXPECT_EQ(node.handler.queries[0].receiver, b);
    EXPECT_LE(node.handler.queries[0].deadline, request.deadline);
}

TEST_F(PeerLinkTest, ConfigurationIsFetchedAndTargetDrained)
{
    TestNode node(loop, b);
    node.handler.offer = { .delta = { .baseVersion = 40, .version = 42 }, .isServing = true };
    node.handler.offer.delta.removed = { { .name = ServiceName("quotesvc"), .version = 41 } };
    node.handler.offer.delta.changed = { { .name = ServiceName("bookings"), .queueLimit = 7, .version = 3 },
        { .name = ServiceName("slotdesk"), .kind = RequestKind::Idempotent, .isHedged = true } };
    auto link = connect(node.address());
    std::optional<Result<ConfigurationOffer, PeerError>> fetched;
    std::optional<Result<bool, PeerError>> drained;
    link->fetchConfiguration(40, [&](Result<ConfigurationOffer, PeerError> result) { fetched = std::move(result); });
    link->drainTarget(ServiceName("slotdesk"), true, [&](const Result<bool, PeerError>& result) { drained = result; });
    ASSERT_TRUE(runUntil([&] { return fetched && drained; }));
    ASSERT_TRUE(fetched->has_value());
    EXPECT_EQ(fetched->value(), node.handler.offer);
    EXPECT_EQ(node.handler.requestedSince, 40u);
    ASSERT_TRUE(drained->has_value());
    EXPECT_TRUE(drained->value());
    EXPECT_TRUE(node.handler.drains.at(ServiceName("slotdesk")));
}

// Fails when the answer to a confirmation overtakes a cancellation that the peer had sent before (design, 4.2).
TEST_F(PeerLinkTest, ConfirmationComesAfterEverythingSentBefore)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    ASSERT_TRUE(runUntil([&] { return node.handler.opened.size() == 1 && openedCount == 1; }));
    constexpr size_t count = 200;
    std::vector<size_t> seenAtConfirmation;
    for (uint64_t i = 0; i < count; ++i)
        link->cancel({ .id = createCall(a, i, b).id });
    node.server->pingLinks([&](const LinkInfo& info) {
        EXPECT_EQ(info.peer, a);
        seenAtConfirmation.push_back(node.handler.log.size());
    });
    ASSERT_TRUE(runUntil([&] { return !seenAtConfirmation.empty(); }));
    EXPECT_EQ(seenAtConfirmation, std::vector<size_t> { count });
}

// Fails when a link is confirmed although its peer has not answered since.
TEST_F(PeerLinkTest, LinkOfAStoppedPeerIsNotConfirmed)
{
    TestNode node(loop, b);
    Relay relay(loop, node.endpoint);
    auto stopped = connect({ .node = b, .endpoint = relay.endpoint });
    ASSERT_TRUE(runUntil([&] { return node.handler.opened.size() == 1; }));
    PeerLink running(loop, NodeId { 0xc }, node.address(), longTimeoutLinkOptions(), {});
    ASSERT_TRUE(runUntil([&] { return node.handler.opened.size() == 2; }));
    relay.pause();
    std::vector<NodeId> confirmed;
    node.server->pingLinks([&](const LinkInfo& info) { confirmed.push_back(info.peer); });
    ASSERT_TRUE(runUntil([&] { return !confirmed.empty(); }));
    EXPECT_EQ(confirmed, std::vector { NodeId { 0xc } });
    relay.resume();
    ASSERT_TRUE(runUntil([&] { return confirmed.size() == 2; }));
    EXPECT_EQ(confirmed[1], a);
}

// Fails when a completion or an event reaches an owner that has destroyed the link.
TEST_F(PeerLinkTest, DestroyingALinkDropsItsCompletions)
{
    TestNode node(loop, b);
    auto link = connect(node.address());
    link->send(createCall(a, 1, b), results.completion(1));
    ASSERT_TRUE(runUntil([&] { return node.handler.pending.size() == 1; }));
    link->close();
    link.reset();
    ASSERT_TRUE(runUntil([&] { return node.handler.closed.size() == 1; }));
    EXPECT_TRUE(results.bySequence.empty());
    EXPECT_TRUE(closeReasons.empty());
}
