// Request handling of one accepted link.
#include "Peer/ServerLink.h"

#include "Peer/PeerCodec.h"

#include <kj/debug.h>
#include <utility>

namespace Berylport {

namespace {

// Wraps a fulfiller in a copyable function that may be called once. The promise fails if no copy is ever called.
template <typename Reply> std::function<void(Reply)> makeReply(kj::Own<kj::PromiseFulfiller<Reply>> fulfiller)
{
    auto shared = std::make_shared<kj::Own<kj::PromiseFulfiller<Reply>>>(kj::mv(fulfiller));
    return [shared](Reply reply) { (*shared)->fulfill(kj::mv(reply)); };
}

CallLost makeTooLargeReply(const AttemptId& id)
{
    return { .id = id, .reason = LossReason::AnswerTooLarge, .load = {} };
}

} // namespace

// Implements the methods of Peer.capnp. The RPC system may keep it alive after the link is destroyed.
class ServerLink::Service final : public Schema::Peer::Server {
public:
    explicit Service(std::weak_ptr<ServerLink> link)
        : m_link(std::move(link))
    {
    }

protected:
    kj::Promise<void> hello(HelloContext context) override
    {
        auto link = lockLink();
        auto status = link->handleHello(context.getParams().getHello());
        auto reply = context.getResults().initReply();
        reply.setStatus(status);
        reply.setProtocolVersion(peerProtocolVersion);
        reply.setNode(link->m_context.self.value);
        reply.setClock(toMicroseconds(steadyNow()));
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext context) override
    {
        auto link = lockLink();
        link->requireOpen();
        auto params = context.getParams();
        auto clock = readClock(params.getClock());
        auto echoedClock = readClock(params.getEchoedClock());
        auto echoReceivedAt = readClock(params.getEchoReceivedAt());
        if (!clock || !echoedClock || !echoReceivedAt)
            link->rejectMalformed();
        link->recordPing(clock.value(), echoedClock.value(), echoReceivedAt.value());
        context.getResults().setClock(toMicroseconds(steadyNow()));
        return kj::READY_NOW;
    }

    kj::Promise<void> call(CallContext context) override
    {
        auto link = lockLink();
        link->requireOpen();
        auto request = readCallRequest(context.getParams().getRequest());
        if (!request)
            link->rejectMalformed();
        context.releaseParams();
        AttemptId id = request.value().id;
        request.value().deadline = link->toLocalDeadline(request.value().deadline);
        request.value().objective = link->toLocalDeadline(request.value().objective);
        auto pair = kj::newPromiseAndFulfiller<CallReply>();
        link->m_context.loop.guard([&] {
            auto reply = makeReply(kj::mv(pair.fulfiller));
            link->m_context.handler.callArrived(link->m_info, std::move(request).value(), reply);
        });
        return pair.promise.then([context, id, limit = replyLimit(*link)](CallReply&& reply) mutable {
            size_t size = estimateSize(reply);
            auto builder = context.getResults(capnp::MessageSize { size / sizeof(capnp::word), 0 }).initReply();
            if (size > limit)
                write(builder, CallReply(makeTooLargeReply(id)));
            else
                write(builder, reply);
        });
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        auto link = lockLink();
        link->requireOpen();
        auto id = readAttemptId(context.getParams().getId());
        if (!id)
            link->rejectMalformed();
        link->m_context.loop.guard(
            [&] { link->m_context.handler.cancelArrived(link->m_info, CallCancel { .id = id.value() }); });
        return kj::READY_NOW;
    }

    kj::Promise<void> query(QueryContext context) override
    {
        auto link = lockLink();
        link->requireOpen();
        auto query = readCallQuery(context.getParams().getQuery());
        if (!query)
            link->rejectMalformed();
        AttemptId id = query.value().id;
        query.value().deadline = link->toLocalDeadline(query.value().deadline);
        auto pair = kj::newPromiseAndFulfiller<QueryReply>();
        link->m_context.loop.guard([&] {
            auto reply = makeReply(kj::mv(pair.fulfiller));
            link->m_context.handler.queryArrived(link->m_info, query.value(), reply);
        });
        return pair.promise.then([context, id, limit = replyLimit(*link)](QueryReply&& reply) mutable {
            size_t size = estimateSize(reply);
            auto builder = context.getResults(capnp::MessageSize { size / sizeof(capnp::word), 0 }).initReply();
            if (size > limit)
                write(builder, QueryReply(makeTooLargeReply(id)));
            else
                write(builder, reply);
        });
    }

    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
    {
        auto link = lockLink();
        link->requireOpen();
        uint64_t since = context.getParams().getSince();
        ConfigurationOffer offer;
        link->m_context.loop.guard([&] { offer = link->m_context.handler.configuration(since); });
        KJ_REQUIRE(estimateSize(offer) <= replyLimit(*link), "configuration exceeds the message size limit");
        write(context.getResults().initConfiguration(), offer);
        return kj::READY_NOW;
    }

