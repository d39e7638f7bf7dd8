// Server for callers on evhttp, with the framing checks in front of it.
#include "Http/HttpServer.h"

#include "Http/EventPointers.h"
#include "Http/HttpSyntax.h"

#include <array>
#include <cerrno>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <list>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace Berylport {

namespace {

// While a request is handled, this much of the caller's next requests is read to notice when the caller goes.
// A caller that sends more is not watched until its answer has been sent.
constexpr size_t maxBytesAhead = 64 * 1024;
// One read of the watch on the caller.
constexpr size_t watchReadBytes = 4096;
// evhttp's own timeouts are set beyond any of ours, so that only ours act.
constexpr int evhttpTimeoutSeconds = 24 * 3600;

constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
// What evhttp reads in place of a request: it marks the place of the answer and nothing else.
constexpr std::string_view placeholder = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view headPlaceholder = "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n";

struct EvhttpDeleter {
    void operator()(evhttp* it) const { evhttp_free(it); }
};

// Reads and drops what a caller still sends on a connection whose answer has been sent.
class LingeringSocket {
public:
    LingeringSocket(event_base* base, evutil_socket_t fd, Duration time, std::function<void()> onEnd)
        : m_fd(fd)
        , m_onEnd(std::move(onEnd))
        , m_event(event_new(base, fd, EV_READ | EV_PERSIST, handleRead, this))
        , m_timer(evtimer_new(base, handleTimer, this))
    {
        event_add(m_event.get(), nullptr);
        startTimer(m_timer.get(), time);
    }
    ~LingeringSocket()
    {
        m_event.reset();
        evutil_closesocket(m_fd);
    }
    LingeringSocket(const LingeringSocket&) = delete;
    LingeringSocket& operator=(const LingeringSocket&) = delete;

private:
    static void handleRead(evutil_socket_t fd, short, void* argument)
    {
        std::array<char, 16 * 1024> buf;
        auto n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        if (!n || (n < 0 && errno != EAGAIN && errno != EINTR))
            static_cast<LingeringSocket*>(argument)->end();
    }
    static void handleTimer(evutil_socket_t, short, void* argument) { static_cast<LingeringSocket*>(argument)->end(); }

    // The function deletes this object.
    void end()
    {
        auto onEnd = std::move(m_onEnd);
        onEnd();
    }

    evutil_socket_t m_fd;
    std::function<void()> m_onEnd;
    TimerPointer m_event;
    TimerPointer m_timer;
};

HttpResponse makeRefusal(uint16_t status, std::string_view reason)
{
    HttpResponse response { .status = status, .reason = {}, .headers = {}, .body = std::string(reason) + "\n" };
    setHeader(response.headers, "Content-Type", "text/plain");
    setHeader(response.headers, "Berylport-Outcome", "not-run");
    setHeader(response.headers, "Berylport-Reason", reason);
    return response;
}

HttpResponse makeUnansweredResponse()
{
    HttpResponse response { .status = 500, .reason = {}, .headers = {}, .body = "no answer\n" };
    setHeader(response.headers, "Content-Type", "text/plain");
    setHeader(response.headers, "Berylport-Outcome", "may-have-run");
    setHeader(response.headers, "Berylport-Reason", "unanswered");
    return response;
}

bool hasNoBody(uint16_t status) { return status == 204 || status == 304; }

} // namespace

struct HttpServer::State {
    event_base* base;
    Handler handler;
    HttpServerOptions options;
    std::unique_ptr<evhttp, EvhttpDeleter> http;
    evhttp_bound_socket* bound { nullptr };
    bool isDraining { false };
    bool isClosing { false };
    std::list<std::unique_ptr<HttpConnection>> connections;
    std::unordered_map<evhttp_connection*, HttpConnection*> adopted;
    std::list<std::unique_ptr<LingeringSocket>> lingering;

    void linger(evutil_socket_t);
    void updateListener();
    size_t connectionLimit() const { return size_t(options.maxConnections) + options.maxRefusedConnections; }
};

// One request that the handler has and the connection that waits for the answer, null when there is none.
class HttpExchange {
public:
    explicit HttpExchange(HttpConnection* connection)
        : m_connection(connection)
    {
    }
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    void answer(HttpResponse);
    bool isOpen() const { return m_connection; }
    void setGoneFunction(std::function<void()> function) { m_onGone = std::move(function); }
    // Ends the exchange without an answer.
    std::function<void()> detach()
    {
        m_connection = nullptr;
        return std::exchange(m_onGone, nullptr);
    }

private:
    HttpConnection* m_connection;
    std::function<void()> m_onGone;
};

