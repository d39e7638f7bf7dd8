// Connecting to a node and waiting for its replies.
#include "Operator/OperatorClient.h"

#include "Loop/EventLoop.h"
#include "Loop/FdWatcher.h"
#include "Loop/SocketStream.h"
#include "Operator/OperatorCodec.h"
#include "Peer/CodecSupport.h"
#include "Peer/Sockets.h"

#include <capnp/rpc-twoparty.h>
#include <optional>
#include <unistd.h>

namespace Berylport {

namespace {

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maximumOperatorReplyBytes / sizeof(capnp::word);
    return options;
}

struct Connection {
    Connection(EventLoop& loop, int fd)
        : socket(loop, fd)
        , network(socket, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
        , rpc(capnp::makeRpcClient(network))
    {
    }
    ~Connection() { socket.abort(); }
    Schema::Operator::Client remote()
    {
        capnp::word scratch[4] {};
        capnp::MallocMessageBuilder message(scratch);
        auto vatId = message.getRoot<capnp::rpc::twoparty::VatId>();
        vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc.bootstrap(vatId).castAs<Schema::Operator>();
    }

    SocketStream socket;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

} // namespace

std::string_view toText(OperatorClientError error)
{
    switch (error) {
    case OperatorClientError::InvalidAddress:
        return "the address of the node is invalid";
    case OperatorClientError::ConnectFailed:
        return "the node refuses connections";
    case OperatorClientError::ConnectTimeout:
        return "the node did not accept the connection in time";
    case OperatorClientError::Timeout:
        return "the node did not answer in time";
    case OperatorClientError::ConnectionLost:
        return "the connection to the node was lost";
    case OperatorClientError::Rejected:
        return "the node failed to answer the request";
    case OperatorClientError::MalformedReply:
        return "the node sent a malformed reply";
    }
    return "unknown";
}

bool isNotSent(OperatorClientError error)
{
    return error == OperatorClientError::InvalidAddress || error == OperatorClientError::ConnectFailed
        || error == OperatorClientError::ConnectTimeout;
}

class OperatorClient::Private {
public:
    Private(Endpoint endpoint, OperatorClientOptions options)
        : m_endpoint(std::move(endpoint))
        , m_options(options)
    {
    }

    // `build(remote)` makes the request and `read(response)` its checked result.
    template <typename T, typename Build, typename Read> Reply<T> call(Build&& build, Read&& read)
    {
        Instant end = steadyNow() + m_options.timeout;
        if (auto error = connect())
            return *error;
        std::optional<Reply<T>> reply;
        auto remote = m_connection->remote();
        auto promise
            = build(remote)
                  .send()
                  .then(
                      [&](auto&& response) {
                          Result<T, PeerError> result = PeerError::Malformed;
                          try {
                              result = read(response);
                          } catch (const kj::Exception&) {
                              result = PeerError::Malformed;
                          }
                          if (result)
                              reply.emplace(std::move(result).value());
                          else
                              reply.emplace(OperatorClientError::MalformedReply);
                      },
                      [&](kj::Exception&& exception) {
                          bool isLost = exception.getType() == kj::Exception::Type::DISCONNECTED;
                          reply.emplace(isLost ? OperatorClientError::ConnectionLost : OperatorClientError::Rejected);
                      })
                  .eagerlyEvaluate(nullptr);
        if (!m_loop.runUntil([&] { return reply.has_value(); }, end - steadyNow()))
            return OperatorClientError::Timeout;
        if (reply->has_error() && reply->error() != OperatorClientError::Rejected)
            m_isBroken = true;
        return std::move(*reply);
    }

private:
    std::optional<OperatorClientError> connect()
    {
        if (m_connection && !m_isBroken)
            return std::nullopt;
        m_connection.reset();
        m_isBroken = false;
        auto fd = startConnect(m_endpoint);
        if (!fd) {
            return fd.error() == PeerError::InvalidAddress ? OperatorClientError::InvalidAddress
                                                           : OperatorClientError::ConnectFailed;
        }
        bool isWritable = false;
        {
            FdWatcher watcher(m_loop, fd.value(), FdInterest::Write, [&] { isWritable = true; });
            watcher.start();
            m_loop.runUntil([&] { return isWritable; }, std::min(m_options.connectTimeout, m_options.timeout));
        }
        if (!isWritable || hasSocketError(fd.value())) {
            ::close(fd.value());
            return isWritable ? OperatorClientError::ConnectFailed : OperatorClientError::ConnectTimeout;
        }
        enableTcpNoDelay(fd.value());
        m_connection = std::make_unique<Connection>(m_loop, fd.value());
        return std::nullopt;
    }

