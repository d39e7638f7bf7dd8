// Guards against HTTP clients that misreport what became of a request under each fault of the stand-ins. Runs client
// and stand-in over real loopback sockets on one event loop.
#include "StandIns/Common/StoreServer.h"
#include "StandIns/Objects/ObjectService.h"
#include "StandIns/Table/TableService.h"
#include "Store/Store.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <gtest/gtest.h>

#include <optional>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

template <typename Service> class StoreFixture : public testing::Test {
protected:
    StoreFixture() { server.emplace(base.get(), service, StoreServerOptions {}); }

    HttpClientOptions clientOptions(Duration timeout = 500ms)
    {
        return { .server = { .address = "127.0.0.1", .port = server->port() }, .timeout = timeout };
    }

    // Runs the loop until the operation completes.
    template <typename T, typename Start> StoreResult<T> wait(Start start)
    {
        std::optional<StoreResult<T>> result;
        bool isInside = true;
        start([&](Instant, StoreResult<T> it) {
            EXPECT_FALSE(isInside) << "completed from inside the call";
            result = std::move(it);
        });
        isInside = false;
        auto limit = steadyNow() + 20s;
        while (!result && steadyNow() < limit)
            event_base_loop(base.get(), EVLOOP_ONCE);
        EXPECT_TRUE(result) << "not completed";
        return result.value_or(StoreError { .text = "not completed" });
    }

    void runFor(Duration duration)
    {
        timeval delay { .tv_sec = duration.count() / 1'000'000, .tv_usec = duration.count() % 1'000'000 };
        event_base_loopexit(base.get(), &delay);
        event_base_dispatch(base.get());
    }

    struct BaseDeleter {
        void operator()(event_base* it) const { event_base_free(it); }
    };
    std::unique_ptr<event_base, BaseDeleter> base { event_base_new() };
    Service service;
    std::optional<StoreServer> server;
};

class TableStandIn : public StoreFixture<TableService> {
protected:
    StoreResult<TransactionResult> put(TableClient& client, std::string token, std::string key, std::string value)
    {
        Transaction transaction {
            .token = std::move(token), .checks = {}, .puts = { { std::move(key), std::move(value) } }, .deletes = {}
        };
        return wait<TransactionResult>([&](auto done) { client.transact(transaction, done); });
    }
    StoreResult<TableRow> get(TableClient& client, std::string key)
    {
        return wait<TableRow>([&](auto done) { client.get(std::move(key), done); });
    }
};

class ObjectsStandIn : public StoreFixture<ObjectService> {
protected:
    StoreResult<Done> put(ObjectClient& client, std::string name, std::string bytes)
    {
        return wait<Done>([&](auto done) { client.put(std::move(name), std::move(bytes), done); });
    }
    StoreResult<std::string> get(ObjectClient& client, std::string name)
    {
        return wait<std::string>([&](auto done) { client.get(std::move(name), done); });
    }
};

std::string allBytes()
{
    std::string bytes;
    for (int n = 0; n < 1024; ++n)
        bytes.push_back(static_cast<char>(n));
    return bytes;
}

} // namespace

TEST_F(TableStandIn, ValuesSurviveTheJsonEncoding)
{
    HttpTableClient client(base.get(), clientOptions());
    EXPECT_EQ(put(client, "1", "k\"ey/\\", allBytes()).value().versions, std::vector<uint64_t> { 1 });
    EXPECT_EQ(get(client, "k\"ey/\\").value(), (TableRow { .key = "k\"ey/\\", .value = allBytes(), .version = 1 }));
    EXPECT_EQ(get(client, "other").error().code, StoreErrorCode::NotFound);
    EXPECT_EQ(get(client, "").error().code, StoreErrorCode::NotFound);
}

