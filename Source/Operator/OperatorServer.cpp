// Listening for operators' clients and dispatching their requests.
#include "Operator/OperatorServer.h"

#include "Loop/SocketStream.h"
#include "Loop/Timer.h"
#include "Operator/OperatorCodec.h"
#include "Peer/Acceptor.h"
#include "Peer/PeerCodec.h"
#include "Peer/Sockets.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <map>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// How often idle connections are looked for.
constexpr Duration idleCheckInterval = std::chrono::seconds(1);

struct ServerState {
    EventLoop& loop;
    OperatorHandler& handler;
    OperatorServerOptions options;
    OperatorServerCounters counters;
    // Set when the server is gone; the RPC system may keep its interface a little longer.
    bool isClosed { false };
};
using StatePointer = std::shared_ptr<ServerState>;

OperatorError invalidRequest(const char* message) { return { .code = OperatorErrorCode::Invalid, .message = message }; }

class Service final : public Schema::Operator::Server {
public:
    explicit Service(StatePointer state)
        : m_state(std::move(state))
    {
    }

protected:
    kj::Promise<void> listServices(ListServicesContext context) override
    {
        return ask<ServiceList>([](OperatorHandler& handler, auto reply) { handler.listServices(std::move(reply)); },
            [context](const ServiceList& list) mutable { write(context.getResults().initList(), list); });
    }

    kj::Promise<void> changeService(ChangeServiceContext context) override
    {
        auto change = readServiceChangeRequest(context.getParams().getRequest());
        if (!change) {
            noteMalformed();
            write(context.getResults().initReply(),
                ServiceChangeReply { .error = invalidRequest("the change is malformed") });
            return kj::READY_NOW;
        }
        return ask<ServiceChangeReply>(
            [&](OperatorHandler& handler, auto reply) { handler.changeService(change.value(), std::move(reply)); },
            [context](const ServiceChangeReply& it) mutable { write(context.getResults().initReply(), it); });
    }

    kj::Promise<void> listTargets(ListTargetsContext context) override
    {
        return ask<std::vector<TargetRow>>(
            [](OperatorHandler& handler, auto reply) { handler.listTargets(std::move(reply)); },
            [context](const std::vector<TargetRow>& rows) mutable {
                writeRows(context.getResults().initTargets(static_cast<unsigned>(rows.size())), rows);
            });
    }

    kj::Promise<void> drainTarget(DrainTargetContext context) override
    {
        auto params = context.getParams();
        auto service = readServiceName(params.getService());
        NodeId node { params.getNode() };
        if (!service || node.isNull()) {
            noteMalformed();
            write(context.getResults().initError(), invalidRequest("the service or node of the target is malformed"));
            return kj::READY_NOW;
        }
        bool isDrained = params.getIsDrained();
        return ask<OperatorError>(
            [&](OperatorHandler& handler, auto reply) {
                handler.drainTarget(node, service.value(), isDrained, std::move(reply));
            },
            [context](const OperatorError& error) mutable { write(context.getResults().initError(), error); });
    }

    kj::Promise<void> listMembers(ListMembersContext context) override
    {
        return ask<std::vector<MemberRow>>(
            [](OperatorHandler& handler, auto reply) { handler.listMembers(std::move(reply)); },
            [context](const std::vector<MemberRow>& rows) mutable {
                writeRows(context.getResults().initMembers(static_cast<unsigned>(rows.size())), rows);
            });
    }

    kj::Promise<void> listZones(ListZonesContext context) override
    {
        return ask<ZoneList>([](OperatorHandler& handler, auto reply) { handler.listZones(std::move(reply)); },
            [context](const ZoneList& list) mutable { write(context.getResults().initZones(), list); });
    }

