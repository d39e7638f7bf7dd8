// Client for one target on evhttp, with the framing checks behind it.
#include "Http/TargetClient.h"

#include "Http/EventPointers.h"
#include "Http/HttpSyntax.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <functional>
#include <list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace Berylport {

namespace {

// evhttp's own timeouts are set beyond any of ours, so that only ours act.
constexpr int evhttpTimeoutSeconds = 24 * 3600;

// Answers to other requests that are skipped before the connection is given up.
constexpr uint32_t maxForeignAnswers = 4;

// Tags that a connection remembers, newest first.
constexpr size_t maxTags = 256;

// What evhttp reads in place of a whole answer.
constexpr std::string_view placeholder = "HTTP/1.1 204 No Content\r\n\r\n";

struct EvhttpConnectionDeleter {
    void operator()(evhttp_connection* it) const { evhttp_connection_free(it); }
};

struct MethodCommand {
    std::string_view method;
    evhttp_cmd_type command;
};

constexpr std::array<MethodCommand, 7> methodCommands {
    MethodCommand { "GET", EVHTTP_REQ_GET },
    { "HEAD", EVHTTP_REQ_HEAD },
    { "POST", EVHTTP_REQ_POST },
    { "PUT", EVHTTP_REQ_PUT },
    { "DELETE", EVHTTP_REQ_DELETE },
    { "OPTIONS", EVHTTP_REQ_OPTIONS },
    { "PATCH", EVHTTP_REQ_PATCH },
};

std::optional<evhttp_cmd_type> commandOf(std::string_view method)
{
    auto it = std::ranges::find(methodCommands, method, &MethodCommand::method);
    return it == methodCommands.end() ? std::nullopt : std::optional(it->command);
}

bool isSendable(const HttpRequest& request)
{
    if (!commandOf(request.method) || !isRequestTarget(request.target))
        return false;
    // A target that reads no body for these methods would take it for the next request.
    if (!request.body.empty() && !needsLength(request.method))
        return false;
    return std::ranges::all_of(request.headers, isValidHeader);
}

// A request that waits long for its answer sends nothing itself. Probes show a connection that has gone silent within
// keepAliveIdle + keepAliveCount * keepAliveInterval seconds.
constexpr int keepAliveIdle = 1;
constexpr int keepAliveInterval = 1;
constexpr int keepAliveCount = 2;

void probeSilentPeer(evutil_socket_t fd)
{
    if (fd < 0)
        return;
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdle, sizeof(keepAliveIdle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveInterval, sizeof(keepAliveInterval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveCount, sizeof(keepAliveCount));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

LossReason lossOf(ParseFault fault)
{
    return fault == ParseFault::BodyTooLarge || fault == ParseFault::HeadTooLarge ? LossReason::AnswerTooLarge
                                                                                  : LossReason::AnswerMalformed;
}

} // namespace

// One connection to the target; carries at most one request at a time.
class TargetConnection {
public:
    TargetConnection(TargetClient::State&, const Endpoint&);
    ~TargetConnection();
    TargetConnection(const TargetConnection&) = delete;
    TargetConnection& operator=(const TargetConnection&) = delete;

    void start(std::shared_ptr<TargetCall>);
    bool isIdle() const { return m_phase == Phase::Idle; }
    bool isRetired() const { return m_phase == Phase::Retired; }
    // Idle, not for longer than this, and the target has neither closed it nor sent anything.
    bool isUsable(Instant now, Duration maxIdle) const;
    bool hasCarried(std::string_view tag) const;
    Instant idleSince() const { return m_idleSince; }
    bool isConnected() const { return m_isConnected; }
    size_t heldBytes() const { return m_heldBytes; }
    // Of all requests of the client.
    uint64_t requestNumber() const { return m_requestNumber; }
    bool isBusy() const { return m_phase == Phase::Busy; }
    // While paused, what the target sends stays in the kernel.
    void pauseReading(bool isPaused);
    bool hasSentBytes() const { return m_hasSentBytes; }
    // Stops all traffic at once; the object is deleted in a later turn of the loop.
    void retire();

private:
    enum class Phase : uint8_t {
        // Kept, without a request.
        Idle,
        Busy,
        // The answer is whole and has been handed over; evhttp is still to read the placeholder.
        Answered,
        // Not used any more.
        Retired,
    };

    static void handleInput(evbuffer*, const evbuffer_cb_info*, void*);
    static void handleOutput(evbuffer*, const evbuffer_cb_info*, void*);
    static void handleDone(evhttp_request*, void*);
    static void handleClosed(evhttp_connection*, void*);
    static void handleEnd(bufferevent*, short events, void*);

    void readAnswer(evbuffer*);
    void updateHeldBytes();
    void deliver(evbuffer*, bool hasTrailingBytes);
    void placeAnswer(evbuffer*);
    void handleFailure();
    void finish(SendResult);
    void addHeaders(evhttp_request*, HttpRequest&) const;

    TargetClient::State& m_client;
    std::unique_ptr<evhttp_connection, EvhttpConnectionDeleter> m_evhttp;
    bufferevent* m_bufferevent;
    evbuffer_cb_entry* m_inputCallback;
    evbuffer_cb_entry* m_outputCallback;
    ResponseParser m_parser;
    Phase m_phase { Phase::Idle };
    // Set while the phase is Busy.
    std::shared_ptr<TargetCall> m_call;
    Instant m_idleSince;
    bool m_isConnected { false };
    bool m_hasSentBytes { false };
    bool m_isPaused { false };
    // Of the answer under way, as counted in the client's total.
    size_t m_heldBytes { 0 };
    uint64_t m_requestNumber { 0 };
    // Requests that this connection has carried, the present one included.
    uint64_t m_requests { 0 };
    // Hashes of the tags of the requests that it has carried, at most maxTags.
    std::deque<size_t> m_tags;
    // Answers to other requests that were skipped during this one.
    uint32_t m_foreignAnswers { 0 };
    // The answer under way ends with the connection.
    bool m_isAwaitingEnd { false };
    // Set while this object changes the input buffer, whose callback must then do nothing.
    bool m_isPlacing { false };
};

// One request given to the client. Alive until its result has been delivered or it is cancelled.
struct TargetCall {
    TargetClient::State* client { nullptr };
    HttpRequest request;
    SendOptions options;
    TargetClient::Done done;
    // Null before it starts and once its outcome is known.
    TargetConnection* connection { nullptr };
    // Known and to be delivered.
    std::optional<SendResult> result;
    TimerPointer timer;
    std::list<std::shared_ptr<TargetCall>>::iterator place;
    Instant connectDeadline;
};

struct TargetClient::State {
    event_base* base;
    Endpoint endpoint;
    TargetClientOptions options;
    std::list<std::unique_ptr<TargetConnection>> connections;
    std::list<std::shared_ptr<TargetCall>> calls;
    std::deque<std::weak_ptr<TargetCall>> finished;
    // Of all connections.
    size_t heldBytes { 0 };
    uint64_t lastRequest { 0 };
    // Connections are paused for what they hold.
    bool isReadingLimited { false };
    // Runs the deliveries and deletions that must not happen inside evhttp's functions.
    TimerPointer wake;
    TimerPointer idleTimer;

    TargetConnection* chooseConnection(const SendOptions&);
    void limitReading();
    void startCall(const std::shared_ptr<TargetCall>&);
    void finish(TargetCall&, SendResult);
    void deliverFinished();
    void deleteRetired();
    void closeStale();
    void handleCallTimer(TargetCall&);
    size_t activeCount() const
    {
        return static_cast<size_t>(std::ranges::count_if(connections, [](auto& it) { return !it->isRetired(); }));
    }
};

TargetConnection::TargetConnection(TargetClient::State& client, const Endpoint& endpoint)
    : m_client(client)
    , m_evhttp(evhttp_connection_base_new(client.base, nullptr, endpoint.address.c_str(), endpoint.port))
    , m_bufferevent(evhttp_connection_get_bufferevent(m_evhttp.get()))
    , m_inputCallback(evbuffer_add_cb(bufferevent_get_input(m_bufferevent), handleInput, this))
    , m_outputCallback(evbuffer_add_cb(bufferevent_get_output(m_bufferevent), handleOutput, this))
    , m_parser(client.options.limits)
{
    evhttp_connection_set_retries(m_evhttp.get(), 0);
    evhttp_connection_set_timeout(m_evhttp.get(), evhttpTimeoutSeconds);
    evhttp_connection_set_closecb(m_evhttp.get(), handleClosed, this);
    bufferevent_setwatermark(m_bufferevent, EV_READ, 1, 0);
}

TargetConnection::~TargetConnection()
{
    m_phase = Phase::Retired;
    m_client.heldBytes -= std::exchange(m_heldBytes, 0);
    evhttp_connection_set_closecb(m_evhttp.get(), nullptr, nullptr);
    evbuffer_remove_cb_entry(bufferevent_get_input(m_bufferevent), m_inputCallback);
    evbuffer_remove_cb_entry(bufferevent_get_output(m_bufferevent), m_outputCallback);
}

void TargetConnection::addHeaders(evhttp_request* message, HttpRequest& request) const
{
    auto* headers = evhttp_request_get_output_headers(message);
    removeHopByHopHeaders(request.headers);
    removeHeader(request.headers, "Content-Length");
    if (!findHeader(request.headers, "Host"))
        evhttp_add_header(headers, "Host", toText(m_client.endpoint).c_str());
    for (auto& it : request.headers)
        evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    if (needsLength(request.method))
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
}

void TargetConnection::start(std::shared_ptr<TargetCall> call)
{
    m_phase = Phase::Busy;
    m_hasSentBytes = false;
    m_foreignAnswers = 0;
    m_isPaused = false;
    m_requestNumber = ++m_client.lastRequest;
    ++m_requests;
    m_call = std::move(call);
    m_call->connection = this;
    auto& request = m_call->request;
    if (!m_call->options.tag.empty()) {
        m_tags.push_front(std::hash<std::string_view>()(m_call->options.tag));
        m_tags.resize(std::min(m_tags.size(), maxTags));
    }
    m_parser.expectAnswerTo(request.method);
    auto* message = evhttp_request_new(handleDone, this);
    addHeaders(message, request);
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    // A failure may be reported within this call, by handleDone.
    if (evhttp_make_request(m_evhttp.get(), message, *commandOf(request.method), request.target.c_str()))
        handleFailure();
    else if (m_client.options.detectsDeadPeer)
        probeSilentPeer(bufferevent_getfd(m_bufferevent));
}

void TargetConnection::pauseReading(bool isPaused)
{
    if (m_phase != Phase::Busy)
        return;
    // evhttp begins to read by itself once the request is written, so a paused connection may have to be paused again.
    if (isPaused)
        bufferevent_disable(m_bufferevent, EV_READ);
    else if (m_isPaused)
        bufferevent_enable(m_bufferevent, EV_READ);
    m_isPaused = isPaused;
}

void TargetConnection::updateHeldBytes()
{
    size_t held = m_phase == Phase::Busy ? m_parser.heldBytes() : 0;
    m_client.heldBytes += held - std::exchange(m_heldBytes, held);
}

bool TargetConnection::hasCarried(std::string_view tag) const
{
    return !tag.empty() && std::ranges::find(m_tags, std::hash<std::string_view>()(tag)) != m_tags.end();
}

bool TargetConnection::isUsable(Instant now, Duration maxIdle) const
{
    if (!isIdle() || now - m_idleSince > maxIdle)
        return false;
    char c;
    auto n = recv(bufferevent_getfd(m_bufferevent), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && errno == EAGAIN;
}

void TargetConnection::retire()
{
    if (m_phase == Phase::Retired)
        return;
    m_phase = Phase::Retired;
    if (m_call)
        m_call->connection = nullptr;
    m_call.reset();
    updateHeldBytes();
    bufferevent_disable(m_bufferevent, EV_READ | EV_WRITE);
    event_active(m_client.wake.get(), 0, 0);
}

void TargetConnection::handleInput(evbuffer* input, const evbuffer_cb_info* info, void* argument)
{
    auto* self = static_cast<TargetConnection*>(argument);
    if (!self->m_isPlacing && info->n_added && self->m_phase != Phase::Retired)
        self->readAnswer(input);
}

void TargetConnection::readAnswer(evbuffer* input)
{
    // Bytes that belong to no request.
    if (m_phase != Phase::Busy) {
        retire();
        return;
    }
    while (m_phase == Phase::Busy && evbuffer_get_length(input)) {
        evbuffer_iovec span;
        evbuffer_peek(input, -1, nullptr, &span, 1);
        auto n = m_parser.feed({ static_cast<const char*>(span.iov_base), span.iov_len });
        m_isPlacing = true;
        evbuffer_drain(input, n);
        m_isPlacing = false;
        if (m_parser.state() == MessageParser::State::Faulty) {
            finish(Lost { lossOf(m_parser.fault()) });
            retire();
            return;
        }
        if (m_parser.state() == MessageParser::State::Whole)
            deliver(input, evbuffer_get_length(input));
    }
    updateHeldBytes();
    m_client.limitReading();
    if (m_phase == Phase::Busy && m_parser.endsWithConnection() && !m_isAwaitingEnd) {
        m_isAwaitingEnd = true;
        // evhttp reports an orderly end and a reset alike, so from here on it does not hear of this connection.
        bufferevent_setcb(m_bufferevent, nullptr, nullptr, handleEnd, this);
    }
}

void TargetConnection::handleEnd(bufferevent*, short events, void* argument)
{
    auto* self = static_cast<TargetConnection*>(argument);
    if (self->m_phase != Phase::Busy)
        return;
    bool isOrderly = (events & BEV_EVENT_EOF) && !(events & BEV_EVENT_ERROR);
    if (!isOrderly) {
        self->handleFailure();
        return;
    }
    self->m_parser.connectionEnded();
    self->deliver(bufferevent_get_input(self->m_bufferevent), false);
}

void TargetConnection::deliver(evbuffer* input, bool hasTrailingBytes)
{
    // An answer that came before the whole request was written leaves the rest of the request on the connection.
    bool isWritten = !evbuffer_get_length(bufferevent_get_output(m_bufferevent));
    bool isReusable = m_parser.isKeptAlive() && !hasTrailingBytes && isWritten;
    auto response = m_parser.take();
    auto& ownerOf = m_call->options.ownerOf;
    auto owner = ownerOf ? ownerOf(response) : AnswerOwner::Own;
    bool isUncertain = owner == AnswerOwner::Unnamed && m_requests > 1;
    bool isFlooded = owner == AnswerOwner::Other && ++m_foreignAnswers > maxForeignAnswers;
    if (isUncertain || isFlooded) {
        finish(Lost { LossReason::AnswerMalformed });
        retire();
        return;
    }
    if (owner == AnswerOwner::Other) {
        m_parser.expectAnswerTo(m_call->request.method);
        return;
    }
    finish(std::move(response));
    if (!isReusable || owner == AnswerOwner::Unnamed) {
        retire();
        return;
    }
    m_phase = Phase::Answered;
    updateHeldBytes();
    placeAnswer(input);
}

void TargetConnection::placeAnswer(evbuffer* input)
{
    m_isPlacing = true;
    // A bufferevent keeps the end of its input closed to others than itself.
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, placeholder.data(), placeholder.size());
    evbuffer_freeze(input, 0);
    m_isPlacing = false;
}

// The first bytes are added once the connection is made; bytes are removed when the kernel has taken them. evhttp also
// empties the buffer after a failure, which then counts as sent: the outcome is reported as unknown, never wrongly as
// not sent.
void TargetConnection::handleOutput(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    auto* self = static_cast<TargetConnection*>(argument);
    self->m_isConnected = self->m_isConnected || info->n_added;
    self->m_hasSentBytes = self->m_hasSentBytes || info->n_deleted;
}

// evhttp has read the placeholder, or the connection has failed.
void TargetConnection::handleDone(evhttp_request* message, void* argument)
{
    auto* self = static_cast<TargetConnection*>(argument);
    if (self->m_phase == Phase::Retired)
        return;
    bool hasRead = message && evhttp_request_get_response_code(message) == 204;
    if (self->m_phase == Phase::Answered && hasRead) {
        self->m_phase = Phase::Idle;
        self->m_idleSince = steadyNow();
        return;
    }
    self->handleFailure();
}

void TargetConnection::handleFailure()
{
    if (m_phase == Phase::Busy) {
        if (m_hasSentBytes)
            finish(Lost { LossReason::TargetClosed });
        else
            finish(NotSent { NotSentReason::ConnectFailed });
    }
    retire();
}

void TargetConnection::handleClosed(evhttp_connection*, void* argument)
{
    auto* self = static_cast<TargetConnection*>(argument);
    // While a request is under way evhttp reports the failure through handleDone.
    if (self->m_phase != Phase::Busy)
        self->retire();
}

void TargetConnection::finish(SendResult result)
{
    auto call = std::exchange(m_call, nullptr);
    call->connection = nullptr;
    m_client.finish(*call, std::move(result));
}

// Connections are taken in the order of their last use, the freshest first, so that unneeded ones become stale.
TargetConnection* TargetClient::State::chooseConnection(const SendOptions& request)
{
    auto now = steadyNow();
    auto maxIdle = request.isIdempotent ? options.idleTime : std::min(options.freshTime, options.idleTime);
    TargetConnection* best = nullptr;
    TargetConnection* oldest = nullptr;
    for (auto& it : connections) {
        if (!it->isIdle())
            continue;
        bool isNewest = !best || it->idleSince() > best->idleSince();
        if (isNewest && !it->hasCarried(request.tag))
            best = it.get();
        if (!oldest || it->idleSince() < oldest->idleSince())
            oldest = it.get();
    }
    if (best && best->isUsable(now, maxIdle))
        return best;
    if (activeCount() >= options.maxConnections) {
        if (!oldest)
            return nullptr;
        oldest->retire();
    }
    // Retired connections still have an open socket until they are deleted.
    deleteRetired();
    return connections.emplace_back(std::make_unique<TargetConnection>(*this, endpoint)).get();
}

void TargetClient::State::limitReading()
{
    bool isLimited = options.maximumHeldBytes && heldBytes > options.maximumHeldBytes;
    if (!isLimited && !isReadingLimited)
        return;
    isReadingLimited = isLimited;
    TargetConnection* oldest = nullptr;
    for (auto& it : connections) {
        if (it->isBusy() && (!oldest || it->requestNumber() < oldest->requestNumber()))
            oldest = it.get();
    }
    for (auto& it : connections)
        it->pauseReading(isLimited && it.get() != oldest);
}

void TargetClient::State::startCall(const std::shared_ptr<TargetCall>& call)
{
    auto now = steadyNow();
    if (!isSendable(call->request)) {
        finish(*call, NotSent { NotSentReason::InvalidRequest });
        return;
    }
    if (call->options.deadline <= now) {
        finish(*call, NotSent { NotSentReason::DeadlinePassed });
        return;
    }
    auto* connection = chooseConnection(call->options);
    if (!connection) {
        finish(*call, NotSent { NotSentReason::PoolFull });
        return;
    }
    call->connectDeadline = now + options.connectTime;
    auto first
        = connection->isConnected() ? call->options.deadline : std::min(call->options.deadline, call->connectDeadline);
    startTimer(call->timer.get(), first - now);
    connection->start(call);
}

void TargetClient::State::handleCallTimer(TargetCall& call)
{
    auto* connection = call.connection;
    if (!connection)
        return;
    auto now = steadyNow();
    if (now < call.options.deadline && connection->isConnected()) {
        startTimer(call.timer.get(), call.options.deadline - now);
        return;
    }
    SendResult result = Lost { LossReason::TargetTimeout };
    if (!connection->hasSentBytes()) {
        auto reason = now < call.options.deadline ? NotSentReason::ConnectTimeout : NotSentReason::DeadlinePassed;
        result = NotSent { reason };
    }
    connection->retire();
    deleteRetired();
    finish(call, std::move(result));
}

void TargetClient::State::finish(TargetCall& call, SendResult result)
{
    event_del(call.timer.get());
    call.result = std::move(result);
    finished.emplace_back(*call.place);
    event_active(wake.get(), 0, 0);
}

// Deletes connections outside evhttp's functions.
void TargetClient::State::deleteRetired()
{
    std::erase_if(connections, [](auto& it) { return it->isRetired(); });
    limitReading();
}

void TargetClient::State::deliverFinished()
{
    // Answers that have ended hold nothing here any more, whether or not their connections are kept.
    deleteRetired();
    // A function may send or cancel; what it finishes is delivered in the next turn.
    for (auto n = finished.size(); n; --n) {
        auto call = finished.front().lock();
        finished.pop_front();
        if (!call)
            continue;
        calls.erase(call->place);
        call->client = nullptr;
        auto done = std::move(call->done);
        done(std::move(*call->result));
    }
}

void TargetClient::State::closeStale()
{
    auto now = steadyNow();
    for (auto& it : connections) {
        if (it->isIdle() && now - it->idleSince() > options.idleTime)
            it->retire();
    }
    deleteRetired();
    startTimer(idleTimer.get(), options.idleTime);
}

bool SendHandle::cancel()
{
    auto call = m_call.lock();
    if (!call || !call->client)
        return false;
    auto& client = *std::exchange(call->client, nullptr);
    bool isUnsent = call->connection && !call->connection->hasSentBytes();
    if (call->result)
        isUnsent = std::holds_alternative<NotSent>(*call->result);
    client.calls.erase(call->place);
    if (call->connection) {
        call->connection->retire();
        client.deleteRetired();
    }
    return isUnsent;
}

TargetClient::TargetClient(event_base* base, Endpoint endpoint, TargetClientOptions options)
    : m_state(std::make_unique<State>())
{
    auto& state = *m_state;
    state.base = base;
    state.endpoint = std::move(endpoint);
    state.options = options;
    state.wake.reset(event_new(
        base, -1, 0, [](evutil_socket_t, short, void* it) { static_cast<State*>(it)->deliverFinished(); }, &state));
    state.idleTimer.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* it) { static_cast<State*>(it)->closeStale(); }, &state));
    startTimer(state.idleTimer.get(), options.idleTime);
}

TargetClient::~TargetClient()
{
    for (auto& it : m_state->calls)
        it->client = nullptr;
    m_state->connections.clear();
}

SendHandle TargetClient::send(HttpRequest request, SendOptions options, Done done)
{
    auto call = std::make_shared<TargetCall>();
    call->client = m_state.get();
    call->request = std::move(request);
    call->options = options;
    call->done = std::move(done);
    call->place = m_state->calls.insert(m_state->calls.end(), call);
    call->timer.reset(evtimer_new(
        m_state->base,
        [](evutil_socket_t, short, void* it) {
            auto& expired = *static_cast<TargetCall*>(it);
            if (expired.client)
                expired.client->handleCallTimer(expired);
        },
        call.get()));
    m_state->startCall(call);
    return SendHandle(call);
}

size_t TargetClient::connectionCount() const { return m_state->activeCount(); }

size_t TargetClient::heldBytes() const { return m_state->heldBytes; }

size_t TargetClient::idleConnectionCount() const
{
    return static_cast<size_t>(std::ranges::count_if(m_state->connections, [](auto& it) { return it->isIdle(); }));
}

} // namespace Berylport
