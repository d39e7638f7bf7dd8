// The stand-in target: what other tests rely on when they count executions and provoke faults.
#include "Target/StandInTarget.h"
#include "Http/Http.h"
#include "LoopTest.h"

#include <deque>
#include <vector>

namespace Berylport {

namespace {

class StandInTargetTest : public LoopTest {
protected:
    void start(StandInTargetOptions options = {})
    {
        m_target = std::make_unique<StandInTarget>(base(), std::move(options));
        auto endpoint = m_target->listen();
        ASSERT_TRUE(endpoint);
        m_client = std::make_unique<TargetClient>(base(), *endpoint);
    }

    size_t send(std::string method, std::string path, std::string tag, std::string body = {}, std::string key = {},
        Duration time = testPatience)
    {
        HttpRequest request { .method = std::move(method),
            .target = std::move(path),
            .headers = { { "X-Request-Tag", tag } },
            .body = std::move(body) };
        if (!key.empty())
            setHeader(request.headers, "Idempotency-Key", key);
        auto index = m_results.size();
        m_results.emplace_back();
        m_client->send(std::move(request), { .deadline = steadyNow() + time, .isIdempotent = true },
            [this, index](SendResult result) { m_results[index] = std::move(result); });
        return index;
    }

    SendResult exchange(std::string method, std::string path, std::string tag = "t", std::string body = {})
    {
        return wait(send(std::move(method), std::move(path), std::move(tag), std::move(body)));
    }

    SendResult wait(size_t index)
    {
        EXPECT_TRUE(runUntil([&] { return m_results[index].has_value(); }));
        return m_results[index].value_or(SendResult { NotSent {} });
    }

    HttpResponse answer(std::string method, std::string path, std::string tag = "t", std::string body = {})
    {
        auto result = exchange(std::move(method), std::move(path), std::move(tag), std::move(body));
        EXPECT_TRUE(std::holds_alternative<HttpResponse>(result));
        auto* response = std::get_if<HttpResponse>(&result);
        return response ? *response : HttpResponse {};
    }