// One caller's connection. At most one request is between its first byte and the last byte of its answer in evhttp;
// what the caller sends ahead waits unparsed.
class HttpConnection {
public:
    HttpConnection(HttpServer::State&, bufferevent*, bool isRefused);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    // evhttp has read the placeholder and wants the answer.
    void handlePlaceholder(evhttp_request*);
    void answer(HttpResponse);
    void closeIfIdle();

private:
    enum class Phase : uint8_t {
        // No byte of a request has come.
        Idle,
        Head,
        Body,
        // The placeholder is on its way through evhttp.
        Placed,
        // The handler has the request.
        Handling,
        // evhttp writes the answer.
        Writing,
    };

    static void handleInput(evbuffer*, const evbuffer_cb_info*, void*);
    static void handleCallerReadable(evutil_socket_t, short, void*);
    static void handleTimer(evutil_socket_t, short, void*);
    static void handleSent(evhttp_request*, void*);
    static void handleClosed(evhttp_connection*, void*);

    void adopt();
    void takeInput();
    void parse();
    void sendContinue();
    void refuse(uint16_t status, std::string_view reason);
    void place(std::string_view);
    void setPhase(Phase);
    void timeOut();
    void watchCaller();
    void readAhead();
    void prepareNext();
    void close();
    bool isReading() const { return m_phase <= Phase::Body; }
    evutil_socket_t descriptor() const { return bufferevent_getfd(m_bufferevent); }

    HttpServer::State& m_server;
    // Holds a reference, because evhttp may free its own before this object has learnt of the connection.
    bufferevent* m_bufferevent;
    // Null until evhttp has set up the connection.
    evhttp_connection* m_evhttpConnection { nullptr };
    evbuffer_cb_entry* m_inputCallback;
    BufferPointer m_raw { evbuffer_new() };
    RequestParser m_parser;
    Phase m_phase { Phase::Idle };
    TimerPointer m_timer;
    TimerPointer m_callerEvent;
    // Set while the phase is Placed.
    std::optional<HttpRequest> m_request;
    std::optional<HttpResponse> m_refusal;
    size_t m_placedBytes { 0 };
    bool m_isHead { false };
    bool m_closesAfterAnswer { false };
    // Set while the input buffer is changed by this object, whose callback must then do nothing.
    bool m_isPlacing { false };
    // Set while the phase is Handling or Writing.
    evhttp_request* m_evhttpRequest { nullptr };
    // Weak, so that an exchange which the handler drops is answered.
    std::weak_ptr<HttpExchange> m_exchange;
    size_t m_unsentBytes { 0 };
};

HttpExchange::~HttpExchange()
{
    if (m_connection)
        answer(makeUnansweredResponse());
}

void HttpExchange::answer(HttpResponse response)
{
    m_onGone = nullptr;
    if (auto* connection = std::exchange(m_connection, nullptr))
        connection->answer(std::move(response));
}

void Responder::answer(HttpResponse response) const { m_exchange->answer(std::move(response)); }

bool Responder::isOpen() const { return m_exchange->isOpen(); }

void Responder::onCallerGone(std::function<void()> function) const { m_exchange->setGoneFunction(std::move(function)); }

HttpConnection::HttpConnection(HttpServer::State& server, bufferevent* it, bool isRefused)
    : m_server(server)
    , m_bufferevent(it)
    , m_inputCallback(evbuffer_add_cb(bufferevent_get_input(it), handleInput, this))
    , m_parser(server.options.limits)
    , m_timer(evtimer_new(server.base, handleTimer, this))
{
    bufferevent_incref(it);
    // evhttp's read function must not run when its input is empty after the callback took all bytes.
    bufferevent_setwatermark(it, EV_READ, 1, 0);
    if (isRefused)
        m_refusal = makeRefusal(503, "too-many-connections");
    // The first turn after evhttp has set up the connection.
    startTimer(m_timer.get(), Duration::zero());
}

HttpConnection::~HttpConnection()
{
    evbuffer_remove_cb_entry(bufferevent_get_input(m_bufferevent), m_inputCallback);
    bufferevent_decref(m_bufferevent);
}

