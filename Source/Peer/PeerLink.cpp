// Client side of a link.
#include "Peer/PeerLink.h"

#include "Loop/FdWatcher.h"
#include "Loop/Timer.h"
#include "Peer/LinkMonitor.h"
#include "Peer/PeerCodec.h"
#include "Peer/PeerConnection.h"
#include "Peer/Sockets.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace Berylport {

namespace {

// Between two checks only a request with a large body writes this much.
constexpr uint64_t largeWrite = 64 * 1024;

template <typename Reply> const AttemptId& attemptOf(const Reply& reply)
{
    return std::visit([](const auto& it) -> const AttemptId& { return it.id; }, reply);
}

// Interface that the client side exports: the server side only pings it.
class PingResponder final : public Schema::Peer::Server {
protected:
    kj::Promise<void> ping(PingContext context) override
    {
        context.getResults().setClock(toMicroseconds(steadyNow()));
        return kj::READY_NOW;
    }
};

} // namespace

class PeerLink::Private final : public std::enable_shared_from_this<Private>, private kj::TaskSet::ErrorHandler {
public:
    Private(EventLoop& loop, NodeId self, PeerAddress address, PeerLinkOptions options, PeerLinkEvents events)
        : m_loop(loop)
        , m_self(self)
        , m_address(std::move(address))
        , m_options(options)
        , m_events(std::move(events))
        , m_monitor(
              { .pingInterval = options.pingInterval, .inactivityTimeout = options.inactivityTimeout }, steadyNow())
        , m_connectTimer(loop, [this] { closeNow(PeerError::ConnectTimeout); })
        , m_pingTimer(loop, [this] { onPingTimer(); })
    {
    }

    ~Private()
    {
        if (m_connectingFd >= 0)
            ::close(m_connectingFd);
    }

    void connect();
    void send(CallRequest&&, CallCompletion&&);
    void cancel(const CallCancel&);
    void query(const CallQuery&, QueryCompletion&&);
    void fetchConfiguration(uint64_t since, ConfigurationCompletion&&);
    void drainTarget(const ServiceName&, bool isDrained, DrainCompletion&&);
    void closeLater(PeerError);
    // Aborts the connection without calling completions or events.
    void closeWithoutEvents();
    // Called when the owner destroys the link: discards callbacks that are posted but have not run yet.
    void cancelCallbacks() { m_alive.reset(); }

    bool isOpen() const { return m_state == State::Open; }
    bool isClosed() const { return m_state == State::Closed; }
    NodeId peer() const { return m_peer; }
    size_t outstanding() const { return m_calls.size() + m_requests.size(); }
    uint64_t bytesRead() const { return m_connection ? m_connection->socket().bytesRead() : 0; }
    uint64_t bytesWritten() const { return m_connection ? m_connection->socket().bytesWritten() : 0; }

private:
    enum class State : uint8_t {
        Connecting,
        Open,
        Closed,
    };
    struct Call {
        CallCompletion completion;
        // A byte of the request may have been sent.
        bool isWritten { false };
    };
    // A request other than a call: started once the link is open, or failed when it closes.
    struct Request {
        std::function<void(PeerError)> fail;
        std::function<void()> start;
    };

    void taskFailed(kj::Exception&&) override { closeLater(PeerError::LinkLost); }
    void onWritable();
    void sendHello();
    void onHelloReply(Schema::HelloReply::Reader);
    void open();
    void startOwing();
    void onPingTimer();
    void sendPing();
    void closeNow(PeerError);
    void transmit(const CallRequest&);
    void completeCall(const AttemptId&, CallResult&&);
    void onCallFailed(const AttemptId&, const kj::Exception&);
    void addRequest(Request&&);
    // Posts a completion or event to the event loop; discarded if the link is destroyed before it runs.
    void postCallback(std::function<void()>);
    template <typename Response, typename Completion, typename Read>
    void await(uint64_t key, kj::Promise<Response>&&, Completion, Read);

    EventLoop& m_loop;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    NodeId m_self;
    PeerAddress m_address;
    PeerLinkOptions m_options;
    PeerLinkEvents m_events;
    State m_state { State::Connecting };
    PeerError m_closeReason { PeerError::Closed };
    NodeId m_peer;
    // Valid only while the TCP connect is in progress; afterwards m_connection owns the socket.
    int m_connectingFd { -1 };
    std::unique_ptr<FdWatcher> m_connectWatcher;