    EventLoop m_loop;
    Endpoint m_endpoint;
    OperatorClientOptions m_options;
    std::unique_ptr<Connection> m_connection;
    bool m_isBroken { false };
};

OperatorClient::OperatorClient(Endpoint endpoint, OperatorClientOptions options)
    : m_private(std::make_unique<Private>(std::move(endpoint), options))
{
}

OperatorClient::~OperatorClient() = default;

OperatorClient::Reply<ServiceList> OperatorClient::listServices()
{
    return m_private->call<ServiceList>([](auto& remote) { return remote.listServicesRequest(); },
        [](auto& response) { return readServiceList(response.getList()); });
}

OperatorClient::Reply<ServiceChangeReply> OperatorClient::changeService(const ServiceChangeRequest& change)
{
    return m_private->call<ServiceChangeReply>(
        [&](auto& remote) {
            auto request = remote.changeServiceRequest();
            write(request.initRequest(), change);
            return request;
        },
        [](auto& response) { return readServiceChangeReply(response.getReply()); });
}

OperatorClient::Reply<std::vector<TargetRow>> OperatorClient::listTargets()
{
    return m_private->call<std::vector<TargetRow>>([](auto& remote) { return remote.listTargetsRequest(); },
        [](auto& response) { return readTargetRows(response.getTargets()); });
}

OperatorClient::Reply<OperatorError> OperatorClient::drainTarget(
    NodeId node, const ServiceName& service, bool isDrained)
{
    return m_private->call<OperatorError>(
        [&](auto& remote) {
            auto request = remote.drainTargetRequest();
            request.setNode(node.value);
            request.setService(Codec::textOf(service.text));
            request.setIsDrained(isDrained);
            return request;
        },
        [](auto& response) { return readOperatorError(response.getError()); });
}

OperatorClient::Reply<std::vector<MemberRow>> OperatorClient::listMembers()
{
    return m_private->call<std::vector<MemberRow>>([](auto& remote) { return remote.listMembersRequest(); },
        [](auto& response) { return readMemberRows(response.getMembers()); });
}

OperatorClient::Reply<ZoneList> OperatorClient::listZones()
{
    return m_private->call<ZoneList>([](auto& remote) { return remote.listZonesRequest(); },
        [](auto& response) { return readZoneList(response.getZones()); });
}

OperatorClient::Reply<OperatorError> OperatorClient::retireZone(const ZoneName& zone)
{
    return m_private->call<OperatorError>(
        [&](auto& remote) {
            auto request = remote.retireZoneRequest();
            request.setZone(Codec::textOf(zone.text));
            return request;
        },
        [](auto& response) { return readOperatorError(response.getError()); });
}

OperatorClient::Reply<std::vector<MeasureRow>> OperatorClient::measures()
{
    return m_private->call<std::vector<MeasureRow>>([](auto& remote) { return remote.measuresRequest(); },
        [](auto& response) { return readMeasureRows(response.getRows()); });
}

OperatorClient::Reply<OperatorNodeStatus> OperatorClient::status()
{
    return m_private->call<OperatorNodeStatus>([](auto& remote) { return remote.statusRequest(); },
        [](auto& response) { return readNodeStatus(response.getStatus()); });
}

OperatorClient::Reply<ActionReply> OperatorClient::findAction(const std::string& token)
{
    return m_private->call<ActionReply>(
        [&](auto& remote) {
            auto request = remote.findActionRequest();
            request.setToken(Codec::textOf(token));
            return request;
        },
        [](auto& response) { return readActionReply(response.getAction()); });
}

} // namespace Berylport
