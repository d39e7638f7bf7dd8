// Server for callers: whole, unambiguous requests in, whole answers out, in order on each connection. Requests that a
// caller sends before it has its answers run side by side where the handler's owner says that they may.
//
// evhttp accepts connections, orders pipelined exchanges and writes answers. It does not read the callers' bytes.
// evhttp 2.1.12 limits nothing by default, takes the first of two Content-Length values, accepts a sign in the value
// and ignores a Transfer-Encoding with a space before the colon, and it offers no access to the raw bytes that would
// allow checking a head before it acts on it. Two parsers that differ on where a request ends are the very fault to
// prevent. So a callback on each connection's input buffer takes all bytes away before evhttp sees them, the strict
// RequestParser frames them, and for each whole request evhttp gets a fixed head ("GET / HTTP/1.1") that only marks
// its place in the order of answers. A request that is refused takes its place in the same way, so its 400 comes after
// the answers to the requests before it. A bufferevent filter in front of evhttp would do the same for the input, but
// evhttp then closes the socket when the filter's output is empty, although the socket's own is not, and cuts off long
// answers.
#pragma once

#include "Base/HttpMessage.h"
#include "Base/Identifiers.h"
#include "Base/Result.h"
#include "Base/Time.h"
#include "Http/MemoryBudget.h"
#include "Http/MessageParser.h"
#include "Http/RequestPipeline.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

struct event_base;

namespace Berylport {

struct HttpServerOptions {
    ParseLimits limits { .headBytes = 16 * 1024, .bodyBytes = 1024 * 1024 };
    // From the first byte of a head to its last.
    Duration headTime { std::chrono::seconds(10) };
    // From the end of the head to the last byte of the body.
    Duration bodyTime { std::chrono::seconds(10) };
    // Without any byte of a next request.
    Duration idleTime { std::chrono::seconds(60) };
    // An answer of which the caller takes no byte for this long is given up.
    Duration writeTime { std::chrono::seconds(30) };
    // After the last answer, what the caller still sends is read and dropped for this long, because closing a socket
    // with unread bytes makes the kernel send a reset, which can destroy the answer on its way.
    Duration lingerTime { std::chrono::seconds(2) };
    // Whether a request may run while others of its connection do. Null: none may.
    std::function<bool(const HttpRequest&)> runsBesideOthers {};
    // Of each connection.
    PipelineLimits pipeline {};
    // Of all connections together, beyond the oldest request of each: requests that have been read, and bytes of
    // requests that wait and of answers that are ready.
    uint32_t maximumPipelinedRequests { 4096 };
    size_t maximumPipelinedBytes { 32 * 1024 * 1024 };
    // Of all connections together: requests, whether read as a whole or not, and answers until the kernel has taken
    // them. Above it connections are closed.
    MemoryBudgetOptions memory {};
    // Told of each connection that is closed for the memory that it holds, in bytes.
    std::function<void(const Endpoint& peer, size_t bytes)> onMemoryExceeded {};
    // Connections above this number are answered 503 and closed.
    uint32_t maxConnections { 1024 };
    // Connections above this number as well, those in their linger time included, wait in the listen queue.
    uint32_t maxRefusedConnections { 64 };
};

enum class HttpServerError : uint8_t {
    InvalidAddress,
    BindFailed,
};

constexpr std::string_view toText(HttpServerError error)
{
    switch (error) {
    case HttpServerError::InvalidAddress:
        return "invalid-address";
    case HttpServerError::BindFailed:
        return "bind-failed";
    }
    return "unknown";
}

class HttpConnection;
class HttpExchange;

// Answers one request. Copies share the exchange; when the last one goes without an answer, the caller gets 500.
class Responder {
public:
    explicit Responder(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    // Sends the answer, from this or any later turn of the loop. Only the first call counts; none does after the
    // caller has gone. Hop-by-hop headers are removed; Content-Length is computed, but kept as given for HEAD and 304.
    void answer(HttpResponse) const;
    // The caller is connected and has no answer yet.
    bool isOpen() const;
    // When the last byte of the request was read; it may have waited for others of its connection since.
    Instant readAt() const;
    // The function runs once if the caller closes its connection, or its half of it, before the answer.
    void onCallerGone(std::function<void()>) const;

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

class HttpServer {
public:
    // Must not delete the server; nor must a function given to onCallerGone. Requests of one connection are handled in
    // the order in which they came, each once.
    using Handler = std::function<void(HttpRequest, const Endpoint& peer, Responder)>;

    HttpServer(event_base*, Handler, HttpServerOptions = {});
    // Closes every connection; the functions given to onCallerGone do not run.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Port 0 takes any free one. Returns the endpoint in use.
    Result<Endpoint, HttpServerError> listen(const Endpoint&);
    void stopListening();
    // Sizes hold for connections accepted from now on, times for all.
    void setLimits(ParseLimits, Duration headTime, Duration idleTime);
    // From now on each connection is closed after the answers to the requests that it has begun, and at once when it is
    // idle. What its caller has sent behind them is not handled.
    void closeAfterAnswers();
    size_t connectionCount() const;
    // What all connections hold; see HttpServerOptions::memory.
    size_t heldBytes() const;

    struct State;

private:
    std::unique_ptr<State> m_state;
};

} // namespace Berylport