    LinkMonitor m_monitor;
    uint64_t m_bytesAtLastCheck { 0 };
    uint64_t m_bytesWrittenAtLastCheck { 0 };
    // The peer's clock in its last ping response, and the local time at which that response arrived.
    Instant m_echoedClock;
    Instant m_echoReceivedAt;

    std::unordered_map<AttemptId, Call> m_calls;
    // Calls made before the link is open, in sending order; each is also in m_calls.
    std::deque<CallRequest> m_queuedCalls;
    std::map<uint64_t, Request> m_requests;
    uint64_t m_nextRequest { 0 };

    Timer m_connectTimer;
    Timer m_pingTimer;
    std::unique_ptr<PeerConnection> m_connection;
    std::optional<Schema::Peer::Client> m_remote;
    // Destroyed before the connection, as its promises refer to it.
    std::unique_ptr<kj::TaskSet> m_tasks;
};

void PeerLink::Private::connect()
{
    m_connectTimer.startOnce(m_options.connectTimeout);
    auto fd = startConnect(m_address.endpoint);
    if (!fd) {
        closeLater(fd.error());
        return;
    }
    m_connectingFd = fd.value();
    m_connectWatcher = std::make_unique<FdWatcher>(m_loop, m_connectingFd, FdInterest::Write, [this] { onWritable(); });
    m_connectWatcher->start();
}

void PeerLink::Private::onWritable()
{
    m_connectWatcher.reset();
    if (hasSocketError(m_connectingFd)) {
        closeNow(PeerError::ConnectFailed);
        return;
    }
    enableTcpNoDelay(m_connectingFd);
    auto callWritten = [this](const AttemptId& id) {
        auto it = m_calls.find(id);
        if (it != m_calls.end())
            it->second.isWritten = true;
    };
    m_connection = std::make_unique<PeerConnection>(m_loop, std::exchange(m_connectingFd, -1),
        capnp::rpc::twoparty::Side::CLIENT, kj::heap<PingResponder>(), m_options.maximumMessageBytes, callWritten);
    m_tasks = std::make_unique<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this));
    m_remote = m_connection->remote();
    m_tasks->add(m_connection->onDisconnect().then([this] { closeLater(PeerError::LinkLost); }));
    sendHello();
}

void PeerLink::Private::sendHello()
{
    auto request = m_remote->helloRequest();
    auto hello = request.initHello();
    hello.setProtocolVersion(peerProtocolVersion);
    hello.setNode(m_self.value);
    hello.setExpected(m_address.node.value);
    auto replied = request.send().then(
        [this](capnp::Response<Schema::Peer::HelloResults>&& response) { onHelloReply(response.getReply()); });
    // Cap'n Proto may reorder calls made on the promise capability and on the resolved one, so calls start only after
    // it has resolved.
    m_tasks->add(replied.then([this] { return m_remote->whenResolved(); }).then([this] { open(); }));
}

void PeerLink::Private::onHelloReply(Schema::HelloReply::Reader reply)
{
    if (reply.getStatus() == Schema::HelloStatus::WRONG_NODE) {
        closeLater(PeerError::WrongNode);
        return;
    }
    if (reply.getStatus() != Schema::HelloStatus::ACCEPTED || reply.getProtocolVersion() != peerProtocolVersion) {
        closeLater(PeerError::WrongVersion);
        return;
    }
    NodeId node { reply.getNode() };
    bool isExpected = m_address.node.isNull() || node == m_address.node;
    if (node.isNull() || !isExpected) {
        closeLater(PeerError::WrongNode);
        return;
    }
    auto clock = readClock(reply.getClock());
    if (!clock) {
        closeLater(PeerError::Malformed);
        return;
    }
    m_peer = node;
    m_echoedClock = clock.value();
    m_echoReceivedAt = steadyNow();
}