TEST_F(TableStandIn, TransactionsAndScansWorkOverTheNetwork)
{
    HttpTableClient client(base.get(), clientOptions());
    ASSERT_TRUE(put(client, "1", "p/1", "a"));
    ASSERT_TRUE(put(client, "2", "p/2", "b"));
    auto page = wait<ScanPage>([&](auto done) { client.scan("p/", 1, "", done); }).value();
    EXPECT_EQ(page, (ScanPage { .rows = { { .key = "p/1", .value = "a", .version = 1 } }, .hasMore = true }));
    page = wait<ScanPage>([&](auto done) { client.scan("p/", 5, "p/1", done); }).value();
    EXPECT_EQ(page, (ScanPage { .rows = { { .key = "p/2", .value = "b", .version = 1 } }, .hasMore = false }));

    Transaction transaction {
        .token = "3", .checks = { { "p/1", RowVersionEquals { 4 } } }, .puts = {}, .deletes = { "p/1" }
    };
    auto conflict = wait<TransactionResult>([&](auto done) { client.transact(transaction, done); });
    EXPECT_EQ(conflict.error().code, StoreErrorCode::Conflict);
    EXPECT_EQ(conflict.error().versionFound, 1u);
    EXPECT_EQ(conflict.error().key, "p/1");
    transaction.token = "4";
    transaction.checks = { { "p/1", RowVersionEquals { 1 } }, { "p/3", RowAbsent {} }, { "p/2", AnyVersion {} } };
    EXPECT_TRUE(wait<TransactionResult>([&](auto done) { client.transact(transaction, done); }));
    EXPECT_EQ(get(client, "p/1").error().code, StoreErrorCode::NotFound);
    EXPECT_EQ(
        wait<ScanPage>([&](auto done) { client.scan("p/", 0, "", done); }).error().code, StoreErrorCode::Malformed);
}

TEST_F(TableStandIn, DroppedConfirmationIsReportedAsTimeoutAndResolvedByItsToken)
{
    HttpTableClient client(base.get(), clientOptions());
    server->setFaults({ .dropNext = 2 });
    EXPECT_EQ(put(client, "1", "a", "x").error().code, StoreErrorCode::Timeout);
    EXPECT_EQ(service.counters.rowsWritten, 1u);

    WriteResolver resolver(client);
    Transaction transaction { .token = "1", .checks = {}, .puts = { { "a", "x" } }, .deletes = {} };
    std::optional<StoreResult<TransactionResult>> result;
    resolver.transact(steadyNow(), transaction, steadyNow() + 10s, [&](Instant, auto it) { result = it; });
    while (!result) {
        runFor(10ms);
        resolver.tick(steadyNow());
    }
    EXPECT_EQ(result->value().versions, std::vector<uint64_t> { 1 });
    EXPECT_EQ(service.counters.rowsWritten, 1u);
    EXPECT_EQ(service.counters.dropped, 2u);
}

TEST_F(TableStandIn, ClosedConnectionsAreATimeoutForWrites)
{
    HttpTableClient client(base.get(), clientOptions());
    server->setFaults({ .down = DownMode::Close });
    EXPECT_EQ(put(client, "1", "a", "x").error().code, StoreErrorCode::Timeout);
    EXPECT_EQ(service.counters.rowsWritten, 0u);
    server->setFaults({});
    EXPECT_TRUE(put(client, "1", "a", "x"));
}

TEST_F(TableStandIn, RefusedConnectionsAreUnavailableAndThePortReturns)
{
    HttpTableClient client(base.get(), clientOptions());
    auto port = server->port();
    server->setFaults({ .down = DownMode::Refuse });
    EXPECT_EQ(put(client, "1", "a", "x").error().code, StoreErrorCode::Unavailable);
    server->setFaults({});
    EXPECT_EQ(server->port(), port);
    EXPECT_TRUE(put(client, "1", "a", "x"));
}

TEST_F(TableStandIn, KeptConnectionToAStoreThatRefusesNewOnesIsNotMisreported)
{
    HttpTableClient client(base.get(), clientOptions());
    ASSERT_TRUE(put(client, "1", "a", "x"));
    server->setFaults({ .down = DownMode::Refuse });
    // The kept connection is closed without an answer, then new ones are refused.
    EXPECT_EQ(put(client, "2", "a", "y").error().code, StoreErrorCode::Timeout);
    EXPECT_EQ(put(client, "3", "a", "y").error().code, StoreErrorCode::Unavailable);
    EXPECT_EQ(service.counters.rowsWritten, 1u);
}

TEST_F(TableStandIn, SlowAnswersTimeOutAndNeverReachALaterRequest)
{
    HttpTableClient client(base.get(), clientOptions(100ms));
    ASSERT_TRUE(put(client, "1", "a", "x"));
    ASSERT_TRUE(put(client, "2", "b", "y"));
    server->setFaults({ .slow = 200ms });
    EXPECT_EQ(get(client, "a").error().code, StoreErrorCode::Timeout);
    server->setFaults({});
    for (int n = 0; n < 30; ++n) {
        EXPECT_EQ(get(client, "b").value().value, "y");
        runFor(10ms);
    }
}

