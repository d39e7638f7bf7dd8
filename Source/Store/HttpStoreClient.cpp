// evhttp client. Callbacks of evhttp only record what happened; a deferred event then completes requests and frees
// connections, as neither may happen inside evhttp's own callbacks.
#include "Store/HttpStoreClient.h"

#include "Base/Random.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <deque>
#include <list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace Berylport {

namespace {

struct EventDeleter {
    void operator()(event* it) const { event_free(it); }
};
using EventPointer = std::unique_ptr<event, EventDeleter>;

struct ConnectionDeleter {
    void operator()(evhttp_connection* it) const { evhttp_connection_free(it); }
};
using ConnectionPointer = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

timeval toTimeval(Duration duration)
{
    auto microseconds = std::max<int64_t>(0, duration.count());
    return { .tv_sec = microseconds / 1'000'000, .tv_usec = microseconds % 1'000'000 };
}

constexpr int statusUnavailable = 503;

// A request that waits long for its answer sends nothing itself. TCP probes show a connection that has gone silent
// within keepAliveIdle + keepAliveCount * keepAliveInterval seconds, without a request to the store.
constexpr int keepAliveIdle = 1;
constexpr int keepAliveInterval = 1;
constexpr int keepAliveCount = 2;

void detectDeadPeer(evutil_socket_t fd)
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

} // namespace

class HttpStoreClient::Implementation {
public:
    Implementation(event_base* base, HttpClientOptions options)
        : m_base(base)
        , m_options(std::move(options))
        , m_random(m_options.jitterSeed)
        , m_deferred(event_new(base, -1, 0, &Implementation::onDeferred, this))
    {
    }

    void send(StoreRequest message, Callback callback)
    {
        auto& request = m_requests.emplace_back();
        request.owner = this;
        request.place = std::prev(m_requests.end());
        request.timeout = message.timeout.value_or(m_options.timeout);
        request.message = std::move(message);
        request.callback = std::move(callback);
        if (!mayStart(steadyNow())) {
            finish(request, StoreSilence { .isUnsent = true, .text = "circuit breaker is open" });
            return;
        }
        if (m_outstanding >= m_options.maxOutstanding && m_waiting.size() >= m_options.maxQueued) {
            finish(request, StoreSilence { .isUnsent = true, .text = "queue is full" });
            return;
        }
        request.timer.reset(event_new(m_base, -1, 0, &Implementation::onTimeout, &request));
        auto timeout = toTimeval(request.timeout);
        event_add(request.timer.get(), &timeout);
        if (m_outstanding < m_options.maxOutstanding)
            start(request);
        else
            m_waiting.push_back(&request);
    }

private:
    struct Request {
        Implementation* owner { nullptr };
        std::list<Request>::iterator place;
        StoreRequest message;
        Duration timeout {};
        Callback callback;
        EventPointer timer;
        ConnectionPointer connection;
        std::optional<StoreReply> reply;
    };

    // While the breaker is open only one probe at a time goes out, and only after the open time.
    bool mayStart(Instant now) const
    {
        if (m_failures < m_options.failuresToOpen)
            return true;
        return now >= m_openUntil && !m_outstanding;
    }

    ConnectionPointer takeConnection()
    {
        if (!m_idle.empty()) {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            return connection;
        }
        auto& server = m_options.server;
        ConnectionPointer connection(
            evhttp_connection_base_bufferevent_new(m_base, nullptr, nullptr, server.address.c_str(), server.port));
        if (!connection)
            return connection;
        evhttp_connection_set_max_body_size(connection.get(), static_cast<ev_ssize_t>(m_options.maxAnswerBytes));
        evhttp_connection_set_retries(connection.get(), 0);
        return connection;
    }

    void start(Request& request)
    {
        ++m_outstanding;
        request.connection = takeConnection();
        auto* message = request.connection ? evhttp_request_new(&Implementation::onAnswer, &request) : nullptr;
        if (!message) {
            finishStarted(request, StoreSilence { .isUnsent = true, .text = "no connection" });
            return;
        }
        // The request's own timer is the one that ends it.
        auto longer = toTimeval(request.timeout * 2);
        evhttp_connection_set_timeout_tv(request.connection.get(), &longer);
        auto* headers = evhttp_request_get_output_headers(message);
        evhttp_add_header(headers, "Host", m_options.server.address.c_str());
        evhttp_add_header(headers, "Content-Type", "application/json");
        auto& body = request.message.body;
        evbuffer_add(evhttp_request_get_output_buffer(message), body.data(), body.size());
        auto method = request.message.method == StoreMethod::Get ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
        int failed = evhttp_make_request(request.connection.get(), message, method, request.message.path.c_str());
        detectDeadPeer(bufferevent_getfd(evhttp_connection_get_bufferevent(request.connection.get())));
        if (failed && !request.reply)
            finishStarted(request, StoreSilence { .isUnsent = true, .text = "connection failed" });
    }

    void finish(Request& request, StoreReply reply)
    {
        if (request.reply)
            return;
        request.reply = std::move(reply);
        request.timer.reset();
        m_finished.push_back(&request);
        event_active(m_deferred.get(), EV_TIMEOUT, 0);
    }

    void finishStarted(Request& request, StoreReply reply)
    {
        if (request.reply)
            return;
        --m_outstanding;
        auto* answer = std::get_if<StoreAnswer>(&reply);
        noteHealth(answer && answer->status != statusUnavailable);
        finish(request, std::move(reply));
    }

