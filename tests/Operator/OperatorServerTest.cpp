// Guards the operators' RPC service and its client: every call both ways, and faults on either side.
#include "Operator/OperatorTestSupport.h"

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Every field differs from its default.
OperatorNodeStatus createStatus(std::string guard)
{
    return { .node = NodeId { 1 },
        .zone = ZoneName("galle-a"),
        .region = RegionName("central"),
        .guard = std::move(guard),
        .isDraining = true,
        .isStoreReachable = true,
        .configurationVersion = 4,
        .members = 17,
        .uptime = 1500ms,
        .isCoordinator = true };
}

std::string littleEndian(std::initializer_list<uint32_t> words)
{
    std::string bytes;
    for (uint32_t it : words) {
        for (int i = 0; i < 4; ++i)
            bytes.push_back(static_cast<char>(it >> (8 * i)));
    }
    return bytes;
}

class OperatorServerTest : public testing::Test {
protected:
    void expectClosed(const std::string& bytes)
    {
        RawClient raw(node.endpoint);
        raw.send(bytes);
        ASSERT_TRUE(node.waitFor([](const auto& counters, size_t open) { return counters.accepted == 1 && !open; }));
        EXPECT_TRUE(client.status().has_value());
    }

    OperatorFixture node;
    FakeOperatorHandler& handler { node.handler };
    OperatorClient client { node.endpoint, { .connectTimeout = testLimit, .timeout = testLimit } };
};

} // namespace

TEST_F(OperatorServerTest, ListsReturnEveryField)
{
    handler.services = { .configurationVersion = 9, .services = { createDefinition("slotdesk", 7) } };
    handler.targets = { { .service = ServiceName("slotdesk"),
        .node = NodeId { 0xab },
        .zone = ZoneName("kandy-a"),
        .region = RegionName("central"),
        .state = "ready",
        .slots = 10,
        .isSuspect = true,
        .address = "10.0.0.1:7080" } };
    handler.members = { { .node = NodeId { 0xab },
        .zone = ZoneName("kandy-a"),
        .region = RegionName("central"),
        .state = "alive",
        .address = "10.0.0.1:7080",
        .configurationVersion = 9 } };
    handler.zones = { .headVersion = 9, .zones = { { ZoneName("kandy-a"), 8 }, { ZoneName("galle-a"), 9 } } };
    handler.rows = { { "calls", "slotdesk", 1.5 } };
    handler.nodeStatus = createStatus("confirmed");
    EXPECT_EQ(client.listServices().value(), handler.services);
    EXPECT_EQ(client.listTargets().value(), handler.targets);
    EXPECT_EQ(client.listMembers().value(), handler.members);
    EXPECT_EQ(client.listZones().value(), handler.zones);
    EXPECT_EQ(client.measures().value(), handler.rows);
}

TEST_F(OperatorServerTest, StatusReturnsEveryField)
{
    handler.nodeStatus = createStatus("isolated");
    EXPECT_EQ(client.status().value(), handler.nodeStatus);
}

TEST_F(OperatorServerTest, ChangesArriveAsSent)
{
    handler.changeReply
        = { .state = ServiceChangeState::Pending, .version = 12, .missingZones = { ZoneName("galle-a") } };
    auto put = client.changeService(
        { .change = PutService { createDefinition("slotdesk", 7) }, .expectedVersion = 7, .token = "t-1" });
    EXPECT_EQ(put.value(), handler.changeReply);
    auto removal = client.changeService(
        { .change = RemoveService { ServiceName("bookings") }, .expectedVersion = 3, .token = "t-2" });
    EXPECT_EQ(removal.value(), handler.changeReply);
    ASSERT_EQ(handler.changes.size(), 2u);
    EXPECT_EQ(std::get<PutService>(handler.changes[0].change).definition, createDefinition("slotdesk", 7));
    EXPECT_EQ(handler.changes[0].expectedVersion, 7u);
    EXPECT_EQ(handler.changes[0].token, "t-1");
    EXPECT_EQ(std::get<RemoveService>(handler.changes[1].change).name, ServiceName("bookings"));
}

TEST_F(OperatorServerTest, ConflictNamesTheVersionFound)
{
    handler.changeReply.error
        = { .code = OperatorErrorCode::Conflict, .message = "another change came first", .foundVersion = 8 };
    auto reply = client.changeService(
        { .change = PutService { createDefinition("slotdesk", 7) }, .expectedVersion = 7, .token = "t" });
    EXPECT_EQ(reply.value().error, handler.changeReply.error);
}

TEST_F(OperatorServerTest, DrainsZonesAndActionsArriveAsSent)
{
    handler.action = { .token = "a-1", .service = ServiceName("collectsvc"), .state = "done", .resultStatus = 201 };
    EXPECT_FALSE(client.drainTarget(NodeId { 0xab }, ServiceName("slotdesk"), true).value().isError());
    EXPECT_FALSE(client.drainTarget(NodeId { 0xab }, ServiceName("slotdesk"), false).value().isError());
    EXPECT_FALSE(client.retireZone(ZoneName("galle-a")).value().isError());
    EXPECT_EQ(client.findAction("a-1").value(), handler.action);
    EXPECT_EQ(handler.drains,
        (std::vector<std::string> { "00000000000000ab slotdesk drain", "00000000000000ab slotdesk undrain" }));
    EXPECT_EQ(handler.retired, std::vector<ZoneName> { ZoneName("galle-a") });
    EXPECT_EQ(handler.tokens, std::vector<std::string> { "a-1" });
}