TEST_F(TableStandIn, LateAnswersAndLateApplicationsAreTimeouts)
{
    HttpTableClient client(base.get(), clientOptions(100ms));
    server->setFaults({ .lateRate = 1, .late = 200ms, .isAppliedLate = true });
    EXPECT_EQ(put(client, "1", "a", "x").error().code, StoreErrorCode::Timeout);
    EXPECT_EQ(service.counters.rowsWritten, 0u);
    server->setFaults({});
    runFor(300ms);
    EXPECT_EQ(service.counters.rowsWritten, 1u);
    EXPECT_EQ(get(client, "a").value().value, "x");
}

TEST_F(TableStandIn, ThrottlingReportsWhenToComeBack)
{
    HttpTableClient client(base.get(), clientOptions());
    server->setFaults({ .writesPerSecond = 2, .readsPerSecond = 1 });
    EXPECT_TRUE(put(client, "1", "a", "x"));
    EXPECT_TRUE(put(client, "2", "a", "x"));
    auto error = put(client, "3", "a", "x").error();
    EXPECT_EQ(error.code, StoreErrorCode::Throttled);
    EXPECT_GT(error.retryAfter, 0ms);
    EXPECT_LE(error.retryAfter, 500ms);
    EXPECT_TRUE(get(client, "a"));
    EXPECT_EQ(get(client, "a").error().code, StoreErrorCode::Throttled);
    EXPECT_EQ(service.counters.throttled, 2u);
}

TEST_F(TableStandIn, BreakerStopsRequestsToADeadStoreAndClosesAgain)
{
    auto options = clientOptions();
    options.failuresToOpen = 3;
    HttpTableClient client(base.get(), options);
    server->setFaults({ .down = DownMode::Close });
    for (int n = 0; n < 30; ++n)
        EXPECT_FALSE(get(client, "a"));
    // Without a breaker all 30 would have reached the store.
    EXPECT_LE(service.counters.refused, 6u);
    server->setFaults({});
    auto limit = steadyNow() + 5s;
    while (get(client, "a").error().code != StoreErrorCode::NotFound && steadyNow() < limit)
        runFor(10ms);
    EXPECT_EQ(get(client, "a").error().code, StoreErrorCode::NotFound);
}

TEST_F(TableStandIn, OutstandingAndQueuedRequestsAreBounded)
{
    auto options = clientOptions();
    options.maxOutstanding = 2;
    options.maxQueued = 3;
    HttpTableClient client(base.get(), options);
    server->setFaults({ .slow = 20ms });
    int found = 0;
    int unavailable = 0;
    for (int n = 0; n < 10; ++n) {
        client.get("a", [&](Instant, StoreResult<TableRow> result) {
            found += result.error().code == StoreErrorCode::NotFound;
            unavailable += result.error().code == StoreErrorCode::Unavailable;
        });
    }
    runFor(300ms);
    EXPECT_EQ(found, 5);
    EXPECT_EQ(unavailable, 5);
}

TEST_F(TableStandIn, DestroyedClientCompletesNothing)
{
    server->setFaults({ .slow = 20ms });
    bool isCompleted = false;
    {
        HttpTableClient client(base.get(), clientOptions());
        client.get("a", [&](Instant, StoreResult<TableRow>) { isCompleted = true; });
        runFor(5ms);
    }
    runFor(50ms);
    EXPECT_FALSE(isCompleted);
}

TEST_F(TableStandIn, ClientMayBeDestroyedByItsCompletion)
{
    auto client = std::make_unique<HttpTableClient>(base.get(), clientOptions());
    int completed = 0;
    for (int n = 0; n < 3; ++n) {
        client->get("a", [&](Instant, StoreResult<TableRow>) {
            ++completed;
            client.reset();
        });
    }
    runFor(100ms);
    EXPECT_EQ(completed, 1);
}

namespace {

struct ControlReply {
    int status { 0 };
    std::string body;
};

ControlReply callControl(event_base* base, uint16_t port, evhttp_cmd_type method, const char* path, std::string body)
{
    auto* connection = evhttp_connection_base_new(base, nullptr, "127.0.0.1", port);
    ControlReply reply;
    auto onReply = [](evhttp_request* request, void* argument) {
        if (!request)
            return;
        auto& it = *static_cast<ControlReply*>(argument);
        auto* buffer = evhttp_request_get_input_buffer(request);
        it.status = evhttp_request_get_response_code(request);
        it.body.resize(evbuffer_get_length(buffer));
        evbuffer_copyout(buffer, it.body.data(), it.body.size());
    };
    auto* request = evhttp_request_new(onReply, &reply);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "127.0.0.1");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(connection, request, method, path);
    auto limit = steadyNow() + 5s;
    while (!reply.status && steadyNow() < limit)
        event_base_loop(base, EVLOOP_ONCE);
    evhttp_connection_free(connection);
    return reply;
}

} // namespace

