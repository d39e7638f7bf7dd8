// Requests to the store over the strict HTTP client that also serves targets: a faulty store can make this process hold
// no more than the limits allow.
#include "Store/HttpStoreClient.h"

#include "Base/Overloaded.h"
#include "Base/Random.h"
#include "Http/EventPointers.h"
#include "Http/Http.h"

#include <algorithm>
#include <deque>
#include <list>
#include <vector>

namespace Berylport {

namespace {

constexpr int statusUnavailable = 503;

TargetClientOptions makeTransportOptions(const HttpClientOptions& options)
{
    return { .limits = { .bodyBytes = options.maxAnswerBytes, .allowsCloseDelimited = true },
        .connectTime = options.timeout,
        .maxConnections = options.maxOutstanding,
        .maximumHeldBytes = options.maxHeldBytes,
        .detectsDeadPeer = true };
}

StoreReply replyOf(SendResult&& result)
{
    return std::visit(Overloaded {
                          [](HttpResponse& it) -> StoreReply {
                              return StoreAnswer {
                                  .status = it.status, .body = std::move(it.body), .headers = std::move(it.headers)
                              };
                          },
                          [](NotSent& it) -> StoreReply {
                              return StoreSilence { .isUnsent = true, .text = std::string(toText(it.reason)) };
                          },
                          [](Lost& it) -> StoreReply {
                              return StoreSilence { .isUnsent = false, .text = std::string(toText(it.reason)) };
                          },
                      },
        result);
}

} // namespace

class HttpStoreClient::Implementation {
public:
    Implementation(event_base* base, HttpClientOptions options)
        : m_base(base)
        , m_options(std::move(options))
        , m_random(m_options.jitterSeed)
        , m_transport(base, m_options.server, makeTransportOptions(m_options))
        , m_deferred(event_new(base, -1, 0, &Implementation::onDeferred, this))
    {
    }

    void send(StoreRequest message, Callback callback)
    {
        auto& request = m_requests.emplace_back();
        request.owner = this;
        request.place = std::prev(m_requests.end());
        request.deadline = steadyNow() + message.timeout.value_or(m_options.timeout);
        request.message = std::move(message);
        request.callback = std::move(callback);
        if (!mayStart(steadyNow())) {
            finish(request, StoreSilence { .isUnsent = true, .text = "circuit breaker is open" });
            return;
        }
        if (m_outstanding < m_options.maxOutstanding) {
            start(request);
            return;
        }
        if (m_waiting.size() >= m_options.maxQueued) {
            finish(request, StoreSilence { .isUnsent = true, .text = "queue is full" });
            return;
        }
        request.timer.reset(evtimer_new(m_base, &Implementation::onQueueTimeout, &request));
        startTimer(request.timer.get(), request.deadline - steadyNow());
        m_waiting.push_back(&request);
    }

private:
    struct Request {
        Implementation* owner { nullptr };
        std::list<Request>::iterator place;
        StoreRequest message;
        Instant deadline;
        Callback callback;
        // Set while the request waits in the queue.
        TimerPointer timer;
        std::optional<StoreReply> reply;
    };

    // While the breaker is open only one probe at a time goes out, and only after the open time.
    bool mayStart(Instant now) const
    {
        if (m_failures < m_options.failuresToOpen)
            return true;
        return now >= m_openUntil && !m_outstanding;
    }

    void start(Request& request)
    {
        ++m_outstanding;
        request.timer.reset();
        bool isRead = request.message.method == StoreMethod::Get;
        HttpRequest http { .method = isRead ? "GET" : "POST",
            .target = std::move(request.message.path),
            .headers = { { .name = "Host", .value = m_options.server.address },
                { .name = "Content-Type", .value = "application/json" } },
            .body = std::move(request.message.body) };
        m_transport.send(std::move(http), { .deadline = request.deadline, .isIdempotent = isRead },
            [this, &request](SendResult result) {
                --m_outstanding;
                StoreReply reply = replyOf(std::move(result));
                auto* answer = std::get_if<StoreAnswer>(&reply);
                noteHealth(answer && answer->status != statusUnavailable);
                finish(request, std::move(reply));
            });
    }

    void finish(Request& request, StoreReply reply)
    {
        request.reply = std::move(reply);
        request.timer.reset();
        m_finished.push_back(&request);
        event_active(m_deferred.get(), EV_TIMEOUT, 0);
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

    static void onQueueTimeout(evutil_socket_t, short, void* argument)
    {
        auto& request = *static_cast<Request*>(argument);
        auto& self = *request.owner;
        std::erase(self.m_waiting, &request);
        self.finish(request, StoreSilence { .isUnsent = true, .text = "timed out in the queue" });
    }

    static void onDeferred(evutil_socket_t, short, void* argument)
    {
        static_cast<Implementation*>(argument)->completeFinished();
    }

    void completeFinished()
    {
        std::vector<std::pair<Callback, StoreReply>> completions;
        for (auto* request : std::exchange(m_finished, {})) {
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
    // Owns every request until its completion has been delivered.
    std::list<Request> m_requests;
    std::deque<Request*> m_waiting;
    std::vector<Request*> m_finished;
    // Delivers no result any more once it is destroyed.
    TargetClient m_transport;
    TimerPointer m_deferred;
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
