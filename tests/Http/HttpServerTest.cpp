// The callers' server over raw sockets: framing, limits, times, order, and callers that go away.
#include "HttpServerFixture.h"

#include <algorithm>
#include <vector>

namespace Berylport {

namespace {

constexpr auto longTime = std::chrono::seconds(60);
// An answer of this size is not written at once.
constexpr size_t beyondSocketBuffers = 32 * 1024 * 1024;

struct RefusedCase {
    std::string name;
    std::string bytes;
    int status;
};

std::ostream& operator<<(std::ostream& out, const RefusedCase& it) { return out << it.name; }

class RefusedRequestTest : public HttpServerTest, public testing::WithParamInterface<RefusedCase> { };

std::string post(std::string_view headers, std::string_view body)
{
    return "POST /first HTTP/1.1\r\nHost: a\r\n" + std::string(headers) + "\r\n" + std::string(body);
}

std::string get(std::string_view headers)
{
    return "GET /first HTTP/1.1\r\nHost: a\r\n" + std::string(headers) + "\r\n";
}

// A request that a wrong reading of the first one's body would run.
const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

// Guards against request smuggling: a message that another implementation could frame differently must neither run nor
// leave the connection open for what follows it.
TEST_P(RefusedRequestTest, IsRefusedWithoutRunningAndClosesTheConnection)
{
    start();
    auto socket = connect();
    ASSERT_TRUE(sendAll(socket, GetParam().bytes + smuggled));
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_FALSE(socket.wasReset());
    EXPECT_TRUE(socket.received().starts_with("HTTP/1.1 " + std::to_string(GetParam().status) + " "))
        << socket.received();
    EXPECT_EQ(1u, countOf(socket.received(), "HTTP/1.1 "));
    EXPECT_TRUE(contains(socket.received(), "Connection: close\r\n"));
    EXPECT_TRUE(contains(socket.received(), "Berylport-Outcome: not-run\r\n"));
    EXPECT_TRUE(contains(socket.received(), "Berylport-Reason: "));
    EXPECT_TRUE(m_received.empty());
    EXPECT_TRUE(runUntil([&] { return !m_server->connectionCount(); }));
}

// Guards against the refusal overtaking or destroying the answer to the request before it.
TEST_P(RefusedRequestTest, KeepsTheAnswerToTheRequestBefore)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    auto bytes = "GET /before HTTP/1.1\r\nHost: a\r\n\r\n" + GetParam().bytes;
    // The server reads only a part of a large request ahead.
    auto sent = socket.trySend(bytes);
    ASSERT_TRUE(runUntil([&] { return !m_received.empty(); }));
    runFor(std::chrono::milliseconds(5));
    EXPECT_EQ("", socket.received());
    answerWith("answer-to-before");
    ASSERT_TRUE(sendAll(socket, std::string_view(bytes).substr(sent)));
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_TRUE(socket.received().starts_with("HTTP/1.1 200 "));
    EXPECT_LT(socket.received().find("answer-to-before"),
        socket.received().find("HTTP/1.1 " + std::to_string(GetParam().status) + " "));
    EXPECT_EQ(1u, m_received.size());
}

INSTANTIATE_TEST_SUITE_P(AmbiguousFraming, RefusedRequestTest,
    testing::Values(RefusedCase { "TwoLengths", post("Content-Length: 4\r\nContent-Length: 40\r\n", "abcd"), 400 },
        RefusedCase { "TwoEqualLengths", post("Content-Length: 4\r\nContent-Length: 4\r\n", "abcd"), 400 },
        RefusedCase { "LengthList", post("Content-Length: 4, 4\r\n", "abcd"), 400 },
        RefusedCase { "PlusInLength", post("Content-Length: +4\r\n", "abcd"), 400 },
        RefusedCase { "MinusInLength", post("Content-Length: -4\r\n", "abcd"), 400 },
        RefusedCase { "SpaceInLength", post("Content-Length: 4 0\r\n", "abcd"), 400 },
        RefusedCase { "HexLength", post("Content-Length: 0x4\r\n", "abcd"), 400 },
        RefusedCase { "EmptyLength", post("Content-Length: \r\n", "abcd"), 400 },
        RefusedCase { "HugeLength", post("Content-Length: 18446744073709551620\r\n", "abcd"), 400 },
        RefusedCase {
            "LengthAndChunked", post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400 },
        RefusedCase {
            "ChunkedAndLength", post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"), 400 },
        RefusedCase { "GzipThenChunked", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 501 },
        RefusedCase { "Identity", post("Transfer-Encoding: identity\r\n", ""), 501 },
        RefusedCase { "ChunkedTwice", post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"), 501 },
        RefusedCase {
            "TwoCodings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 501 },
        RefusedCase { "QuotedChunked", post("Transfer-Encoding: \"chunked\"\r\n", "0\r\n\r\n"), 501 },
        RefusedCase { "VerticalTabBeforeChunked",
            post("Transfer-Encoding: \x0b"
                 "chunked\r\n",
                "0\r\n\r\n"),
            400 },
        RefusedCase { "SpaceBeforeColonOfCoding", post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"), 400 },
        RefusedCase { "SpaceBeforeColonOfLength", post("Content-Length : 4\r\n", "abcd"), 400 },
        RefusedCase { "TabBeforeColon", post("Content-Length\t: 4\r\n", "abcd"), 400 },
        RefusedCase {
            "ChunkedInHttp10", "POST /first HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        RefusedCase { "NoHost", "GET /first HTTP/1.1\r\n\r\n", 400 },
        RefusedCase { "EmptyHost", "GET /first HTTP/1.1\r\nHost:\r\n\r\n", 400 },
        RefusedCase { "TwoHosts", get("Host: b\r\n"), 400 },
        RefusedCase { "TwoHostsInHttp10", "GET /first HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
        RefusedCase { "HostList", "GET /first HTTP/1.1\r\nHost: a, b\r\n\r\n", 400 },
        RefusedCase { "BareLineFeedInRequestLine", "GET /first HTTP/1.1\nHost: a\r\n\r\n", 400 },
        RefusedCase { "BareLineFeedInHeader", "GET /first HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400 },
        RefusedCase { "BareLineFeedAtEnd", "GET /first HTTP/1.1\r\nHost: a\r\n\n", 400 },
        RefusedCase { "BareReturn", get("X: a\rb\r\n"), 400 },
        RefusedCase { "NulInValue", get(std::string("X: a\0b\r\n", 8)), 400 },
        RefusedCase { "ControlInValue",
            get("X: a\x01"
                "b\r\n"),
            400 },
        RefusedCase { "DeleteInValue",
            get("X: a\x7f"
                "b\r\n"),
            400 },
        RefusedCase { "ControlInName", get("X\x01: a\r\n"), 400 },
        RefusedCase { "Folding", get("X: a\r\n b\r\n"), 400 },
        RefusedCase { "FoldedCoding", post("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"), 400 },
        RefusedCase { "FoldingAtFirstHeader", "GET /first HTTP/1.1\r\n Host: a\r\n\r\n", 400 },
        RefusedCase { "NoColon", get("Nothing\r\n"), 400 }, RefusedCase { "EmptyName", get(": a\r\n"), 400 },
        RefusedCase { "NameWithSpace", get("X Y: a\r\n"), 400 },
        RefusedCase { "UnknownMethod", "BREW /first HTTP/1.1\r\nHost: a\r\n\r\n", 501 },
        RefusedCase { "LowerCaseMethod", "get /first HTTP/1.1\r\nHost: a\r\n\r\n", 501 },
        RefusedCase { "Connect", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 501 },
        RefusedCase { "NoVersion", "GET /first\r\nHost: a\r\n\r\n", 400 },
        RefusedCase { "Version2", "GET /first HTTP/2.0\r\nHost: a\r\n\r\n", 505 },
        RefusedCase { "MalformedVersion", "GET /first HTTP/1.10\r\nHost: a\r\n\r\n", 400 },
        RefusedCase { "SpaceInTarget", "GET /first /second HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        RefusedCase { "TwoSpaces", "GET  /first HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        RefusedCase { "AbsoluteTarget", "GET http://b/first HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        RefusedCase { "TwoEmptyLines", "\r\n\r\nGET /first HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
        RefusedCase { "BodyOfGet", get("Content-Length: 4\r\n") + "abcd", 400 },
        RefusedCase { "ChunkedBodyOfGet", get("Transfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400 },
        RefusedCase { "PostWithoutLength", post("", ""), 411 },
        RefusedCase { "UnknownExpectation", post("Content-Length: 4\r\nExpect: more\r\n", "abcd"), 417 },
        RefusedCase { "ChunkSizeNotHex", post("Transfer-Encoding: chunked\r\n", "g\r\n"), 400 },
        RefusedCase { "ChunkSizeEmpty", post("Transfer-Encoding: chunked\r\n", "\r\n"), 400 },
        RefusedCase { "ChunkSizePlus", post("Transfer-Encoding: chunked\r\n", "+4\r\nabcd\r\n0\r\n\r\n"), 400 },
        RefusedCase { "ChunkSizePrefix", post("Transfer-Encoding: chunked\r\n", "0x4\r\nabcd\r\n0\r\n\r\n"), 400 },
        RefusedCase { "ChunkSizeSpace", post("Transfer-Encoding: chunked\r\n", "4 \r\nabcd\r\n0\r\n\r\n"), 400 },
        RefusedCase {
            "ChunkSizeOverflow", post("Transfer-Encoding: chunked\r\n", "10000000000000004\r\nabcd\r\n"), 400 },
        RefusedCase { "ChunkBareLineFeed", post("Transfer-Encoding: chunked\r\n", "4\nabcd\r\n0\r\n\r\n"), 400 },
        RefusedCase {
            "ChunkExtensionBareLineFeed", post("Transfer-Encoding: chunked\r\n", "4;a\nabcd\r\n0\r\n\r\n"), 400 },
        RefusedCase { "ChunkTooLong", post("Transfer-Encoding: chunked\r\n", "4\r\nabcdef\r\n0\r\n\r\n"), 400 },
        RefusedCase { "HeadTooLarge", get("X: " + std::string(16 * 1024, 'a') + "\r\n"), 431 },
        RefusedCase { "RequestLineTooLarge", "GET /" + std::string(16 * 1024, 'a') + " HTTP/1.1\r\n", 431 },
        RefusedCase { "BodyTooLarge", post("Content-Length: 1048577\r\n", std::string(1048577, 'a')), 413 },
        RefusedCase { "ChunksTooLarge",
            post("Transfer-Encoding: chunked\r\n",
                "80000\r\n" + std::string(0x80000, 'a') + "\r\n80001\r\n" + std::string(0x80001, 'a')
                    + "\r\n0\r\n\r\n"),
            413 },
        RefusedCase { "TrailersTooLarge",
            post("Transfer-Encoding: chunked\r\n", "0\r\nX: " + std::string(16 * 1024, 'a') + "\r\n\r\n"), 400 }),
    [](auto& it) { return it.param.name; });

// Guards against a whole request being given to the handler with parts missing or added.
TEST_F(HttpServerTest, GivesTheWholeRequestToTheHandler)
{
    start();
    auto socket = connect();
    socket.send(
        "POST /path?a=b%20c HTTP/1.1\r\nHost: a:80\r\nX-One:  1 \r\nx-one: 2\r\nContent-Length: 5\r\n\r\nhello");
    ASSERT_TRUE(waitFor(socket, "echo:/path?a=b%20c"));
    ASSERT_EQ(1u, m_received.size());
    HttpRequest expected { .method = "POST",
        .target = "/path?a=b%20c",
        .headers = { { "Host", "a:80" }, { "X-One", "1" }, { "x-one", "2" } },
        .body = "hello" };
    EXPECT_EQ(expected, m_received.front().request);
    EXPECT_EQ("127.0.0.1", m_received.front().peer.address);
    EXPECT_NE(0, m_received.front().peer.port);
    EXPECT_TRUE(contains(socket.received(), "Content-Length: 18\r\n"));
}

// Guards against state that depends on how the bytes fall into reads.
TEST_F(HttpServerTest, ReadsRequestsSplitAtEveryByte)
{
    start();
    auto socket = connect();
    std::string bytes = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3;x=y\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Trailer: z\r\n\r\n"
                        "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    for (char c : bytes) {
        socket.send({ &c, 1 });
        turn();
    }
    ASSERT_TRUE(waitFor(socket, "echo:/b"));
    ASSERT_EQ(2u, m_received.size());
    EXPECT_EQ("abcdefg", m_received[0].request.body);
    EXPECT_FALSE(findHeader(m_received[0].request.headers, "Transfer-Encoding"));
    EXPECT_FALSE(findHeader(m_received[0].request.headers, "X-Trailer"));
    EXPECT_EQ("", m_received[1].request.body);
}

// Guards against answers in the order of completion, which would give a caller the answer to another request.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    std::string bytes;
    constexpr int count = 200;
    for (int i = 0; i < count; ++i) {
        // The body is a request itself, which must not run.
        bytes += "POST /" + std::to_string(i)
            + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled;
    }
    ASSERT_TRUE(sendAll(socket, bytes));
    for (int i = 0; i < count; ++i) {
        ASSERT_TRUE(runUntil([&] { return m_received.size() == size_t(i) + 1; })) << i;
        EXPECT_EQ("/" + std::to_string(i), m_received.back().request.target);
        turn();
        answerWith("<" + std::to_string(i) + ">");
    }
    ASSERT_TRUE(waitFor(socket, "<" + std::to_string(count - 1) + ">"));
    size_t at = 0;
    for (int i = 0; i < count; ++i) {
        auto next = socket.received().find("<" + std::to_string(i) + ">", at);
        ASSERT_NE(std::string::npos, next) << i;
        at = next;
    }
    EXPECT_EQ(size_t(count), countOf(socket.received(), "HTTP/1.1 200 "));
    EXPECT_EQ(size_t(count), m_received.size());
}

// Callers send again what they had sent behind an answer that closes the connection, so none of it may be run.
TEST_F(HttpServerTest, PassesOnNothingBehindAnAnswerThatClosesTheConnection)
{
    m_isAnswering = false;
    start();
    auto byCaller = connect();
    byCaller.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                  "POST /behind HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    answerWith("<a>");
    ASSERT_TRUE(waitForEnd(byCaller));
    EXPECT_TRUE(contains(byCaller.received(), "<a>"));

    auto byStop = connect();
    byStop.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n"
                "POST /behind HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 2; }));
    runFor(std::chrono::milliseconds(5));
    m_server->stopListening();
    m_server->closeAfterAnswers();
    answerWith("<b>");
    ASSERT_TRUE(waitForEnd(byStop));
    EXPECT_TRUE(contains(byStop.received(), "<b>"));
    runFor(std::chrono::milliseconds(5));
    EXPECT_EQ(m_received.size(), 2u);
}

// A caller that leaves with requests in line: the first is cancelled, the others never begin.
TEST_F(HttpServerTest, PassesOnNothingOfACallerThatHasGone)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    bool isGone = false;
    m_received[0].responder.onCallerGone([&] { isGone = true; });
    socket.reset();
    ASSERT_TRUE(runUntil([&] { return isGone; }));
    runFor(std::chrono::milliseconds(5));
    EXPECT_EQ(m_received.size(), 1u);
}

// Guards against a second answer being taken for the answer to the next request.
TEST_F(HttpServerTest, OnlyTheFirstAnswerCounts)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    auto first = m_received[0].responder;
    EXPECT_TRUE(first.isOpen());
    answerWith("one");
    EXPECT_FALSE(first.isOpen());
    answerWith("late");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 2; }));
    first.answer({ .status = 200, .reason = {}, .headers = {}, .body = "late" });
    answerWith("two");
    ASSERT_TRUE(waitFor(socket, "two"));
    EXPECT_EQ(0u, countOf(socket.received(), "late"));
}

// Guards against a caller that waits for ever because the handler lost its request.
TEST_F(HttpServerTest, AnswersARequestThatTheHandlerDrops)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    m_received.clear();
    ASSERT_TRUE(waitFor(socket, "HTTP/1.1 500 "));
    EXPECT_TRUE(contains(socket.received(), "Berylport-Outcome: may-have-run\r\n"));
}

// Guards against bodies where HTTP has none: the bytes would be read as the next answer.
TEST_F(HttpServerTest, SendsNoBodyForHeadAndBodylessStatuses)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    auto exchange = [&](std::string_view method, uint16_t status, std::vector<HttpHeader> headers) {
        auto n = m_received.size();
        socket.clear();
        socket.send(std::string(method) + " /a HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_TRUE(runUntil([&] { return m_received.size() == n + 1; }));
        m_received.back().responder.answer(
            { .status = status, .reason = "Reason", .headers = std::move(headers), .body = "body" });
        EXPECT_TRUE(waitFor(socket, "\r\n\r\n"));
        // The answer to one more request shows that nothing came in between.
        socket.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_TRUE(runUntil([&] { return m_received.size() == n + 2; }));
        answerWith("next");
        EXPECT_TRUE(waitFor(socket, "next"));
        EXPECT_EQ(0u, countOf(socket.received(), "body"));
        return socket.received();
    };
    EXPECT_TRUE(contains(exchange("HEAD", 200, {}), "Content-Length: 4\r\n"));
    EXPECT_TRUE(contains(exchange("GET", 204, {}), "HTTP/1.1 204 Reason\r\n"));
    EXPECT_TRUE(contains(exchange("GET", 304, { { "Content-Length", "17" } }), "Content-Length: 17\r\n"));
}

// Guards against statuses that only evhttp's own table knows.
TEST_F(HttpServerTest, SendsAnyFinalStatus)
{
    m_isAnswering = false;
    start();
    for (uint16_t status : { 200, 201, 299, 302, 404, 418, 429, 500, 503, 599 }) {
        auto socket = connect();
        socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        auto n = m_received.size();
        ASSERT_TRUE(runUntil([&] { return m_received.size() == n + 1; }));
        m_received.back().responder.answer({ .status = status, .reason = {}, .headers = {}, .body = "x" });
        EXPECT_TRUE(waitFor(socket, "HTTP/1.1 " + std::to_string(status) + " "));
    }
}

// Guards against an answer that breaks out of its header.
TEST_F(HttpServerTest, DropsInvalidAnswerHeaders)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    m_received.back().responder.answer({ .status = 200,
        .reason = "a\r\nX-Evil: 1",
        .headers = { { "X-Good", "1" }, { "X-Bad", "a\r\nX-Evil: 1" }, { "X Bad", "a" } },
        .body = "done" });
    ASSERT_TRUE(waitFor(socket, "done"));
    EXPECT_TRUE(contains(socket.received(), "X-Good: 1\r\n"));
    EXPECT_FALSE(contains(socket.received(), "X-Evil"));
    EXPECT_FALSE(contains(socket.received(), "X Bad"));
}

// Guards against one hop's connection control reaching the other hop.
TEST_F(HttpServerTest, RemovesHopByHopHeadersInBothDirections)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Named\r\nX-Named: 1\r\nKeep-Alive: 5\r\n"
                "TE: trailers\r\nTrailer: x\r\nUpgrade: y\r\nProxy-Connection: z\r\nX-Kept: 1\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    std::vector<HttpHeader> expected { { "Host", "a" }, { "X-Kept", "1" } };
    EXPECT_EQ(expected, m_received.back().request.headers);
    m_received.back().responder.answer({ .status = 200,
        .reason = {},
        .headers = { { "Connection", "close, X-Secret" }, { "X-Secret", "1" }, { "Transfer-Encoding", "chunked" },
            { "Content-Length", "999" }, { "Upgrade", "h2c" }, { "X-Kept", "2" } },
        .body = "done" });
    ASSERT_TRUE(waitFor(socket, "done"));
    EXPECT_TRUE(contains(socket.received(), "X-Kept: 2\r\n"));
    EXPECT_TRUE(contains(socket.received(), "Content-Length: 4\r\n"));
    for (auto* it : { "X-Secret", "Transfer-Encoding", "999", "Upgrade", "Connection" })
        EXPECT_FALSE(contains(socket.received(), it)) << it;
}

// Guards against a "100 Continue" that is missing, or that comes in the middle of the answer before.
TEST_F(HttpServerTest, SendsContinueInItsTurn)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
                "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    runFor(std::chrono::milliseconds(5));
    EXPECT_EQ("", socket.received());
    answerWith("first");
    ASSERT_TRUE(waitFor(socket, "HTTP/1.1 100 Continue\r\n\r\n"));
    EXPECT_LT(socket.received().find("first"), socket.received().find("100 Continue"));
    EXPECT_EQ(1u, m_received.size());
    socket.send("body");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 2; }));
    EXPECT_EQ("body", m_received.back().request.body);
    EXPECT_FALSE(findHeader(m_received.back().request.headers, "Expect"));
    answerWith("second");
    ASSERT_TRUE(waitFor(socket, "second"));
    EXPECT_EQ(1u, countOf(socket.received(), "100 Continue"));
}