    std::unique_ptr<StandInTarget> m_target;
    std::unique_ptr<TargetClient> m_client;
    std::deque<std::optional<SendResult>> m_results;
};

std::string_view headerOf(const HttpResponse& response, std::string_view name)
{
    return findHeader(response.headers, name).value_or("");
}

// Guards against an answer from which a test cannot tell whose it is.
TEST_F(StandInTargetTest, EchoesTagMethodAndHash)
{
    start();
    for (auto* mode : { "whole", "chunked" }) {
        auto response = answer("POST", std::string("/a?answer=") + mode, "tag-1", "hello");
        EXPECT_EQ(200, response.status);
        EXPECT_EQ("tag-1", headerOf(response, "X-Request-Tag"));
        EXPECT_EQ("POST", headerOf(response, "X-Request-Method"));
        EXPECT_EQ(hashBody("hello"), headerOf(response, "X-Body-Hash"));
        EXPECT_TRUE(contains(response.body, "\"tag\":\"tag-1\",\"method\":\"POST\",\"hash\":\"" + hashBody("hello")));
    }
    EXPECT_EQ("a430d84680aabd0b", hashBody("hello")) << "64-bit FNV-1a of a known text";
    EXPECT_EQ("", answer("HEAD", "/a").body);
    EXPECT_EQ("DELETE", headerOf(answer("DELETE", "/a"), "X-Request-Method"));
    EXPECT_GT(answer("GET", "/a?size=100000").body.size(), 100000u);
}

// Guards against an execution count that is wrong or cannot be read.
TEST_F(StandInTargetTest, CountsExecutionsByTag)
{
    start();
    answer("GET", "/", "one");
    answer("POST", "/?fail=1", "two", "x");
    answer("GET", "/", "two");
    EXPECT_EQ(1u, m_target->executionCount("one"));
    EXPECT_EQ(2u, m_target->executionCount("two"));
    EXPECT_EQ(0u, m_target->executionCount("three"));
    EXPECT_EQ("{\"tag\":\"two\",\"count\":2}\n", answer("GET", "/executions?tag=two").body);
    EXPECT_EQ("{\"tag\":\"a b\",\"count\":0}\n", answer("GET", "/executions?tag=a%20b").body);
    EXPECT_EQ("{\"total\":3,\"executions\":{\"one\":1,\"two\":2}}\n", answer("GET", "/executions").body);
}

// Guards against faults that are not the ones asked for.
TEST_F(StandInTargetTest, MisbehavesOnRequest)
{
    start();
    EXPECT_EQ(500, answer("GET", "/?fail=1").status);
    EXPECT_EQ(418, answer("GET", "/?status=418").status);
    for (auto* mode : { "close", "truncate" }) {
        auto result = exchange("GET", std::string("/?size=1000&answer=") + mode, mode);
        ASSERT_TRUE(std::holds_alternative<Lost>(result)) << mode;
        EXPECT_EQ(LossReason::TargetClosed, std::get<Lost>(result).reason) << mode;
        EXPECT_EQ(1u, m_target->executionCount(mode));
    }
    auto started = steadyNow();
    answer("GET", "/?delay=60");
    EXPECT_GE(steadyNow() - started, std::chrono::milliseconds(60));
    auto result = exchange("GET", "/?size=5000000");
    ASSERT_TRUE(std::holds_alternative<Lost>(result));
    EXPECT_EQ(LossReason::AnswerTooLarge, std::get<Lost>(result).reason);
    auto frozen = wait(send("GET", "/?freeze=1", "frozen", {}, {}, std::chrono::milliseconds(200)));
    ASSERT_TRUE(std::holds_alternative<Lost>(frozen));
    EXPECT_EQ(LossReason::TargetTimeout, std::get<Lost>(frozen).reason);
    EXPECT_EQ(1u, m_target->executionCount("frozen"));
}

// Guards against behaviour at run time that does not end, and against a truth in /health that a test did not ask for.
TEST_F(StandInTargetTest, ChangesItsBehaviourAtRunTime)
{
    start();
    EXPECT_EQ(200, answer("GET", "/health").status);
    answer("POST", "/behaviour?fail=1");
    EXPECT_EQ(500, answer("GET", "/").status);
    EXPECT_EQ(503, answer("GET", "/health").status);
    answer("POST", "/behaviour?fail=1&health=good&load=7");
    EXPECT_EQ(500, answer("GET", "/").status);
    EXPECT_EQ(200, answer("GET", "/health").status);
    EXPECT_EQ("{\"slots\":10,\"running\":7,\"queued\":0}\n", answer("GET", "/load").body);
    answer("POST", "/behaviour?health=bad");
    EXPECT_EQ(200, answer("GET", "/").status);
    EXPECT_EQ(503, answer("GET", "/health").status);
    answer("POST", "/behaviour");
    EXPECT_EQ(200, answer("GET", "/health").status);
    EXPECT_EQ("{\"slots\":10,\"running\":0,\"queued\":0}\n", answer("GET", "/load").body);
}

// Guards against a target that runs more requests at once than its slots.
TEST_F(StandInTargetTest, RunsOnItsSlotsOnly)
{
    start({ .slots = 2 });
    for (int i = 0; i < 5; ++i)
        send("GET", "/?delay=100", "t" + std::to_string(i));
    ASSERT_TRUE(runUntil([&] { return m_target->totalExecutions() == 2; }));
    ASSERT_TRUE(runUntil([&] { return m_results[4].has_value(); }));
    EXPECT_EQ(5u, m_target->totalExecutions());
}

// Guards against a duplicate that runs, before or after the first one has ended, in a deduplicating target.
TEST_F(StandInTargetTest, RunsEachIdempotencyKeyOnce)
{
    start();
    auto first = send("POST", "/?deduplicate=1&delay=50", "first", "x", "key");
    ASSERT_TRUE(runUntil([&] { return m_target->totalExecutions() == 1; }));
    auto second = send("POST", "/?deduplicate=1&delay=50", "second", "x", "key");
    wait(first);
    wait(second);
    auto third = send("POST", "/?deduplicate=1", "third", "x", "key");
    wait(third);
    auto other = send("POST", "/?deduplicate=1", "other", "x", "other-key");
    wait(other);
    EXPECT_EQ(2u, m_target->totalExecutions());
    for (auto index : { first, second, third }) {
        auto* response = std::get_if<HttpResponse>(&*m_results[index]);
        ASSERT_TRUE(response);
        EXPECT_EQ("first", headerOf(*response, "X-Request-Tag"));
    }
}

// Stands in for the node: answers announcements and nested calls.
class AnnouncedTargetTest : public StandInTargetTest {
protected:
    AnnouncedTargetTest()
        : m_node(base(), [this](HttpRequest request, const Endpoint&, const Responder& responder) {
            m_seen.push_back(request);
            HttpResponse response { .status = 200, .reason = {}, .headers = {}, .body = {} };
            if (request.target != "/announce") {
                setHeader(response.headers, "Berylport-Outcome", "run");
                setHeader(response.headers, "X-Request-Tag", findHeader(request.headers, "X-Request-Tag").value_or(""));
            }
            responder.answer(response);
        })
    {
        m_nodeEndpoint = m_node.listen({ .address = "127.0.0.1", .port = 0 }).value();
    }