    void noteHealth(bool isHealthy)
    {
        if (isHealthy) {
            m_failures = 0;
            m_openTime = m_options.openTimeMin;
            return;
        }
        ++m_failures;
        if (m_failures < m_options.failuresToOpen)
            return;
        m_openTime = m_failures == m_options.failuresToOpen ? m_options.openTimeMin
                                                            : std::min(m_options.openTimeMax, m_openTime * 2);
        // Half to whole of the open time.
        auto jitter = static_cast<int64_t>(m_random.unit() * static_cast<double>(m_openTime.count()) / 2);
        m_openUntil = steadyNow() + m_openTime - Duration(jitter);
    }

    static void onAnswer(evhttp_request* message, void* argument)
    {
        auto& request = *static_cast<Request*>(argument);
        // A null message: the connection ended after it had been established. Status zero: it never was.
        if (!message) {
            request.owner->finishStarted(
                request, StoreSilence { .isUnsent = false, .text = "connection closed without an answer" });
            return;
        }
        int status = evhttp_request_get_response_code(message);
        if (!status) {
            request.owner->finishStarted(request, StoreSilence { .isUnsent = true, .text = "connection refused" });
            return;
        }
        auto* buffer = evhttp_request_get_input_buffer(message);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_copyout(buffer, body.data(), body.size());
        std::vector<HttpHeader> headers;
        for (auto* it = evhttp_request_get_input_headers(message)->tqh_first; it; it = it->next.tqe_next)
            headers.push_back({ .name = it->key, .value = it->value });
        request.owner->finishStarted(
            request, StoreAnswer { .status = status, .body = std::move(body), .headers = std::move(headers) });
    }

    static void onTimeout(evutil_socket_t, short, void* argument)
    {
        auto& request = *static_cast<Request*>(argument);
        auto& self = *request.owner;
        if (auto it = std::ranges::find(self.m_waiting, &request); it != self.m_waiting.end()) {
            self.m_waiting.erase(it);
            self.finish(request, StoreSilence { .isUnsent = true, .text = "timed out in the queue" });
            return;
        }
        // Freeing the connection also drops a late answer.
        request.connection.reset();
        self.finishStarted(request, StoreSilence { .isUnsent = false, .text = "no answer in time" });
    }

    static void onDeferred(evutil_socket_t, short, void* argument)
    {
        static_cast<Implementation*>(argument)->completeFinished();
    }

    void completeFinished()
    {
        std::vector<std::pair<Callback, StoreReply>> completions;
        for (auto* request : std::exchange(m_finished, {})) {
            // A connection that answered is kept; evhttp reconnects it when the store has closed it meanwhile.
            if (request->connection && std::holds_alternative<StoreAnswer>(*request->reply))
                m_idle.push_back(std::move(request->connection));
            completions.emplace_back(std::move(request->callback), std::move(*request->reply));
            m_requests.erase(request->place);
        }
        startWaiting();
        // The last callback may destroy this object, so nothing of it is used from here on.
        std::weak_ptr<bool> alive = m_alive;
        for (auto& [callback, reply] : completions) {
            if (alive.expired())
                return;
            callback(steadyNow(), std::move(reply));
        }
    }

    void startWaiting()
    {
        while (!m_waiting.empty() && m_outstanding < m_options.maxOutstanding) {
            auto* request = m_waiting.front();
            m_waiting.pop_front();
            if (mayStart(steadyNow()))
                start(*request);
            else
                finish(*request, StoreSilence { .isUnsent = true, .text = "circuit breaker is open" });
        }
    }

    event_base* m_base;
    HttpClientOptions m_options;
    Random m_random;
    EventPointer m_deferred;
    // Owns every request until its completion has been delivered.
    std::list<Request> m_requests;
    std::deque<Request*> m_waiting;
    std::vector<Request*> m_finished;
    std::vector<ConnectionPointer> m_idle;
    uint32_t m_outstanding { 0 };
    uint32_t m_failures { 0 };
    Duration m_openTime {};
    Instant m_openUntil {};
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

HttpStoreClient::HttpStoreClient(event_base* base, HttpClientOptions options)
    : m_implementation(std::make_unique<Implementation>(base, std::move(options)))
{
}

HttpStoreClient::~HttpStoreClient() = default;

void HttpStoreClient::send(StoreRequest request, Callback callback)
{
    m_implementation->send(std::move(request), std::move(callback));
}

void HttpStoreClient::post(const char* path, std::string body, Callback callback)
{
    m_implementation->send({ .path = path, .body = std::move(body) }, std::move(callback));
}

StoreError storeError(StoreOperation operation, const StoreReply& reply)
{
    if (auto* silence = std::get_if<StoreSilence>(&reply)) {
        auto code = silence->isUnsent ? StoreErrorCode::Unavailable : StoreErrorCode::Timeout;
        return { .code = code, .text = silence->text };
    }
    auto& answer = std::get<StoreAnswer>(reply);
    if (answer.status != 200) {
        if (auto error = decodeError(answer.body); error && statusOf(error->code) == answer.status)
            return *error;
    }
    // The store may have carried out a write whose answer is unreadable.
    auto code = operation == StoreOperation::Write ? StoreErrorCode::Timeout : StoreErrorCode::Malformed;
    return { .code = code, .text = "unreadable answer with status " + std::to_string(answer.status) };
}

} // namespace Berylport