    kj::Promise<void> retireZone(RetireZoneContext context) override
    {
        auto zone = readZoneName(context.getParams().getZone());
        if (!zone) {
            noteMalformed();
            write(context.getResults().initError(), invalidRequest("the zone name is malformed"));
            return kj::READY_NOW;
        }
        return ask<OperatorError>(
            [&](OperatorHandler& handler, auto reply) { handler.retireZone(zone.value(), std::move(reply)); },
            [context](const OperatorError& error) mutable { write(context.getResults().initError(), error); });
    }

    kj::Promise<void> measures(MeasuresContext context) override
    {
        return ask<std::vector<MeasureRow>>(
            [](OperatorHandler& handler, auto reply) { handler.measures(std::move(reply)); },
            [context](const std::vector<MeasureRow>& rows) mutable {
                writeRows(context.getResults().initRows(static_cast<unsigned>(rows.size())), rows);
            });
    }

    kj::Promise<void> status(StatusContext context) override
    {
        return ask<OperatorNodeStatus>([](OperatorHandler& handler, auto reply) { handler.status(std::move(reply)); },
            [context](const OperatorNodeStatus& it) mutable { write(context.getResults().initStatus(), it); });
    }

    kj::Promise<void> findAction(FindActionContext context) override
    {
        auto token = readOperatorToken(context.getParams().getToken());
        if (!token) {
            noteMalformed();
            write(context.getResults().initAction(), ActionReply { .error = invalidRequest("the token is malformed") });
            return kj::READY_NOW;
        }
        return ask<ActionReply>(
            [&](OperatorHandler& handler, auto reply) { handler.findAction(token.value(), std::move(reply)); },
            [context](const ActionReply& it) mutable { write(context.getResults().initAction(), it); });
    }

private:
    // Hands a request to the handler; the promise fails when the handler drops the reply function.
    template <typename T, typename Call, typename Write> kj::Promise<void> ask(Call&& call, Write&& writeReply)
    {
        KJ_REQUIRE(!m_state->isClosed, "the server is closed");
        auto pair = kj::newPromiseAndFulfiller<T>();
        auto shared = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(kj::mv(pair.fulfiller));
        m_state->loop.guard([&] {
            call(m_state->handler, OperatorReply<T>([shared](T reply) { (*shared)->fulfill(kj::mv(reply)); }));
        });
        shared.reset();
        return pair.promise.then(
            [writeReply = std::forward<Write>(writeReply)](T&& reply) mutable { writeReply(reply); });
    }

    template <typename Builders, typename Row> static void writeRows(Builders builders, const std::vector<Row>& rows)
    {
        unsigned i = 0;
        for (const auto& it : rows)
            write(builders[i++], it);
    }

    void noteMalformed() { ++m_state->counters.malformedRequests; }

    StatePointer m_state;
};

capnp::ReaderOptions readerOptions(size_t maximumMessageBytes)
{
    capnp::ReaderOptions options;
    // Also the limit on the size of a message, checked before memory for it is taken.
    options.traversalLimitInWords = maximumMessageBytes / sizeof(capnp::word);
    return options;
}

class Connection final : private kj::TaskSet::ErrorHandler {
public:
    Connection(const StatePointer& state, int fd, std::function<void()> ended)
        : m_ended(std::move(ended))
        , m_lastHeard(steadyNow())
        , m_socket(state->loop, fd)
        , m_network(m_socket, capnp::rpc::twoparty::Side::SERVER, readerOptions(state->options.maximumRequestBytes))
        , m_rpc(capnp::makeRpcServer(m_network, kj::heap<Service>(state)))
        , m_tasks(*this)
    {
        m_tasks.add(m_network.onDisconnect().then([this] { m_ended(); }));
    }
    // Nothing that the RPC system still wants to send while it ends may leave.
    ~Connection() { m_socket.abort(); }

    void abort() { m_socket.abort(); }
    bool isIdle(Instant now, Duration limit)
    {
        if (m_socket.bytesRead() != m_bytesAtLastCheck)
            m_lastHeard = now;
        m_bytesAtLastCheck = m_socket.bytesRead();
        return now - m_lastHeard >= limit;
    }

private:
    void taskFailed(kj::Exception&&) override { m_ended(); }