// Finds evhttp's connection: evhttp names it to its own users only once a request has come.
void HttpConnection::adopt()
{
    if (m_evhttpConnection)
        return;
    void* argument = nullptr;
    bufferevent_getcb(m_bufferevent, nullptr, nullptr, nullptr, &argument);
    m_evhttpConnection = static_cast<evhttp_connection*>(argument);
    if (!m_evhttpConnection)
        return;
    m_server.adopted.emplace(m_evhttpConnection, this);
    evhttp_connection_set_closecb(m_evhttpConnection, handleClosed, this);
    setPhase(Phase::Idle);
}

void HttpConnection::handleInput(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    if (self->m_isPlacing || !info->n_added)
        return;
    self->adopt();
    self->takeInput();
    self->parse();
}

// A placeholder that evhttp has not read yet stays in front.
void HttpConnection::takeInput()
{
    auto* input = bufferevent_get_input(m_bufferevent);
    BufferPointer kept(evbuffer_new());
    m_isPlacing = true;
    if (m_phase == Phase::Placed)
        evbuffer_remove_buffer(input, kept.get(), m_placedBytes);
    evbuffer_add_buffer(m_raw.get(), input);
    evbuffer_add_buffer(input, kept.get());
    m_isPlacing = false;
}

// Parses up to the end of one request; the rest waits until that one is answered.
void HttpConnection::parse()
{
    if (m_refusal && isReading()) {
        place(placeholder);
        return;
    }
    while (isReading() && evbuffer_get_length(m_raw.get())) {
        evbuffer_iovec span;
        evbuffer_peek(m_raw.get(), -1, nullptr, &span, 1);
        auto n = m_parser.feed({ static_cast<const char*>(span.iov_base), span.iov_len });
        evbuffer_drain(m_raw.get(), n);
        switch (m_parser.state()) {
        case MessageParser::State::Head:
            if (m_parser.hasBegun() && m_phase == Phase::Idle)
                setPhase(Phase::Head);
            break;
        case MessageParser::State::Body:
            if (m_phase != Phase::Body)
                setPhase(Phase::Body);
            break;
        case MessageParser::State::Whole:
            m_isHead = m_parser.isHead();
            m_closesAfterAnswer = !m_parser.isKeptAlive();
            m_request = m_parser.take();
            place(m_isHead ? headPlaceholder : placeholder);
            return;
        case MessageParser::State::Faulty:
            refuse(statusOf(m_parser.fault()), toText(m_parser.fault()));
            return;
        }
    }
    if (m_phase == Phase::Body && m_parser.expectsContinue())
        sendContinue();
}

