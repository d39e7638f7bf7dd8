#include "Http/HttpConnection.h"

#include "Http/HttpSyntax.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// This much of a caller's bytes waits unparsed before reading stops. A caller that sends more is not watched until some
// of it has been parsed.
constexpr size_t maximumRawBytes = 64 * 1024;
// One read of the watch on the caller.
constexpr size_t watchReadBytes = 4096;
// Bytes taken between two checks of the memory that count as progress of a slow reader.
constexpr size_t minimumTakenBytes = 16 * 1024;

constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";
// What evhttp reads in place of a request: it marks the place of the answer and nothing else.
constexpr std::string_view placeholder = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view headPlaceholder = "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n";

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

HttpExchange::~HttpExchange()
{
    if (m_connection)
        answer(makeUnansweredResponse());
}

void HttpExchange::answer(HttpResponse response)
{
    m_onGone = nullptr;
    if (auto* connection = std::exchange(m_connection, nullptr))
        connection->answer(m_sequence, std::move(response));
}

std::function<void()> HttpExchange::detach()
{
    m_connection = nullptr;
    return std::exchange(m_onGone, nullptr);
}

HttpConnection::HttpConnection(HttpServer::State& server, bufferevent* it, bool isRefused)
    : m_server(server)
    , m_bufferevent(it)
    , m_inputCallback(evbuffer_add_cb(bufferevent_get_input(it), handleInput, this))
    , m_parser(server.options.limits)
    , m_pipeline(server.options.pipeline, server.budget)
    , m_isRefused(isRefused)
    , m_readTimer(evtimer_new(server.base, handleReadTimer, this))
    , m_writeTimer(evtimer_new(server.base, handleWriteTimer, this))
    , m_holder(server.memory->add(steadyNow()))
{
    bufferevent_incref(it);
    // evhttp's read function must not run when its input is empty after the callback took all bytes.
    bufferevent_setwatermark(it, EV_READ, 1, 0);
    // The first turn after evhttp has set up the connection.
    startTimer(m_readTimer.get(), Duration::zero());
}

HttpConnection::~HttpConnection()
{
    m_server.memory->remove(m_holder);
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
    if (m_isRefused)
        queueRefusal(makeRefusal(503, "too-many-connections"));
    updateReadTimer();
}

// --- reading

void HttpConnection::handleInput(evbuffer*, const evbuffer_cb_info* info, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    if (self->m_isPlacing || !info->n_added)
        return;
    self->adopt();
    self->takeInput();
    if (self->m_writing == Writing::Sending)
        self->beginRequests();
    else
        self->parse();
    self->updateReading();
    self->heldChanged();
}

// A placeholder that evhttp has not read yet stays in front.
void HttpConnection::takeInput()
{
    auto* input = bufferevent_get_input(m_bufferevent);
    BufferPointer kept(evbuffer_new());
    m_isPlacing = true;
    if (m_writing == Writing::Placed)
        evbuffer_remove_buffer(input, kept.get(), m_placedBytes);
    evbuffer_add_buffer(m_raw.get(), input);
    evbuffer_add_buffer(input, kept.get());
    m_isPlacing = false;
}

bool HttpConnection::mayParse() const
{
    if (m_reading == Reading::Ended || !evbuffer_get_length(m_raw.get()))
        return false;
    bool isLastRequest = m_server.isDraining && !m_pipeline.isEmpty();
    return !isLastRequest && m_pipeline.takesMore(m_parsedBytes);
}

void HttpConnection::parse()
{
    while (mayParse()) {
        evbuffer_iovec span;
        evbuffer_peek(m_raw.get(), -1, nullptr, &span, 1);
        auto n = m_parser.feed({ static_cast<const char*>(span.iov_base), span.iov_len });
        evbuffer_drain(m_raw.get(), n);
        m_parsedBytes += n;
        takeParsed();
    }
    sendContinueIfDue();
    if (m_writing == Writing::Nothing && !m_pipeline.isEmpty())
        place();
}

void HttpConnection::takeParsed()
{
    switch (m_parser.state()) {
    case MessageParser::State::Head:
    case MessageParser::State::Body: {
        auto reading = m_parser.state() == MessageParser::State::Body ? Reading::Body
            : m_parser.hasBegun()                                     ? Reading::Head
                                                                      : Reading::Idle;
        if (reading == m_reading)
            return;
        m_reading = reading;
        updateReadTimer();
        return;
    }
    case MessageParser::State::Whole: {
        PipelinedRequest request {
            .bytes = std::exchange(m_parsedBytes, 0),
            .readAt = steadyNow(),
            .isHead = m_parser.isHead(),
            .closesConnection = !m_parser.isKeptAlive(),
        };
        request.request = m_parser.take();
        request.runsBesideOthers
            = m_server.options.runsBesideOthers && m_server.options.runsBesideOthers(*request.request);
        m_reading = request.closesConnection ? Reading::Ended : Reading::Idle;
        m_pipeline.push(std::move(request));
        // Sending further requests is no progress while answers are not taken.
        if (m_pipeline.size() == 1)
            m_server.memory->recordProgress(m_holder, steadyNow());
        updateReadTimer();
        return;
    }
    case MessageParser::State::Faulty:
        queueRefusal(makeRefusal(statusOf(m_parser.fault()), toText(m_parser.fault())));
        return;
    }
}