void PeerLink::Private::open()
{
    if (m_state != State::Connecting || m_peer.isNull())
        return;
    m_state = State::Open;
    m_connectTimer.stop();
    m_monitor = LinkMonitor(
        { .pingInterval = m_options.pingInterval, .inactivityTimeout = m_options.inactivityTimeout }, steadyNow());
    m_pingTimer.startAt(m_monitor.nextCheck());
    // Sent before the first call, so that the peer can convert the call's deadline to its own clock.
    sendPing();
    if (!m_queuedCalls.empty())
        startOwing();
    for (const auto& it : std::exchange(m_queuedCalls, {}))
        transmit(it);
    for (auto& [key, request] : m_requests)
        request.start();
    if (m_events.opened)
        postCallback(m_events.opened);
}

// The first call without a reply: the peer is to be heard soon.
void PeerLink::Private::startOwing()
{
    m_monitor.recordOwed(steadyNow());
    m_pingTimer.startAt(m_monitor.nextCheck());
}

void PeerLink::Private::onPingTimer()
{
    Instant now = steadyNow();
    uint64_t read = bytesRead();
    uint64_t written = bytesWritten();
    // A ping response may be queued behind a large reply, so any received byte counts as activity. A ping may be queued
    // behind a large request, of which a silent peer takes no more than its buffers hold.
    bool isHeard = read != std::exchange(m_bytesAtLastCheck, read);
    isHeard |= written - std::exchange(m_bytesWrittenAtLastCheck, written) >= largeWrite;
    if (isHeard)
        m_monitor.recordHeard(now);
    auto step = m_monitor.check(now, !m_calls.empty());
    if (step == LinkMonitor::Step::Close) {
        closeNow(PeerError::PingTimeout);
        return;
    }
    if (step == LinkMonitor::Step::Ping)
        sendPing();
    m_pingTimer.startAt(m_monitor.nextCheck());
}

void PeerLink::Private::sendPing()
{
    m_monitor.recordPing(steadyNow());
    auto request = m_remote->pingRequest();
    request.setEchoedClock(toMicroseconds(m_echoedClock));
    request.setEchoReceivedAt(toMicroseconds(m_echoReceivedAt));
    request.setClock(toMicroseconds(steadyNow()));
    m_tasks->add(request.send().then([this](capnp::Response<Schema::Peer::PingResults>&& response) {
        m_monitor.recordPingReply(steadyNow());
        auto clock = readClock(response.getClock());
        if (!clock) {
            closeLater(PeerError::Malformed);
            return;
        }
        m_echoedClock = clock.value();
        m_echoReceivedAt = steadyNow();
    }));
}

// A promise must not be destroyed from inside its own callback, so the close is posted to the event loop.
void PeerLink::Private::closeLater(PeerError reason)
{
    m_loop.post([self = shared_from_this(), reason] { self->closeNow(reason); });
}

void PeerLink::Private::postCallback(std::function<void()> function)
{
    m_loop.post([alive = std::weak_ptr<bool>(m_alive), function = std::move(function)] {
        if (!alive.expired())
            function();
    });
}

void PeerLink::Private::closeWithoutEvents()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_connectTimer.stop();
    m_pingTimer.stop();
    m_connectWatcher.reset();
    if (m_connection)
        m_connection->socket().abort();
    m_calls.clear();
    m_queuedCalls.clear();
    m_requests.clear();
    m_events = {};
}

void PeerLink::Private::closeNow(PeerError reason)
{
    if (m_state == State::Closed)
        return;
    auto calls = std::move(m_calls);
    auto requests = std::move(m_requests);
    auto closed = std::move(m_events.closed);
    m_closeReason = reason;
    // Aborts the socket first, so that no call counted as unwritten can be written afterwards.
    closeWithoutEvents();
    m_tasks.reset();
    m_remote.reset();
    m_connection.reset();
    for (auto& [id, call] : calls) {
        CallResult result = call.isWritten
            ? CallResult(CallReply(CallLost { .id = id, .reason = LossReason::LinkLost, .load = {} }))
            : CallResult(CallNotSent { id, reason });
        postCallback([completion = std::move(call.completion), result = std::move(result)] { completion(result); });
    }
    for (auto& [key, request] : requests)
        request.fail(reason);
    if (closed)
        postCallback([closed = std::move(closed), reason] { closed(reason); });
}