    std::function<void()> m_ended;
    Instant m_lastHeard;
    uint64_t m_bytesAtLastCheck { 0 };
    SocketStream m_socket;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    // Destroyed first, as its promises refer to the members above.
    kj::TaskSet m_tasks;
};

} // namespace

class OperatorServer::Private final : public std::enable_shared_from_this<Private> {
public:
    Private(EventLoop& loop, OperatorHandler& handler, OperatorServerOptions options)
        : m_state(std::make_shared<ServerState>(
            ServerState { .loop = loop, .handler = handler, .options = options, .counters = {}, .isClosed = false }))
        , m_acceptor(loop, [this](int fd) { add(fd); })
        , m_idleTimer(loop, [this] { closeIdle(); })
    {
        m_idleTimer.startPeriodic(std::min(options.idleLimit, idleCheckInterval));
    }

    Result<Endpoint, OperatorServerError> listen(const Endpoint& endpoint)
    {
        auto bound = m_acceptor.listen(endpoint);
        if (bound)
            return bound.value();
        return bound.error() == PeerError::InvalidAddress ? OperatorServerError::InvalidAddress
                                                          : OperatorServerError::ListenFailed;
    }

    void stopListening() { m_acceptor.stop(); }

    // Ends all connections.
    void abandon()
    {
        stopListening();
        m_idleTimer.stop();
        m_state->isClosed = true;
        while (!m_connections.empty())
            close(m_connections.begin()->first);
    }

    size_t connectionCount() const { return m_connections.size(); }
    const OperatorServerCounters& counters() const { return m_state->counters; }

private:
    void add(int fd)
    {
        if (m_connections.size() >= m_state->options.maximumConnections) {
            ++m_state->counters.rejected;
            ::close(fd);
            return;
        }
        ++m_state->counters.accepted;
        enableTcpNoDelay(fd);
        uint64_t id = m_nextConnection++;
        auto ended = [self = weak_from_this(), &loop = m_state->loop, id] {
            // Called from a promise of the connection, which must not be destroyed from inside its own callback.
            loop.post([self, id] {
                if (auto server = self.lock())
                    server->close(id);
            });
        };
        m_connections.emplace(id, std::make_shared<Connection>(m_state, fd, ended));
    }

    void close(uint64_t id)
    {
        auto it = m_connections.find(id);
        if (it == m_connections.end())
            return;
        auto connection = std::move(it->second);
        m_connections.erase(it);
        connection->abort();
        // May be called from a request of this very connection.
        m_state->loop.post([connection = std::move(connection)]() mutable { connection.reset(); });
    }

    void closeIdle()
    {
        Instant now = steadyNow();
        std::vector<uint64_t> idle;
        for (auto& [id, connection] : m_connections) {
            if (connection->isIdle(now, m_state->options.idleLimit))
                idle.push_back(id);
        }
        m_state->counters.idleConnections += idle.size();
        for (uint64_t it : idle)
            close(it);
    }

    StatePointer m_state;
    Acceptor m_acceptor;
    Timer m_idleTimer;
    uint64_t m_nextConnection { 1 };
    std::map<uint64_t, std::shared_ptr<Connection>> m_connections;
};

OperatorServer::OperatorServer(EventLoop& loop, OperatorHandler& handler, OperatorServerOptions options)
    : m_private(std::make_shared<Private>(loop, handler, options))
{
}

OperatorServer::~OperatorServer() { m_private->abandon(); }

Result<Endpoint, OperatorServerError> OperatorServer::listen(const Endpoint& endpoint)
{
    return m_private->listen(endpoint);
}

void OperatorServer::stopListening() { m_private->stopListening(); }

size_t OperatorServer::connectionCount() const { return m_private->connectionCount(); }

const OperatorServerCounters& OperatorServer::counters() const { return m_private->counters(); }

} // namespace Berylport
