// Server for callers on evhttp, with the framing checks in front of it.
#include "Http/HttpServer.h"

#include "Http/HttpConnection.h"

#include <algorithm>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace Berylport {

namespace {

// evhttp's own timeouts are set beyond any of ours, so that only ours act.
constexpr int evhttpTimeoutSeconds = 24 * 3600;

} // namespace

void Responder::answer(HttpResponse response) const { m_exchange->answer(std::move(response)); }

bool Responder::isOpen() const { return m_exchange->isOpen(); }

Instant Responder::readAt() const { return m_exchange->readAt(); }

void Responder::onCallerGone(std::function<void()> function) const { m_exchange->setGoneFunction(std::move(function)); }

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

void HttpServer::State::checkMemory()
{
    // In a later turn, as the caller of this function may be the connection that ends.
    // Starting the timer again would put it off each time, as long as callers send.
    if (memory->isExceeded() && !isClosing && !std::exchange(isMemoryCheckDue, true))
        startTimer(memoryTimer.get(), Duration::zero());
}

void HttpServer::State::freeMemory()
{
    // What callers have taken since is not counted yet.
    for (auto& it : connections)
        it->updateHeld();
    event_del(memoryTimer.get());
    isMemoryCheckDue = false;
    Instant now = steadyNow();
    while (auto victim = memory->findVictim(now)) {
        auto it = std::ranges::find(connections, *victim, [](auto& connection) { return connection->holder(); });
        if (it == connections.end() || !(*it)->closeForMemory())
            return;
    }
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
    m_state->budget
        = { .maximumRequests = options.maximumPipelinedRequests, .maximumBytes = options.maximumPipelinedBytes };
    m_state->options = std::move(options);
    m_state->memory.emplace(m_state->options.memory);
    m_state->memoryTimer.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* argument) { static_cast<State*>(argument)->freeMemory(); },
        m_state.get()));
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
        it->closeAfterAnswers();
}

size_t HttpServer::connectionCount() const { return m_state->connections.size(); }

size_t HttpServer::heldBytes() const { return m_state->memory->bytes(); }

} // namespace Berylport