void PeerLink::Private::send(CallRequest&& request, CallCompletion&& completion)
{
    AttemptId id = request.id;
    std::optional<PeerError> refusal;
    if (m_state == State::Closed)
        refusal = m_closeReason;
    else if (m_calls.contains(id))
        refusal = PeerError::DuplicateAttempt;
    else if (estimateSize(request) > m_options.maximumMessageBytes / 2)
        refusal = PeerError::MessageTooLarge;
    if (refusal) {
        postCallback(
            [completion = std::move(completion), result = CallNotSent { id, *refusal }] { completion(result); });
        return;
    }
    bool wasOwed = !m_calls.empty();
    m_calls.emplace(id, Call { .completion = std::move(completion) });
    if (m_state == State::Open) {
        if (!wasOwed)
            startOwing();
        transmit(request);
    } else
        m_queuedCalls.push_back(std::move(request));
}

void PeerLink::Private::transmit(const CallRequest& call)
{
    AttemptId id = call.id;
    auto request = m_remote->callRequest(capnp::MessageSize { estimateSize(call) / sizeof(capnp::word), 0 });
    write(request.initRequest(), call);
    auto replied = [this, id](capnp::Response<Schema::Peer::CallResults>&& response) {
        auto reply = readCallReply(response.getReply());
        bool isOurs = reply && attemptOf(reply.value()) == id;
        if (isOurs)
            completeCall(id, std::move(reply).value());
        else
            completeCall(id, CallReply(CallLost { .id = id, .reason = LossReason::AnswerMalformed, .load = {} }));
    };
    m_tasks->add(request.send().then(kj::mv(replied), [this, id](kj::Exception&& e) { onCallFailed(id, e); }));
}

void PeerLink::Private::onCallFailed(const AttemptId& id, const kj::Exception& failure)
{
    // closeNow() decides between CallNotSent and CallLost for every call of the link.
    if (failure.getType() == kj::Exception::Type::DISCONNECTED) {
        closeLater(PeerError::LinkLost);
        return;
    }
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    // A call that was never written can only have been rejected by the local RPC system.
    if (it->second.isWritten)
        completeCall(id, CallReply(CallLost { .id = id, .reason = LossReason::AnswerMalformed, .load = {} }));
    else
        closeLater(PeerError::RemoteFailed);
}

void PeerLink::Private::completeCall(const AttemptId& id, CallResult&& result)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto completion = std::move(it->second.completion);
    m_calls.erase(it);
    m_bytesAtLastCheck = bytesRead();
    m_monitor.recordHeard(steadyNow());
    postCallback(
        [completion = std::move(completion), result = std::move(result)]() mutable { completion(std::move(result)); });
}

void PeerLink::Private::cancel(const CallCancel& cancelled)
{
    auto waiting = std::find_if(
        m_queuedCalls.begin(), m_queuedCalls.end(), [&](const CallRequest& it) { return it.id == cancelled.id; });
    if (waiting != m_queuedCalls.end()) {
        m_queuedCalls.erase(waiting);
        completeCall(cancelled.id, CallNotSent { cancelled.id, PeerError::Cancelled });
        return;
    }
    if (m_state != State::Open)
        return;
    auto request = m_remote->cancelRequest();
    write(request.initId(), cancelled.id);
    // Errors are ignored: a cancellation is lost only when the link closes, which fails the call anyway.
    m_tasks->add(request.send().ignoreResult().catch_([](kj::Exception&&) {}));
}

void PeerLink::Private::addRequest(Request&& request)
{
    if (m_state == State::Closed) {
        request.fail(m_closeReason);
        return;
    }
    auto [it, isNew] = m_requests.emplace(m_nextRequest, std::move(request));
    ++m_nextRequest;
    if (m_state == State::Open)
        it->second.start();
}

template <typename Response, typename Completion, typename Read>
void PeerLink::Private::await(uint64_t key, kj::Promise<Response>&& promise, Completion completion, Read read)
{
    using Outcome = decltype(read(std::declval<Response&>()));
    auto finish = [this, key, completion](Outcome outcome) {
        // No longer present if closing the link has already failed the request.
        if (m_requests.erase(key))
            postCallback([completion, outcome = std::move(outcome)] { completion(outcome); });
    };
    auto failed = [this, finish](kj::Exception&& e) {
        if (e.getType() == kj::Exception::Type::DISCONNECTED)
            closeLater(PeerError::LinkLost);
        else
            finish(PeerError::RemoteFailed);
    };
    m_tasks->add(promise.then([finish, read](Response&& response) { finish(read(response)); }, kj::mv(failed)));
}

