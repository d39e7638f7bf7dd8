// Serves the readiness endpoint and the metrics page, each on its own address.
#pragma once

#include "Http/Http.h"
#include "Node/NodeContext.h"

#include <memory>

namespace Berylport {

HttpResponse makeMetricsPage(MetricRegistry&);

class HealthTask : public Task {
public:
    explicit HealthTask(NodeContext&);

    void start() override;
    void stop() noexcept override;

private:
    void listen(std::unique_ptr<HttpServer>&, const std::optional<Endpoint>&, HttpServer::Handler);
    bool isReady() const;
    void answerReadiness(const Responder&);

    NodeContext& m_context;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
    std::optional<bool> m_wasReady;
};

} // namespace Berylport