// Guards against asking for a body that will be refused.
TEST_F(HttpServerTest, RefusesATooLargeBodyInsteadOfContinue)
{
    start();
    auto socket = connect();
    socket.send("POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2000000\r\n\r\n");
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_TRUE(socket.received().starts_with("HTTP/1.1 413 "));
}

// Guards against work that goes on for a caller who cannot get the answer.
TEST_F(HttpServerTest, TellsTheHandlerThatTheCallerHasGone)
{
    m_isAnswering = false;
    start();
    for (bool isReset : { false, true }) {
        auto socket = connect();
        socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        auto n = m_received.size();
        ASSERT_TRUE(runUntil([&] { return m_received.size() == n + 1; }));
        int notices = 0;
        m_received.back().responder.onCallerGone([&] { ++notices; });
        // Bytes of a further request must not hide the end that comes after them.
        socket.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        runFor(std::chrono::milliseconds(5));
        EXPECT_EQ(0, notices);
        if (isReset)
            socket.reset();
        else
            socket.close();
        ASSERT_TRUE(runUntil([&] { return notices; }));
        EXPECT_FALSE(m_received.back().responder.isOpen());
        answerWith("too late");
        EXPECT_TRUE(runUntil([&] { return !m_server->connectionCount(); }));
        EXPECT_EQ(1, notices);
        EXPECT_EQ(n + 1, m_received.size());
    }
}