TEST_F(TableStandIn, ControlAndCountersWorkWhileTheStoreRefusesConnections)
{
    HttpTableClient client(base.get(), clientOptions());
    ASSERT_TRUE(put(client, "1", "a", "x"));
    auto control = server->controlPort();
    EXPECT_EQ(callControl(base.get(), control, EVHTTP_REQ_POST, "/control", R"({"down":"refuse"})").status, 200);
    EXPECT_EQ(server->faults().settings().down, DownMode::Refuse);
    auto counters = callControl(base.get(), control, EVHTTP_REQ_GET, "/counters", "");
    EXPECT_EQ(counters.status, 200);
    EXPECT_EQ(decodeCounters(counters.body)->writes, 1u);
    EXPECT_EQ(callControl(base.get(), control, EVHTTP_REQ_POST, "/control", R"({"dropRate":2})").status, 400);
    EXPECT_EQ(callControl(base.get(), control, EVHTTP_REQ_POST, "/control", "{").status, 400);
    EXPECT_EQ(callControl(base.get(), control, EVHTTP_REQ_POST, "/control", "{}").status, 200);
    EXPECT_EQ(server->faults().settings(), FaultSettings {});
    EXPECT_EQ(callControl(base.get(), server->port(), EVHTTP_REQ_GET, "/counters", "").status, 200);
    EXPECT_EQ(callControl(base.get(), control, EVHTTP_REQ_GET, "/other", "").status, 404);
}

TEST_F(ObjectsStandIn, ObjectsAreImmutable)
{
    HttpObjectClient client(base.get(), clientOptions());
    EXPECT_EQ(get(client, "o").error().code, StoreErrorCode::NotFound);
    EXPECT_TRUE(put(client, "o", allBytes()));
    EXPECT_TRUE(put(client, "o", allBytes()));
    EXPECT_EQ(put(client, "o", "other").error().code, StoreErrorCode::Conflict);
    EXPECT_EQ(get(client, "o").value(), allBytes());
    EXPECT_TRUE(wait<Done>([&](auto done) { client.remove("o", done); }));
    EXPECT_EQ(wait<Done>([&](auto done) { client.remove("o", done); }).error().code, StoreErrorCode::NotFound);
    EXPECT_EQ(put(client, "", "x").error().code, StoreErrorCode::Malformed);
}

TEST_F(ObjectsStandIn, LargestObjectPasses)
{
    HttpObjectClient client(base.get(), clientOptions(10s));
    std::string bytes(maxObjectBytes, 'x');
    EXPECT_TRUE(put(client, "o", bytes));
    EXPECT_EQ(get(client, "o").value().size(), bytes.size());
    EXPECT_EQ(put(client, "p", bytes + "x").error().code, StoreErrorCode::Malformed);
}

TEST_F(ObjectsStandIn, EachFaultIsReported)
{
    HttpObjectClient client(base.get(), clientOptions(100ms));
    server->setFaults({ .dropNext = 1 });
    EXPECT_EQ(put(client, "o", "x").error().code, StoreErrorCode::Timeout);
    EXPECT_EQ(get(client, "o").value(), "x");
    server->setFaults({ .slow = 200ms });
    EXPECT_EQ(get(client, "o").error().code, StoreErrorCode::Timeout);
    server->setFaults({ .down = DownMode::Close });
    EXPECT_EQ(put(client, "p", "x").error().code, StoreErrorCode::Timeout);
    server->setFaults({ .down = DownMode::Refuse });
    EXPECT_EQ(put(client, "p", "x").error().code, StoreErrorCode::Unavailable);
    server->setFaults({ .lateRate = 1, .late = 200ms });
    EXPECT_EQ(put(client, "q", "x").error().code, StoreErrorCode::Timeout);
    server->setFaults({ .writesPerSecond = 1 });
    EXPECT_TRUE(put(client, "r", "x"));
    EXPECT_EQ(put(client, "s", "x").error().code, StoreErrorCode::Throttled);
}