void HttpConnection::queueRefusal(HttpResponse response)
{
    m_reading = Reading::Ended;
    m_pipeline.push({ .answer = std::move(response), .readAt = steadyNow(), .closesConnection = true });
    updateReadTimer();
}

// Written past evhttp, whose write function would take it for the end of an answer. When the socket's buffer is full
// nothing is sent, and the caller sends the body after its own waiting time.
void HttpConnection::sendContinueIfDue()
{
    if (m_reading != Reading::Body || !m_parser.expectsContinue() || !m_pipeline.isEmpty())
        return;
    m_parser.clearExpectation();
    [[maybe_unused]] auto n = send(descriptor(), continueLine.data(), continueLine.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

// evhttp does not read while it waits for an answer.
void HttpConnection::watchCaller()
{
    if (m_callerEvent || evbuffer_get_length(m_raw.get()) > maximumRawBytes)
        return;
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
        beginRequests();
        heldChanged();
        return;
    }
    if (!n || (errno != EAGAIN && errno != EINTR))
        close();
}

void HttpConnection::updateReading()
{
    // evhttp leaves reading on while it writes an answer, so a caller that takes none could fill the memory.
    bool isFull = evbuffer_get_length(m_raw.get()) > maximumRawBytes;
    // It also turns reading on again with each answer.
    if (isFull && (bufferevent_get_enabled(m_bufferevent) & EV_READ)) {
        bufferevent_disable(m_bufferevent, EV_READ);
        m_isReadingStopped = true;
    } else if (!isFull && std::exchange(m_isReadingStopped, false))
        bufferevent_enable(m_bufferevent, EV_READ);
}

void HttpConnection::updateHeld()
{
    size_t unsent = evbuffer_get_length(bufferevent_get_output(m_bufferevent));
    // A caller that takes this much at a time reads its answer.
    if (unsent + minimumTakenBytes <= m_heldUnsentBytes)
        m_server.memory->recordProgress(m_holder, steadyNow());
    m_heldUnsentBytes = unsent;
    m_server.memory->set(m_holder, evbuffer_get_length(m_raw.get()) + m_parsedBytes + m_pipeline.heldBytes() + unsent);
}

void HttpConnection::heldChanged()
{
    updateHeld();
    m_server.checkMemory();
}

bool HttpConnection::closeForMemory()
{
    if (!m_evhttpConnection)
        return false;
    if (m_server.options.onMemoryExceeded)
        m_server.options.onMemoryExceeded(m_peer, m_server.memory->bytes());
    close();
    return true;
}

// Times count while no earlier request is unanswered: until then it may be this server that does not read.
void HttpConnection::updateReadTimer()
{
    auto& options = m_server.options;
    if (!m_pipeline.isEmpty() || m_reading == Reading::Ended)
        event_del(m_readTimer.get());
    else if (m_reading == Reading::Idle)
        startTimer(m_readTimer.get(), options.idleTime);
    else
        startTimer(m_readTimer.get(), m_reading == Reading::Head ? options.headTime : options.bodyTime);
}

void HttpConnection::handleReadTimer(evutil_socket_t, short, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    if (self->m_evhttpConnection) {
        self->readTimedOut();
        return;
    }
    self->adopt();
    if (!self->m_evhttpConnection) {
        // evhttp gave the connection up before setting it up.
        std::erase_if(self->m_server.connections, [&](auto& it) { return it.get() == self; });
        return;
    }
    if (!self->m_pipeline.isEmpty()) {
        self->place();
        bufferevent_trigger(self->m_bufferevent, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
    }
}

void HttpConnection::readTimedOut()
{
    if (m_reading == Reading::Idle) {
        close();
        return;
    }
    queueRefusal(makeRefusal(408, m_reading == Reading::Head ? "header-timeout" : "body-timeout"));
    place();
    bufferevent_trigger(m_bufferevent, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
}

// --- requests and answers

void HttpConnection::place()
{
    m_writing = Writing::Placed;
    std::string_view text = m_pipeline.front().isHead ? headPlaceholder : placeholder;
    auto* input = bufferevent_get_input(m_bufferevent);
    m_isPlacing = true;
    // A bufferevent keeps the end of its input closed to others than itself.
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, text.data(), text.size());
    m_placedBytes = text.size();
    evbuffer_freeze(input, 0);
    m_isPlacing = false;
}

void HttpConnection::handlePlaceholder(evhttp_request* request)
{
    m_evhttpRequest = request;
    m_writing = Writing::Waiting;
    evhttp_request_set_on_complete_cb(request, handleSent, this);
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(m_evhttpConnection, &address, &port);
    m_peer = { .address = address, .port = port };
    beginRequests();
    // Its answer may have been ready before its turn.
    if (m_writing == Writing::Waiting && m_pipeline.front().answer)
        writeFront();
}

// What begins makes room to read more.
void HttpConnection::beginRequests()
{
    uint64_t sequence = 0;
    parse();
    while (auto request = m_pipeline.beginNext(sequence)) {
        begin(std::move(*request), sequence);
        parse();
    }
    if (evbuffer_get_length(m_raw.get()) > maximumRawBytes)
        m_callerEvent.reset();
    else
        watchCaller();
}

void HttpConnection::begin(HttpRequest request, uint64_t sequence)
{
    PipelinedRequest& begun = *m_pipeline.find(sequence);
    auto exchange = std::make_shared<HttpExchange>(this, sequence, begun.readAt);
    begun.exchange = exchange;
    m_server.handler(std::move(request), m_peer, Responder(std::move(exchange)));
}

void HttpConnection::answer(uint64_t sequence, HttpResponse response)
{
    if (response.status < 200 || response.status > 599)
        response = makeUnansweredResponse();
    m_pipeline.answer(sequence, std::move(response));
    if (m_writing == Writing::Waiting && m_pipeline.front().sequence == sequence)
        writeFront();
    heldChanged();
}

void HttpConnection::writeFront()
{
    PipelinedRequest& front = m_pipeline.front();
    HttpResponse response = std::move(*front.answer);
    // Drained connections end with the last answer to what has begun.
    m_closesAfterAnswer = front.closesConnection || (m_server.isDraining && m_pipeline.size() == 1);
    bool isBodyless = front.isHead || hasNoBody(response.status);
    auto length = findHeader(response.headers, "Content-Length").value_or("");
    auto statedLength
        = front.isHead && !response.body.empty() ? std::to_string(response.body.size()) : std::string(length);
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
    m_writing = Writing::Sending;
    startTimer(m_writeTimer.get(), m_server.options.writeTime);
    evhttp_send_reply(m_evhttpRequest, response.status, reason.c_str(), body.get());
}

// evhttp has written the whole answer to the socket and closes the connection after this or reads the next request.
void HttpConnection::handleSent(evhttp_request*, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    self->m_evhttpRequest = nullptr;
    self->m_callerEvent.reset();
    self->m_writing = Writing::Nothing;
    event_del(self->m_writeTimer.get());
    self->m_pipeline.pop();
    self->m_server.memory->recordProgress(self->m_holder, steadyNow());
    self->updateHeld();
    if (self->m_closesAfterAnswer) {
        self->m_server.linger(dup(self->descriptor()));
        return;
    }
    self->updateReadTimer();
    self->parse();
    self->updateReading();
    // In a later turn, as evhttp still uses its connection after this function.
    if (self->m_server.isDraining && self->m_pipeline.isEmpty() && self->m_reading == Reading::Idle)
        startTimer(self->m_readTimer.get(), Duration::zero());
}

void HttpConnection::handleWriteTimer(evutil_socket_t, short, void* argument)
{
    static_cast<HttpConnection*>(argument)->writeTimedOut();
}

void HttpConnection::writeTimedOut()
{
    auto n = evbuffer_get_length(bufferevent_get_output(m_bufferevent));
    if (n >= m_unsentBytes) {
        close();
        return;
    }
    m_unsentBytes = n;
    startTimer(m_writeTimer.get(), m_server.options.writeTime);
}

// --- end

// What has been read only in part while earlier requests are unanswered counts as not read, as all behind an answer
// that closes the connection.
void HttpConnection::closeAfterAnswers()
{
    if (!m_evhttpConnection)
        return;
    // The answer that is being written promises to keep the connection, so the last answer is that of a request behind
    // it. handleSent() closes the connection if there is none.
    if (m_writing == Writing::Sending && !m_closesAfterAnswer)
        return;
    if (!m_pipeline.isEmpty()) {
        m_pipeline.dropWaiting();
        m_reading = Reading::Ended;
    } else if (m_reading == Reading::Idle) {
        close();
    }
}

// Ends in handleClosed, which deletes this object.
void HttpConnection::close() { evhttp_connection_free(m_evhttpConnection); }

void HttpConnection::handleClosed(evhttp_connection* evhttpConnection, void* argument)
{
    auto* self = static_cast<HttpConnection*>(argument);
    auto& server = self->m_server;
    std::vector<std::function<void()>> notices;
    while (!self->m_pipeline.isEmpty()) {
        auto exchange = self->m_pipeline.front().exchange.lock();
        if (auto onGone = exchange ? exchange->detach() : nullptr)
            notices.push_back(std::move(onGone));
        self->m_pipeline.pop();
    }
    server.adopted.erase(evhttpConnection);
    std::erase_if(server.connections, [&](auto& it) { return it.get() == self; });
    if (server.isClosing)
        return;
    server.updateListener();
    for (auto& it : notices)
        it();
}

} // namespace Berylport