// Guards against a notice for a caller that already has its answer.
TEST_F(HttpServerTest, GivesNoNoticeAfterTheAnswer)
{
    m_isAnswering = false;
    start();
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    int notices = 0;
    m_received.back().responder.onCallerGone([&] { ++notices; });
    answerWith("answer");
    ASSERT_TRUE(waitFor(socket, "answer"));
    socket.close();
    ASSERT_TRUE(runUntil([&] { return !m_server->connectionCount(); }));
    EXPECT_EQ(0, notices);
}

// Guards against connections held open by a caller that sends its head a byte at a time.
TEST_F(HttpServerTest, EndsASlowHead)
{
    start({ .headTime = std::chrono::milliseconds(50), .bodyTime = longTime, .idleTime = longTime });
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\n");
    ASSERT_TRUE(runUntil([&] {
        socket.trySend("a");
        return socket.isAtEnd();
    }));
    EXPECT_TRUE(socket.received().starts_with("HTTP/1.1 408 ")) << socket.received();
    EXPECT_TRUE(contains(socket.received(), "header-timeout"));
    EXPECT_TRUE(m_received.empty());
}

// Guards against evhttp's own behaviour: it waited more than 75 s for a body that stopped.
TEST_F(HttpServerTest, EndsAStoppedBody)
{
    start({ .headTime = longTime, .bodyTime = std::chrono::milliseconds(50), .idleTime = longTime });
    for (auto* bytes : { "Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" }) {
        auto socket = connect();
        socket.send(std::string("POST /a HTTP/1.1\r\nHost: a\r\n") + bytes);
        ASSERT_TRUE(waitForEnd(socket));
        EXPECT_TRUE(socket.received().starts_with("HTTP/1.1 408 ")) << socket.received();
        EXPECT_TRUE(contains(socket.received(), "body-timeout"));
    }
    EXPECT_TRUE(m_received.empty());
}

