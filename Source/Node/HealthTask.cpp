// HTTP servers for readiness checks and metrics.
#include "Node/HealthTask.h"

#include "Log/Log.h"
#include "Node/MemoryLimits.h"

namespace Berylport {

HttpResponse makeMetricsPage(MetricRegistry& metrics)
{
    HttpResponse page { .status = 200, .body = metrics.textPage(steadyNow()) };
    setHeader(page.headers, "Content-Type", "text/plain; version=0.0.4");
    return page;
}

HealthTask::HealthTask(NodeContext& context)
    : Task(context.loop, "health")
    , m_context(context)
{
}

void HealthTask::listen(
    std::unique_ptr<HttpServer>& server, const std::optional<Endpoint>& endpoint, HttpServer::Handler handler)
{
    if (!endpoint)
        return;
    HttpServerOptions options { .memory
        = { .maximumBytes = memoryLimits(m_context.settings.memory).otherServerBytes } };
    server = std::make_unique<HttpServer>(m_context.loop.base(), std::move(handler), std::move(options));
    auto bound = server->listen(*endpoint);
    if (!bound)
        throw std::runtime_error("cannot listen for health checks or metrics on " + toText(*endpoint) + ": "
            + std::string(toText(bound.error())));
}

void HealthTask::start()
{
    const ListenSection& settings = m_context.settings.listen;
    listen(m_readiness, settings.readiness,
        guarded([this](HttpRequest, const Endpoint&, const Responder& responder) { answerReadiness(responder); }));
    listen(m_metrics, settings.metrics, guarded([this](HttpRequest, const Endpoint&, const Responder& responder) {
        responder.answer(makeMetricsPage(m_context.metrics));
    }));
}

void HealthTask::stop() noexcept
{
    m_readiness.reset();
    m_metrics.reset();
}

bool HealthTask::isReady() const
{
    const NodeStatus& status = m_context.status;
    return status.guard == GuardState::Confirmed && status.isDiscoveryDone && !status.isDraining;
}

void HealthTask::answerReadiness(const Responder& responder)
{
    bool isNowReady = isReady();
    const NodeStatus& status = m_context.status;
    if (m_wasReady != isNowReady) {
        logEvent(Event::ReadinessChanged,
            { { "ready", isNowReady ? "yes" : "no" }, { "configuration", std::to_string(status.configurationVersion) },
                { "members", std::to_string(status.members.size()) },
                { "draining", status.isDraining ? "yes" : "no" } });
        m_wasReady = isNowReady;
    }
    responder.answer(
        { .status = static_cast<uint16_t>(isNowReady ? 200 : 503), .body = isNowReady ? "ready\n" : "not ready\n" });
}

} // namespace Berylport
