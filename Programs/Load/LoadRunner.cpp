// One timer sends all calls that are due; answers arrive through the clients.
#include "Load/LoadRunner.h"

#include <variant>

namespace Berylport {

namespace {

// A node's own answer at the deadline arrives a little after it. Only a node that gives no answer at all reaches this.
constexpr Duration answerGrace = std::chrono::seconds(2);
// As many connections as a node accepts by default.
constexpr uint32_t maximumConnections = 1000;
// The first call would otherwise be due before the loop runs, and its latency would include the loop's own start.
constexpr Duration startDelay = std::chrono::milliseconds(20);

struct ResultReader {
    bool isDirect;
    CallRecord& record;

    void operator()(const HttpResponse& response) const
    {
        record.status = response.status;
        auto outcome = findHeader(response.headers, "Berylport-Outcome");
        record.outcome = isDirect ? CallOutcome::Run : parseCallOutcome(outcome.value_or(""));
    }
    void operator()(const NotSent& result) const { record.error = toText(result.reason); }
    void operator()(const Lost& result) const { record.error = toText(result.reason); }
};

} // namespace

LoadRunner::LoadRunner(event_base* base, LoadOptions options, std::vector<Duration> arrivals)
    : m_base(base)
    , m_options(std::move(options))
    , m_body(m_options.bodyBytes, 'x')
    , m_arrivals(std::move(arrivals))
    , m_records(m_arrivals.size())
    , m_timer(evtimer_new(
          base, [](evutil_socket_t, short, void* it) { static_cast<LoadRunner*>(it)->sendDue(); }, this))
{
    for (auto& it : m_options.endpoints)
        m_clients.push_back(
            std::make_unique<TargetClient>(base, it, TargetClientOptions { .maxConnections = maximumConnections }));
}

void LoadRunner::run()
{
    if (m_arrivals.empty())
        return;
    m_start = steadyNow() + startDelay;
    startTimer(m_timer.get(), startDelay);
    event_base_dispatch(m_base);
}

void LoadRunner::sendDue()
{
    Instant now = steadyNow();
    while (m_next < m_arrivals.size() && m_start + m_arrivals[m_next] <= now)
        send(m_next++, now);
    if (m_next < m_arrivals.size())
        startTimer(m_timer.get(), m_start + m_arrivals[m_next] - steadyNow());
}

void LoadRunner::send(size_t index, Instant now)
{
    Instant scheduled = m_start + m_arrivals[index];
    m_maximumSendDelay = std::max(m_maximumSendDelay, now - scheduled);
    // Connections are reused as for idempotent requests; the client sends no request twice.
    SendOptions options { .deadline = now + m_options.timeout + answerGrace, .isIdempotent = true };
    m_clients[index % m_clients.size()]->send(
        makeRequest(index), options, [this, index](SendResult result) { finish(index, result); });
}

void LoadRunner::finish(size_t index, const SendResult& result)
{
    auto& record = m_records[index];
    record.latency = steadyNow() - (m_start + m_arrivals[index]);
    std::visit(ResultReader { .isDirect = m_options.isDirect, .record = record }, result);
    if (++m_finished == m_records.size())
        event_base_loopbreak(m_base);
}

HttpRequest LoadRunner::makeRequest(size_t index) const
{
    HttpRequest request { .method = m_options.method, .target = m_options.path, .headers = {}, .body = m_body };
    setHeader(request.headers, "Berylport-Service", m_options.service);
    setHeader(request.headers, "Berylport-Timeout-Ms", std::to_string(toMilliseconds(m_options.timeout)));
    if (!m_options.tenant.empty())
        setHeader(request.headers, "Berylport-Tenant", m_options.tenant);
    setHeader(request.headers, "X-Request-Tag", "load-" + std::to_string(index));
    return request;
}

} // namespace Berylport