// Guards against idle connections that use up the bound, before and after a first request.
TEST_F(HttpServerTest, ClosesIdleConnections)
{
    start({ .headTime = longTime, .bodyTime = longTime, .idleTime = std::chrono::milliseconds(200) });
    auto unused = connect();
    ASSERT_TRUE(waitForEnd(unused));
    EXPECT_EQ("", unused.received());
    auto used = connect();
    used.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(waitForEnd(used));
    EXPECT_EQ(1u, countOf(used.received(), "HTTP/1.1 "));
    EXPECT_TRUE(runUntil([&] { return !m_server->connectionCount(); }));
}

// Guards against the idle time ending a request that the handler takes long to answer.
TEST_F(HttpServerTest, LetsAHandlerTakeLongerThanEveryTimeout)
{
    auto time = std::chrono::milliseconds(30);
    start({ .headTime = time, .bodyTime = time, .idleTime = time });
    m_isAnswering = false;
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    runFor(time * 4);
    answerWith("answer");
    EXPECT_TRUE(waitFor(socket, "answer"));
}

// Guards against memory held for a caller that does not read its answer.
TEST_F(HttpServerTest, GivesUpACallerThatDoesNotRead)
{
    start({ .writeTime = std::chrono::milliseconds(50) });
    m_isAnswering = false;
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    answerWith(std::string(32 * 1024 * 1024, 'x'));
    EXPECT_TRUE(runUntil([&] { return !m_server->connectionCount(); }));
}