void PeerLink::Private::query(const CallQuery& query, QueryCompletion&& completion)
{
    uint64_t key = m_nextRequest;
    auto fail = [this, completion](PeerError ec) { postCallback([completion, ec] { completion(ec); }); };
    auto start = [this, key, query, completion] {
        auto request = m_remote->queryRequest();
        write(request.initQuery(), query);
        auto read
            = [id = query.id](capnp::Response<Schema::Peer::QueryResults>& response) -> Result<QueryReply, PeerError> {
            auto reply = readQueryReply(response.getReply());
            if (reply && attemptOf(reply.value()) == id)
                return reply;
            return PeerError::Malformed;
        };
        await<capnp::Response<Schema::Peer::QueryResults>>(key, request.send(), completion, read);
    };
    addRequest({ .fail = fail, .start = start });
}

void PeerLink::Private::fetchConfiguration(uint64_t since, ConfigurationCompletion&& completion)
{
    uint64_t key = m_nextRequest;
    auto fail = [this, completion](PeerError ec) { postCallback([completion, ec] { completion(ec); }); };
    auto start = [this, key, since, completion] {
        auto read = [](capnp::Response<Schema::Peer::FetchConfigurationResults>& response) {
            return readConfiguration(response.getConfiguration());
        };
        auto request = m_remote->fetchConfigurationRequest();
        request.setSince(since);
        await<capnp::Response<Schema::Peer::FetchConfigurationResults>>(key, request.send(), completion, read);
    };
    addRequest({ .fail = fail, .start = start });
}

void PeerLink::Private::drainTarget(const ServiceName& service, bool isDrained, DrainCompletion&& completion)
{
    uint64_t key = m_nextRequest;
    auto fail = [this, completion](PeerError ec) { postCallback([completion, ec] { completion(ec); }); };
    auto start = [this, key, service, isDrained, completion] {
        auto request = m_remote->drainTargetRequest();
        request.setService(service.text.c_str());
        request.setIsDrained(isDrained);
        auto read = [](capnp::Response<Schema::Peer::DrainTargetResults>& response) -> Result<bool, PeerError> {
            return response.getIsKnown();
        };
        await<capnp::Response<Schema::Peer::DrainTargetResults>>(key, request.send(), completion, read);
    };
    addRequest({ .fail = fail, .start = start });
}

PeerLink::PeerLink(EventLoop& loop, NodeId self, PeerAddress address, PeerLinkOptions options, PeerLinkEvents events)
    : m_private(std::make_shared<Private>(loop, self, std::move(address), options, std::move(events)))
{
    m_private->connect();
}

PeerLink::~PeerLink()
{
    m_private->cancelCallbacks();
    m_private->closeWithoutEvents();
    m_private->closeLater(PeerError::Closed);
}

void PeerLink::send(CallRequest request, CallCompletion completion)
{
    m_private->send(std::move(request), std::move(completion));
}

void PeerLink::cancel(const CallCancel& cancelled) { m_private->cancel(cancelled); }

void PeerLink::query(const CallQuery& query, QueryCompletion completion)
{
    m_private->query(query, std::move(completion));
}

void PeerLink::fetchConfiguration(uint64_t since, ConfigurationCompletion completion)
{
    m_private->fetchConfiguration(since, std::move(completion));
}

void PeerLink::drainTarget(const ServiceName& service, bool isDrained, DrainCompletion completion)
{
    m_private->drainTarget(service, isDrained, std::move(completion));
}

void PeerLink::close(PeerError reason) { m_private->closeLater(reason); }

bool PeerLink::isOpen() const { return m_private->isOpen(); }

bool PeerLink::isClosed() const { return m_private->isClosed(); }

NodeId PeerLink::peer() const { return m_private->peer(); }

size_t PeerLink::outstanding() const { return m_private->outstanding(); }

uint64_t PeerLink::bytesRead() const { return m_private->bytesRead(); }

uint64_t PeerLink::bytesWritten() const { return m_private->bytesWritten(); }

} // namespace Berylport
