// evhttp server with delayed and dropped answers.
#include "StandIns/Common/StoreServer.h"

#include "Store/StoreMessages.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <list>

namespace Berylport {

namespace {

// The largest object (4 MiB) in base64, with room for the rest of the message.
constexpr ev_ssize_t maxRequestBytes = 8 * 1024 * 1024;

timeval toTimeval(Duration duration)
{
    return { .tv_sec = duration.count() / 1'000'000, .tv_usec = duration.count() % 1'000'000 };
}

uint16_t portOf(evhttp_bound_socket* socket)
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    if (getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&address), &length))
        return 0;
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

std::string bodyOf(evhttp_request* request)
{
    auto* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

void reply(evhttp_request* request, const ServiceAnswer& answer)
{
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, answer.body.data(), answer.body.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evhttp_send_reply(request, answer.status, nullptr, buffer);
    evbuffer_free(buffer);
}

} // namespace

class StoreServer::Implementation {
public:
    Implementation(event_base* base, StoreService& service, StoreServerOptions options)
        : m_base(base)
        , m_service(service)
        , m_options(std::move(options))
        , m_faults(m_options.seed)
        , m_http(evhttp_new(base))
        , m_controlHttp(evhttp_new(base))
    {
        for (auto* http : { m_http, m_controlHttp }) {
            evhttp_set_max_body_size(http, maxRequestBytes);
            evhttp_set_gencb(http, http == m_http ? &Implementation::onRequest : &Implementation::onControl, this);
        }
        open();
        auto* control = evhttp_bind_socket_with_handle(m_controlHttp, m_options.address.c_str(), m_options.controlPort);
        m_controlPort = control ? portOf(control) : 0;
    }

    ~Implementation()
    {
        for (auto& it : m_jobs)
            event_free(it.timer);
        evhttp_free(m_http);
        evhttp_free(m_controlHttp);
    }

    bool isListening() const { return m_socket && m_controlPort; }
    uint16_t port() const { return m_options.port; }
    uint16_t controlPort() const { return m_controlPort; }
    FaultInjector& faults() { return m_faults; }

    void setFaults(const FaultSettings& settings)
    {
        m_faults.set(settings);
        if (settings.down == DownMode::Refuse)
            close();
        else
            open();
    }

private:
    // One request between its arrival and its answer.
    struct Job {
        Implementation* owner { nullptr };
        std::list<Job>::iterator place;
        evhttp_request* request { nullptr };
        event* timer { nullptr };
        std::string path;
        std::string body;
        FaultDecision decision;
        std::optional<ServiceAnswer> answer;
    };

    void open()
    {
        if (m_socket)
            return;
        m_socket = evhttp_bind_socket_with_handle(m_http, m_options.address.c_str(), m_options.port);
        // The port stays the same over a refusal.
        if (m_socket)
            m_options.port = portOf(m_socket);
    }

    void close()
    {
        if (!m_socket)
            return;
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }

    static void onControl(evhttp_request* request, void* argument)
    {
        static_cast<Implementation*>(argument)->serveControl(request);
    }

    void serveControl(evhttp_request* request)
    {
        std::string_view path = evhttp_request_get_uri(request);
        auto method = evhttp_request_get_command(request);
        if (path == "/counters" && method == EVHTTP_REQ_GET) {
            reply(request, { .status = 200, .body = encodeCounters(m_service.counters) });
        } else if (path == "/control" && method == EVHTTP_REQ_GET) {
            reply(request, { .status = 200, .body = encodeFaultSettings(m_faults.settings()) });
        } else if (path == "/control" && method == EVHTTP_REQ_POST) {
            auto settings = decodeFaultSettings(bodyOf(request));
            if (settings)
                setFaults(*settings);
            reply(request, { .status = settings ? 200 : 400, .body = encodeFaultSettings(m_faults.settings()) });
        } else {
            reply(request, { .status = 404, .body = "{}" });
        }
    }

    static void onRequest(evhttp_request* request, void* argument)
    {
        auto& self = *static_cast<Implementation*>(argument);
        std::string_view path = evhttp_request_get_uri(request);
        if (path == "/control" || path == "/counters")
            self.serveControl(request);
        else
            self.accept(request, path);
    }

    void accept(evhttp_request* request, std::string_view path)
    {
        auto& job = m_jobs.emplace_back();
        job.owner = this;
        job.place = std::prev(m_jobs.end());
        job.request = request;
        job.path = path;
        job.body = bodyOf(request);
        job.decision = m_faults.decide(steadyNow(), m_service.isWrite(path), m_service.counters);
        job.timer = event_new(m_base, -1, 0, &Implementation::onTimer, &job);
        if (!job.decision.applyDelay.count())
            apply(job);
        // Also without a delay the answer is sent from the loop: a connection must not be freed inside evhttp's
        // callback.
        auto delay = toTimeval(job.answer ? job.decision.answerDelay : job.decision.applyDelay);
        event_add(job.timer, &delay);
    }

    void apply(Job& job)
    {
        if (job.decision.isRefused) {
            job.answer = ServiceAnswer {};
        } else if (job.decision.throttledFor) {
            auto body = encodeError({ .code = StoreErrorCode::Throttled, .retryAfter = *job.decision.throttledFor });
            job.answer = ServiceAnswer { .status = statusOf(StoreErrorCode::Throttled), .body = std::move(body) };
        } else {
            job.answer = m_service.serve(steadyNow(), job.path, job.body);
        }
    }

    static void onTimer(evutil_socket_t, short, void* argument)
    {
        auto& job = *static_cast<Job*>(argument);
        if (!job.answer)
            job.owner->apply(job);
        job.owner->finish(job);
    }

    void finish(Job& job)
    {
        bool isSilent = job.decision.isRefused || job.decision.dropsAnswer;
        auto* connection = evhttp_request_get_connection(job.request);
        // Freeing the connection frees its request. Without a connection evhttp only frees the request.
        if (isSilent && connection)
            evhttp_connection_free(connection);
        else
            reply(job.request, *job.answer);
        event_free(job.timer);
        m_jobs.erase(job.place);
    }

    event_base* m_base;
    StoreService& m_service;
    StoreServerOptions m_options;
    FaultInjector m_faults;
    evhttp* m_http;
    evhttp* m_controlHttp;
    evhttp_bound_socket* m_socket { nullptr };
    uint16_t m_controlPort { 0 };
    std::list<Job> m_jobs;
};

StoreServer::StoreServer(event_base* base, StoreService& service, StoreServerOptions options)
    : m_implementation(std::make_unique<Implementation>(base, service, std::move(options)))
{
}

StoreServer::~StoreServer() = default;
bool StoreServer::isListening() const { return m_implementation->isListening(); }
uint16_t StoreServer::port() const { return m_implementation->port(); }
uint16_t StoreServer::controlPort() const { return m_implementation->controlPort(); }
FaultInjector& StoreServer::faults() { return m_implementation->faults(); }
void StoreServer::setFaults(const FaultSettings& settings) { m_implementation->setFaults(settings); }

} // namespace Berylport