// Guards against long answers being cut off when the connection is closed after them.
TEST_F(HttpServerTest, SendsLongAnswersWholeBeforeClosing)
{
    start();
    m_isAnswering = false;
    auto socket = connect();
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    constexpr size_t size = 4 * 1024 * 1024;
    answerWith(std::string(size, 'x'));
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_FALSE(socket.wasReset());
    auto at = socket.received().find("\r\n\r\n");
    ASSERT_NE(std::string::npos, at);
    EXPECT_EQ(size, socket.received().size() - at - 4);
}

// Guards against a reset that destroys the refusal while the caller still sends its body.
TEST_F(HttpServerTest, ReadsOnAfterARefusalSoThatTheCallerGetsIt)
{
    start();
    auto socket = connect();
    socket.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 8000000\r\n\r\n");
    ASSERT_TRUE(waitFor(socket, "HTTP/1.1 413 "));
    ASSERT_TRUE(sendAll(socket, std::string(4000000, 'x')));
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_FALSE(socket.wasReset());
}

// Guards against connections of HTTP/1.0 and "close" callers that stay open.
TEST_F(HttpServerTest, ClosesWhenTheCallerAsksForIt)
{
    start();
    for (auto* bytes : { "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.1\r\nHost: a\r\nConnection: Close\r\n\r\n",
             "GET /a HTTP/1.1\r\nHost: a\r\nConnection: x, close\r\n\r\n" }) {
        auto socket = connect();
        socket.send(std::string(bytes) + smuggled);
        ASSERT_TRUE(waitForEnd(socket));
        EXPECT_TRUE(contains(socket.received(), "echo:/a"));
        EXPECT_TRUE(contains(socket.received(), "Connection: close\r\n"));
        EXPECT_FALSE(contains(socket.received(), "/smuggled"));
    }
}