    size_t announcements(std::string_view state)
    {
        size_t n = 0;
        for (auto& it : m_seen)
            n += it.method == "POST" && it.target == "/announce" && contains(it.body, state);
        return n;
    }

    HttpServer m_node;
    Endpoint m_nodeEndpoint;
    std::vector<HttpRequest> m_seen;
};

// Guards against announcements that the node cannot use, that stop, or that claim readiness too early.
TEST_F(AnnouncedTargetTest, AnnouncesItselfThroughItsLife)
{
    start({ .service = ServiceName("slotdesk"),
        .slots = 7,
        .node = m_nodeEndpoint,
        .announcePeriod = std::chrono::milliseconds(20),
        .startDelay = std::chrono::milliseconds(200) });
    ASSERT_TRUE(runUntil([&] { return announcements("\"state\":\"starting\"") >= 2; }));
    EXPECT_EQ(0u, announcements("\"state\":\"ready\""));
    EXPECT_TRUE(m_seen[0].body.starts_with("{\"service\":\"slotdesk\",\"port\":"));
    EXPECT_TRUE(contains(m_seen[0].body, ",\"slots\":7,"));
    ASSERT_TRUE(runUntil([&] { return announcements("\"state\":\"ready\"") >= 2; }));
    EXPECT_EQ(200, answer("GET", "/").status);

    auto running = send("GET", "/?delay=100", "last");
    ASSERT_TRUE(runUntil([&] { return m_target->executionCount("last") == 1; }));
    bool isDrained = false;
    m_target->drain([&] { isDrained = true; });
    ASSERT_TRUE(runUntil([&] { return announcements("\"state\":\"draining\"") >= 1; }));
    ASSERT_TRUE(runUntil([&] { return isDrained; }));
    ASSERT_TRUE(runUntil([&] { return m_results[running].has_value(); }));
    EXPECT_TRUE(std::holds_alternative<HttpResponse>(*m_results[running]));
}

// Guards against a cold target that counts requests which it refused.
TEST_F(StandInTargetTest, RunsNothingWhileStarting)
{
    start({ .startDelay = std::chrono::hours(1) });
    EXPECT_EQ(503, answer("GET", "/").status);
    EXPECT_EQ(0u, m_target->totalExecutions());
}

// Guards against a nested call that loses its parent.
TEST_F(AnnouncedTargetTest, CallsAnotherServiceThroughItsNode)
{
    start();
    HttpRequest request { .method = "GET",
        .target = "/?nested-port=" + std::to_string(m_nodeEndpoint.port) + "&nested-service=bookings&nested-path=/x",
        .headers
        = { { "X-Request-Tag", "outer" }, { "Berylport-Parent", "12-34" }, { "Berylport-Deadline-Ms", "20000" } },
        .body = {} };
    std::optional<SendResult> result;
    m_client->send(std::move(request), { .deadline = steadyNow() + testPatience, .isIdempotent = true },
        [&](SendResult it) { result = std::move(it); });
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    auto* response = std::get_if<HttpResponse>(&*result);
    ASSERT_TRUE(response);
    EXPECT_EQ(200, response->status);
    EXPECT_EQ("200", headerOf(*response, "X-Nested-Status"));
    EXPECT_EQ("run", headerOf(*response, "X-Nested-Outcome"));
    EXPECT_EQ("outer.nested", headerOf(*response, "X-Nested-Tag"));
    ASSERT_EQ(1u, m_seen.size());
    EXPECT_EQ("/x", m_seen[0].target);
    EXPECT_EQ("12-34", findHeader(m_seen[0].headers, "Berylport-Parent"));
    EXPECT_EQ("bookings", findHeader(m_seen[0].headers, "Berylport-Service"));
}

} // namespace

} // namespace Berylport