TEST_F(OperatorServerTest, EveryErrorCodeArrives)
{
    for (int i = 1; i <= static_cast<int>(OperatorErrorCode::Unreachable); ++i) {
        handler.error = { .code = static_cast<OperatorErrorCode>(i), .message = "m", .foundVersion = 2 };
        handler.action.error = handler.error;
        handler.zones.error = handler.error;
        EXPECT_EQ(client.retireZone(ZoneName("galle-a")).value(), handler.error);
        EXPECT_EQ(client.findAction("x").value().error, handler.error);
        EXPECT_EQ(client.listZones().value().error, handler.error);
    }
}

// A malformed request must not reach the handler, and must not cost the client its connection.
TEST_F(OperatorServerTest, MalformedRequestsAreTypedErrors)
{
    auto definition = createDefinition("slotdesk", 1);
    definition.queueLimit = 1'000'000;
    auto put = client.changeService({ .change = PutService { definition }, .token = "t" });
    EXPECT_EQ(put.value().error.code, OperatorErrorCode::Invalid);
    auto removal = client.changeService({ .change = RemoveService { ServiceName("Not Valid") }, .token = "t" });
    EXPECT_EQ(removal.value().error.code, OperatorErrorCode::Invalid);
    auto noToken = client.changeService({ .change = RemoveService { ServiceName("slotdesk") } });
    EXPECT_EQ(noToken.value().error.code, OperatorErrorCode::Invalid);
    EXPECT_EQ(client.drainTarget(NodeId {}, ServiceName("slotdesk"), true).value().code, OperatorErrorCode::Invalid);
    EXPECT_EQ(client.retireZone(ZoneName("")).value().code, OperatorErrorCode::Invalid);
    EXPECT_EQ(client.findAction("with space").value().error.code, OperatorErrorCode::Invalid);
    EXPECT_TRUE(handler.changes.empty() && handler.drains.empty() && handler.retired.empty() && handler.tokens.empty());
    EXPECT_TRUE(node.waitFor(
        [](const auto& counters, size_t) { return counters.malformedRequests == 6 && counters.accepted == 1; }));
}

// A node must not be able to send escape sequences to the operator's terminal.
TEST_F(OperatorServerTest, ControlCharactersInAReplyAreMalformed)
{
    handler.error = { .code = OperatorErrorCode::NotFound, .message = "\x1b[2J" };
    EXPECT_EQ(client.retireZone(ZoneName("galle-a")).error(), OperatorClientError::MalformedReply);
}

TEST_F(OperatorServerTest, HttpOnThePortClosesTheConnection)
{
    handler.nodeStatus.zone = ZoneName("kandy-a");
    handler.nodeStatus.region = RegionName("central");
    expectClosed("GET / HTTP/1.1\r\nHost: localhost\r\n\r\n");
}

// One segment of 512 MiB: the size must be checked before memory is taken.
TEST_F(OperatorServerTest, OversizedMessageClosesTheConnection)
{
    handler.nodeStatus.zone = ZoneName("kandy-a");
    handler.nodeStatus.region = RegionName("central");
    expectClosed(littleEndian({ 0, 64 * 1024 * 1024 }) + std::string(4096, 'x'));
}

TEST_F(OperatorServerTest, DroppedReplyIsReported)
{
    handler.mode = FakeOperatorHandler::Mode::Drop;
    EXPECT_EQ(client.listServices().error(), OperatorClientError::Rejected);
    handler.mode = FakeOperatorHandler::Mode::Answer;
    EXPECT_TRUE(client.listServices().has_value());
}

TEST(OperatorClientTest, TimesOutWhenTheServerDoesNotAnswer)
{
    OperatorFixture node;
    node.handler.mode = FakeOperatorHandler::Mode::Hold;
    OperatorClient client(node.endpoint, { .connectTimeout = testLimit, .timeout = 100ms });
    EXPECT_EQ(client.listServices().error(), OperatorClientError::Timeout);
}

TEST(OperatorClientTest, RefusedConnectionIsNotSent)
{
    Endpoint closed;
    {
        OperatorFixture node;
        closed = node.endpoint;
    }
    OperatorClient client(closed, { .connectTimeout = testLimit, .timeout = testLimit });
    auto reply = client.listServices();
    EXPECT_EQ(reply.error(), OperatorClientError::ConnectFailed);
    EXPECT_TRUE(isNotSent(reply.error()));
}

// Names are never resolved.
TEST(OperatorClientTest, HostNameIsAnInvalidAddress)
{
    OperatorClient client({ .address = "localhost", .port = 1 });
    EXPECT_EQ(client.status().error(), OperatorClientError::InvalidAddress);
}

TEST(OperatorServerLimitsTest, ConnectionsAboveTheLimitAreClosed)
{
    OperatorFixture node({ .maximumConnections = 2 });
    RawClient first(node.endpoint);
    RawClient second(node.endpoint);
    ASSERT_TRUE(node.waitFor([](const auto&, size_t open) { return open == 2; }));
    OperatorClient client(node.endpoint, { .connectTimeout = testLimit, .timeout = testLimit });
    EXPECT_EQ(client.listServices().error(), OperatorClientError::ConnectionLost);
    EXPECT_TRUE(node.waitFor([](const auto& counters, size_t) { return counters.rejected == 1; }));
}

// Without the limit, clients that send nothing could take all connections for ever.
TEST(OperatorServerLimitsTest, IdleConnectionsAreClosed)
{
    OperatorFixture node({ .idleLimit = 20ms });
    RawClient idle(node.endpoint);
    EXPECT_TRUE(node.waitFor([](const auto& counters, size_t open) { return counters.idleConnections == 1 && !open; }));
}

TEST(OperatorServerLimitsTest, BadAddressIsATypedError)
{
    EventLoop loop;
    FakeOperatorHandler handler;
    OperatorServer server(loop, handler);
    EXPECT_EQ(server.listen({ .address = "nowhere", .port = 0 }).error(), OperatorServerError::InvalidAddress);
}