// Guards against callers who use up the file descriptors, and against callers above the bound who get no answer.
TEST_F(HttpServerTest, BoundsItsConnections)
{
    start({ .lingerTime = std::chrono::milliseconds(20), .maxConnections = 2, .maxRefusedConnections = 1 });
    std::deque<RawSocket> held;
    for (int i = 0; i < 2; ++i) {
        held.push_back(connect());
        held.back().send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(waitFor(held.back(), "echo:/a"));
    }
    for (int i = 0; i < 5; ++i) {
        auto socket = connect();
        if (i % 2)
            socket.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(waitForEnd(socket));
        EXPECT_TRUE(socket.received().starts_with("HTTP/1.1 503 ")) << socket.received();
        EXPECT_TRUE(contains(socket.received(), "Berylport-Reason: too-many-connections\r\n"));
    }
    std::deque<RawSocket> many;
    size_t highest = 0;
    for (int i = 0; i < 20; ++i)
        many.push_back(connect());
    ASSERT_TRUE(runUntil([&] {
        highest = std::max(highest, m_server->connectionCount());
        return std::ranges::all_of(many, [](auto& it) { return it.isAtEnd(); });
    }));
    EXPECT_LE(highest, 3u);
    EXPECT_EQ(2u, m_received.size());
    held.clear();
    ASSERT_TRUE(runUntil([&] { return !m_server->connectionCount(); }));
    auto socket = connect();
    socket.send("GET /c HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(waitFor(socket, "echo:/c"));
}

// Guards against a shutdown that cuts off a request (P6) or waits for idle connections.
TEST_F(HttpServerTest, ClosesAfterAnswersWhenAsked)
{
    m_isAnswering = false;
    start();
    auto idle = connect();
    auto busy = connect();
    busy.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1 && m_server->connectionCount() == 2; }));
    runFor(std::chrono::milliseconds(5));
    m_server->stopListening();
    m_server->closeAfterAnswers();
    ASSERT_TRUE(waitForEnd(idle));
    EXPECT_EQ(1u, m_server->connectionCount());
    answerWith("answer");
    ASSERT_TRUE(waitForEnd(busy));
    EXPECT_TRUE(contains(busy.received(), "answer"));
    EXPECT_EQ(0u, m_server->connectionCount());
}

