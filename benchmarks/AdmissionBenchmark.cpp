// Cost of one call through AdmissionController (offer, start, answer) and of one refusal, by the ledger's size.
#include "Admission/Admission.h"

#include <benchmark/benchmark.h>

using namespace Berylport;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

class Fixture {
public:
    // Each call is answered before the next one comes; the pace lets the ledger evict one entry for each new one.
    explicit Fixture(int64_t entries, uint32_t queueLimit = 20)
        : m_controller({ .self = node, .service = m_service })
        , m_pace((callTimeout + ledger.retention + ledger.clockSlack) / entries)
    {
        m_controller.setDefinition({ .name = m_service, .queueLimit = queueLimit });
        m_controller.setTargetState(m_now, TargetState::Ready, m_actions);
        for (int64_t i = 0; i < entries; i++)
            runCall();
    }

    void runCall()
    {
        AttemptId id = offer();
        m_controller.targetAnswered(
            m_now, id, HttpResponse { .status = 200, .reason = {}, .headers = {}, .body = {} }, m_actions);
        benchmark::DoNotOptimize(m_actions);
    }

    AttemptId offer()
    {
        m_now += m_pace;
        m_actions.clear();
        AttemptId id { .call = { .origin = node, .sequence = ++m_sequence } };
        CallRequest request { .id = id,
            .receiver = node,
            .service = m_service,
            .tenant = m_tenant,
            .deadline = m_now + callTimeout,
            .http = {} };
        m_controller.offer(m_now, LinkId {}, std::move(request), m_actions);
        return id;
    }

    size_t entries() const { return m_controller.ledger().size(); }

private:
    static constexpr NodeId node { 1 };
    static constexpr LedgerOptions ledger {};
    const ServiceName m_service { "bookings" };
    const TenantName m_tenant { "tenant" };
    AdmissionController m_controller;
    Duration m_pace;
    Instant m_now = instantFromMicroseconds(0);
    uint64_t m_sequence { 0 };
    AdmissionActions m_actions;
};

void offerStartAnswer(benchmark::State& state)
{
    Fixture fixture(state.range(0));
    for (auto _ : state)
        fixture.runCall();
    state.counters["entries"] = static_cast<double>(fixture.entries());
}

// All slots are taken and nothing may wait: every offer is refused and leaves a tombstone.
void offerRefused(benchmark::State& state)
{
    Fixture fixture(state.range(0), 0);
    for (int i = 0; i < 10; i++)
        fixture.offer();
    for (auto _ : state)
        benchmark::DoNotOptimize(fixture.offer());
    state.counters["entries"] = static_cast<double>(fixture.entries());
}

BENCHMARK(offerStartAnswer)->Arg(10)->Arg(1'000)->Arg(60'000);
BENCHMARK(offerRefused)->Arg(10)->Arg(1'000)->Arg(60'000);

} // namespace

BENCHMARK_MAIN();