    kj::Promise<void> drainTarget(DrainTargetContext context) override
    {
        auto link = lockLink();
        link->requireOpen();
        auto service = readServiceName(context.getParams().getService());
        KJ_REQUIRE(service.has_value(), "malformed service name");
        bool isDrained = context.getParams().getIsDrained();
        auto fulfiller = kj::newPromiseAndFulfiller<bool>();
        auto shared = std::make_shared<kj::Own<kj::PromiseFulfiller<bool>>>(kj::mv(fulfiller.fulfiller));
        auto reply = [shared](bool isKnown) { (*shared)->fulfill(kj::cp(isKnown)); };
        link->m_context.loop.guard(
            [&] { link->m_context.handler.drainArrived(link->m_info, service.value(), isDrained, reply); });
        return fulfiller.promise.then([context](bool isKnown) mutable { context.getResults().setIsKnown(isKnown); });
    }

private:
    std::shared_ptr<ServerLink> lockLink() const
    {
        auto link = m_link.lock();
        KJ_REQUIRE(link != nullptr, "the link is closed");
        return link;
    }

    static size_t replyLimit(const ServerLink& link) { return link.m_context.options.maximumMessageBytes / 2; }

    std::weak_ptr<ServerLink> m_link;
};

ServerLink::ServerLink(ServerContext& context, LinkId id, ClosedCallback ended)
    : m_context(context)
    , m_info { .id = id, .peer = {} }
    , m_closedCallback(std::move(ended))
    , m_inactivity(context.options.checkInterval, steadyNow())
{
}

ServerLink::~ServerLink() = default;

void ServerLink::start(int fd)
{
    m_connection = std::make_unique<PeerConnection>(m_context.loop, fd, capnp::rpc::twoparty::Side::SERVER,
        kj::heap<Service>(weak_from_this()), m_context.options.maximumMessageBytes, nullptr);
    m_tasks = std::make_unique<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
    m_tasks->add(m_connection->onDisconnect().then([this] { m_closedCallback(m_info.id); }));
}

bool ServerLink::checkActivity()
{
    uint64_t bytes = m_connection->socket().bytesRead();
    // Before the hello, received bytes do not count as activity, so that garbage cannot keep a link open.
    bool hasHeard = m_state == State::Open && bytes != m_bytesAtLastCheck;
    m_bytesAtLastCheck = bytes;
    if (hasHeard)
        m_inactivity.recordActivity();
    return m_inactivity.update(steadyNow()) < m_context.options.inactivityTimeout;
}

void ServerLink::abort()
{
    m_state = State::Closed;
    if (m_connection)
        m_connection->socket().abort();
}

void ServerLink::ping(const std::function<void(const LinkInfo&)>& confirmed)
{
    Instant sent = steadyNow();
    auto request = m_remote->pingRequest();
    request.setClock(toMicroseconds(sent));
    auto answered = request.send().then([this, sent](capnp::Response<Schema::Peer::PingResults>&& response) {
        if (auto clock = readClock(response.getClock()))
            m_offset.recordExchange(sent, clock.value(), steadyNow());
        // Requests read before this response may still be queued for dispatch; evalLast runs after all of them.
        return kj::evalLast([] {});
    });
    m_tasks->add(answered.then([this, confirmed] {
        m_context.loop.post([confirmed, info = m_info, link = weak_from_this()] {
            auto self = link.lock();
            if (self && self->isOpen())
                confirmed(info);
        });
    }));
}

void ServerLink::requireOpen() const { KJ_REQUIRE(m_state == State::Open, "request before the hello was accepted"); }

void ServerLink::rejectMalformed()
{
    ++m_context.counters.malformedMessages;
    throw KJ_EXCEPTION(FAILED, "malformed message");
}

Schema::HelloStatus ServerLink::handleHello(Schema::Hello::Reader hello)
{
    KJ_REQUIRE(m_state == State::AwaitingHello, "second hello on the same link");
    NodeId expected { hello.getExpected() };
    NodeId peer { hello.getNode() };
    m_state = State::Refused;
    if (hello.getProtocolVersion() != peerProtocolVersion) {
        ++m_context.counters.refusedHellos;
        return Schema::HelloStatus::WRONG_VERSION;
    }
    if ((!expected.isNull() && expected != m_context.self) || peer.isNull()) {
        ++m_context.counters.refusedHellos;
        return Schema::HelloStatus::WRONG_NODE;
    }
    m_state = State::Open;
    m_remote = m_connection->remote();
    m_info.peer = peer;
    m_inactivity.recordActivity();
    m_context.loop.guard([this] { m_context.handler.linkOpened(m_info); });
    return Schema::HelloStatus::ACCEPTED;
}

// The echo gives an upper bound on the offset: the peer read echoReceivedAt after this side had read echoedClock. The
// clock of the ping itself gives a lower bound.
void ServerLink::recordPing(Instant clock, Instant echoedClock, Instant echoReceivedAt)
{
    Instant now = steadyNow();
    if (echoedClock > now)
        rejectMalformed();
    if (echoedClock != Instant())
        m_offset.recordUpperBound(echoReceivedAt - echoedClock, echoedClock);
    m_offset.recordLowerBound(clock - now, now);
}

Instant ServerLink::toLocalDeadline(Instant peerTime) const
{
    return m_offset.toEarliestLocalTime(peerTime, steadyNow()).value_or(Instant());
}

} // namespace Berylport