class StopDuringAnswerTest : public HttpServerTest {
protected:
    // A connection whose answer is being written when the server begins to drain.
    RawSocket stopDuringAnswer()
    {
        m_isAnswering = false;
        start();
        auto socket = connect();
        socket.send(get(""));
        EXPECT_TRUE(runUntil([&] { return m_received.size() == 1; }));
        answerWith(std::string(beyondSocketBuffers, 'x'));
        turn();
        m_server->closeAfterAnswers();
        return socket;
    }
};

// The request behind an answer that was being written when a stop began was read and never answered.
TEST_F(StopDuringAnswerTest, AStopServesTheRequestBehindAnAnswerThatIsBeingWritten)
{
    auto socket = stopDuringAnswer();
    socket.send(get(""));
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 2 || socket.isAtEnd(); }));
    ASSERT_EQ(m_received.size(), 2u);
    EXPECT_FALSE(contains(socket.received(), "Connection: close"));
    answerWith("<last>");
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_TRUE(contains(socket.received(), "Connection: close"));
    EXPECT_TRUE(contains(socket.received(), "<last>"));
    EXPECT_EQ(0u, m_server->connectionCount());
}

// The same connection stayed open for ever when no request came.
TEST_F(StopDuringAnswerTest, AStopClosesAConnectionOnceItsAnswerIsWritten)
{
    auto socket = stopDuringAnswer();
    ASSERT_TRUE(waitForEnd(socket));
    EXPECT_FALSE(socket.wasReset());
    EXPECT_EQ(countOf(socket.received(), "x"), beyondSocketBuffers);
    EXPECT_EQ(0u, m_server->connectionCount());
}

// Guards against use of a connection or a request after the server or the loop turn that owned it is gone.
TEST_F(HttpServerTest, MayEndWithRequestsInEveryState)
{
    m_isAnswering = false;
    start();
    auto idle = connect();
    auto head = connect();
    head.send("GET /a HT");
    auto body = connect();
    body.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc");
    auto handled = connect();
    handled.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1 && m_server->connectionCount() == 4; }));
    bool isNoticed = false;
    m_received.back().responder.onCallerGone([&] { isNoticed = true; });
    auto fresh = connect();
    m_server.reset();
    EXPECT_FALSE(m_received.back().responder.isOpen());
    answerWith("too late");
    runFor(std::chrono::milliseconds(5));
    EXPECT_FALSE(isNoticed);
    EXPECT_TRUE(waitForEnd(handled));
}

} // namespace

} // namespace Berylport