// Written past evhttp, whose write function would take it for the end of an answer. No answer is being written now.
// When the socket's buffer is full nothing is sent, and the caller sends the body after its own waiting time.
void HttpConnection::sendContinue()
{
    m_parser.clearExpectation();
    [[maybe_unused]] auto n = send(descriptor(), continueLine.data(), continueLine.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void HttpConnection::refuse(uint16_t status, std::string_view reason)
{
    m_refusal = makeRefusal(status, reason);
    m_isHead = false;
    place(placeholder);
}

void HttpConnection::place(std::string_view text)
{
    setPhase(Phase::Placed);
    auto* input = bufferevent_get_input(m_bufferevent);
    m_isPlacing = true;
    // A bufferevent keeps the end of its input closed to others than itself.
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, text.data(), text.size());
    m_placedBytes = text.size();
    evbuffer_freeze(input, 0);
    m_isPlacing = false;
}

void HttpConnection::setPhase(Phase phase)
{
    m_phase = phase;
    auto& options = m_server.options;
    switch (phase) {
    case Phase::Idle:
        startTimer(m_timer.get(), options.idleTime);
        return;
    case Phase::Head:
        startTimer(m_timer.get(), options.headTime);
        return;
    case Phase::Body:
        startTimer(m_timer.get(), options.bodyTime);
        return;
    case Phase::Placed:
    case Phase::Handling:
        event_del(m_timer.get());
        return;
    case Phase::Writing:
        startTimer(m_timer.get(), options.writeTime);
        return;
    }
}

void HttpConnection::handleTimer(evutil_socket_t, short, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    if (self->m_evhttpConnection) {
        self->timeOut();
        return;
    }
    self->adopt();
    if (!self->m_evhttpConnection) {
        // evhttp gave the connection up before setting it up.
        std::erase_if(self->m_server.connections, [&](auto& it) { return it.get() == self; });
        return;
    }
    if (self->m_refusal) {
        self->place(placeholder);
        bufferevent_trigger(self->m_bufferevent, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
    }
}

void HttpConnection::timeOut()
{
    switch (m_phase) {
    case Phase::Head:
    case Phase::Body:
        refuse(408, m_phase == Phase::Head ? "header-timeout" : "body-timeout");
        bufferevent_trigger(m_bufferevent, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
        return;
    case Phase::Writing: {
        auto n = evbuffer_get_length(bufferevent_get_output(m_bufferevent));
        if (n < m_unsentBytes) {
            m_unsentBytes = n;
            setPhase(Phase::Writing);
            return;
        }
        close();
        return;
    }
    case Phase::Idle:
    case Phase::Placed:
    case Phase::Handling:
        close();
        return;
    }
}

void HttpConnection::handlePlaceholder(evhttp_request* request)
{
    m_evhttpRequest = request;
    evhttp_request_set_on_complete_cb(request, handleSent, this);
    setPhase(Phase::Handling);
    if (m_refusal) {
        m_closesAfterAnswer = true;
        answer(*std::exchange(m_refusal, std::nullopt));
        return;
    }
    watchCaller();
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(m_evhttpConnection, &address, &port);
    Endpoint peer { .address = address, .port = port };
    auto whole = std::move(*m_request);
    m_request.reset();
    auto exchange = std::make_shared<HttpExchange>(this);
    m_exchange = exchange;
    // The handler may close the connection and so delete this object.
    m_server.handler(std::move(whole), peer, Responder(std::move(exchange)));
}

void HttpConnection::answer(HttpResponse response)
{
    m_callerEvent.reset();
    m_closesAfterAnswer = m_closesAfterAnswer || m_server.isDraining;
    if (response.status < 200 || response.status > 599)
        response = makeUnansweredResponse();
    bool isBodyless = m_isHead || hasNoBody(response.status);
    auto length = findHeader(response.headers, "Content-Length").value_or("");
    auto statedLength = m_isHead && !response.body.empty() ? std::to_string(response.body.size()) : std::string(length);
    removeHopByHopHeaders(response.headers);
    removeHeader(response.headers, "Content-Length");
    auto* headers = evhttp_request_get_output_headers(m_evhttpRequest);
    for (auto& it : response.headers) {
        if (isValidHeader(it))
            evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
    }
    if (isBodyless && response.status != 204 && !statedLength.empty())
        evhttp_add_header(headers, "Content-Length", statedLength.c_str());
    if (m_closesAfterAnswer)
        evhttp_add_header(headers, "Connection", "close");
    auto reason = response.reason.empty() || !isHeaderValue(response.reason)
        ? std::string(defaultReason(response.status))
        : response.reason;
    BufferPointer body(evbuffer_new());
    if (!isBodyless)
        evbuffer_add(body.get(), response.body.data(), response.body.size());
    m_unsentBytes = SIZE_MAX;
    setPhase(Phase::Writing);
    evhttp_send_reply(m_evhttpRequest, response.status, reason.c_str(), body.get());
}

// evhttp has written the whole answer to the socket and closes the connection after this or reads the next request.
void HttpConnection::handleSent(evhttp_request*, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    self->m_evhttpRequest = nullptr;
    if (!self->m_closesAfterAnswer) {
        self->prepareNext();
        return;
    }
    event_del(self->m_timer.get());
    self->m_server.linger(dup(self->descriptor()));
}

void HttpConnection::prepareNext()
{
    setPhase(Phase::Idle);
    parse();
}

// Reading by evhttp is off while a request is handled, so a caller that goes would not be noticed.
void HttpConnection::watchCaller()
{
    m_callerEvent.reset(event_new(m_server.base, descriptor(), EV_READ | EV_PERSIST, handleCallerReadable, this));
    event_add(m_callerEvent.get(), nullptr);
}

void HttpConnection::handleCallerReadable(evutil_socket_t, short, void* argument)
{
    static_cast<HttpConnection*>(argument)->readAhead();
}

void HttpConnection::readAhead()
{
    std::array<char, watchReadBytes> buf;
    auto n = recv(descriptor(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) {
        evbuffer_add(m_raw.get(), buf.data(), static_cast<size_t>(n));
        if (evbuffer_get_length(m_raw.get()) > maxBytesAhead)
            event_del(m_callerEvent.get());
        return;
    }
    if (!n || (errno != EAGAIN && errno != EINTR))
        close();
}

void HttpConnection::closeIfIdle()
{
    if (m_evhttpConnection && m_phase == Phase::Idle)
        close();
}

// Ends in handleClosed, which deletes this object.
void HttpConnection::close() { evhttp_connection_free(m_evhttpConnection); }

void HttpConnection::handleClosed(evhttp_connection* evhttpConnection, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    auto& server = self->m_server;
    auto exchange = self->m_exchange.lock();
    auto onGone = exchange ? exchange->detach() : nullptr;
    server.adopted.erase(evhttpConnection);
    std::erase_if(server.connections, [&](auto& it) { return it.get() == self; });
    if (server.isClosing)
        return;
    server.updateListener();
    if (onGone)
        onGone();
}

void HttpServer::State::linger(evutil_socket_t fd)
{
    if (fd < 0)
        return;
    auto it = lingering.emplace(lingering.end());
    *it = std::make_unique<LingeringSocket>(base, fd, options.lingerTime, [this, it] {
        lingering.erase(it);
        updateListener();
    });
}

void HttpServer::State::updateListener()
{
    if (!bound)
        return;
    auto* listener = evhttp_bound_socket_get_listener(bound);
    if (connections.size() + lingering.size() < connectionLimit())
        evconnlistener_enable(listener);
    else
        evconnlistener_disable(listener);
}

HttpServer::HttpServer(event_base* base, Handler handler, HttpServerOptions options)
    : m_state(std::make_unique<State>())
{
    m_state->base = base;
    m_state->handler = std::move(handler);
    m_state->options = options;
    m_state->http.reset(evhttp_new(base));
    auto* http = m_state->http.get();
    evhttp_set_timeout(http, evhttpTimeoutSeconds);
    evhttp_set_default_content_type(http, nullptr);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
    evhttp_set_bevcb(
        http,
        [](event_base* loop, void* argument) {
            auto& state = *static_cast<State*>(argument);
            auto* it = bufferevent_socket_new(loop, -1, 0);
            bool isRefused = state.connections.size() >= state.options.maxConnections;
            state.connections.push_back(std::make_unique<HttpConnection>(state, it, isRefused));
            state.updateListener();
            return it;
        },
        m_state.get());
    evhttp_set_gencb(
        http,
        [](evhttp_request* request, void* argument) {
            auto& state = *static_cast<State*>(argument);
            auto it = state.adopted.find(evhttp_request_get_connection(request));
            if (it != state.adopted.end())
                it->second->handlePlaceholder(request);
        },
        m_state.get());
}

HttpServer::~HttpServer()
{
    m_state->isClosing = true;
    m_state->http.reset();
    m_state->connections.clear();
}

Result<Endpoint, HttpServerError> HttpServer::listen(const Endpoint& endpoint)
{
    in6_addr address;
    bool isAddress = evutil_inet_pton(AF_INET, endpoint.address.c_str(), &address) == 1
        || evutil_inet_pton(AF_INET6, endpoint.address.c_str(), &address) == 1;
    // Names are never resolved, and evhttp would resolve one.
    if (!isAddress)
        return failure(HttpServerError::InvalidAddress);
    auto* bound = evhttp_bind_socket_with_handle(m_state->http.get(), endpoint.address.c_str(), endpoint.port);
    if (!bound)
        return failure(HttpServerError::BindFailed);
    m_state->bound = bound;
    sockaddr_storage local {};
    socklen_t localLength = sizeof(local);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&local), &localLength);
    auto port = local.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&local)->sin6_port
                                            : reinterpret_cast<sockaddr_in*>(&local)->sin_port;
    return Endpoint { .address = endpoint.address, .port = ntohs(port) };
}

void HttpServer::stopListening()
{
    if (auto* bound = std::exchange(m_state->bound, nullptr))
        evhttp_del_accept_socket(m_state->http.get(), bound);
}

void HttpServer::setLimits(ParseLimits limits, Duration headTime, Duration idleTime)
{
    m_state->options.limits = limits;
    m_state->options.headTime = headTime;
    m_state->options.idleTime = idleTime;
}

void HttpServer::closeAfterAnswers()
{
    m_state->isDraining = true;
    std::vector<HttpConnection*> connections;
    for (auto& it : m_state->connections)
        connections.push_back(it.get());
    // Closing one connection deletes that one only.
    for (auto* it : connections)
        it->closeIfIdle();
}

size_t HttpServer::connectionCount() const { return m_state->connections.size(); }

} // namespace Berylport
