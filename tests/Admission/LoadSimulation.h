// An open-loop load on one target in virtual time: Poisson arrivals, exponential service times, exact slots.
#pragma once

#include "Admission/AdmissionHelper.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace Berylport {

struct TenantLoadShape {
    std::string tenant;
    // Calls a second at a time of the run.
    std::function<double(Duration)> rate;
};

struct LoadShape {
    std::vector<TenantLoadShape> tenants {};
    Duration length { std::chrono::seconds(30) };
    Duration serviceTime { std::chrono::milliseconds(10) };
    Duration timeout { std::chrono::milliseconds(500) };
    // All calls carry one tenant name, so the queue cannot tell them apart.
    bool hidesTenants { false };
    uint64_t seed { 20261204 };
};

struct LoadFigures {
    size_t offered { 0 };
    size_t refused { 0 };
    // Answered before the deadline.
    size_t useful { 0 };
    std::vector<Duration> waits;

    double refusedShare() const { return static_cast<double>(refused) / static_cast<double>(offered); }
    double usefulShare() const { return static_cast<double>(useful) / static_cast<double>(offered); }
    double p99WaitMs() const
    {
        if (waits.empty())
            return 0;
        auto sorted = waits;
        std::ranges::sort(sorted);
        return static_cast<double>(sorted[sorted.size() * 99 / 100].count()) / 1000;
    }
};

// Figures are counted per tenant and per second of arrival.
template <typename Admission> class LoadSimulation {
public:
    LoadSimulation(Admission& admission, LoadShape shape)
        : m_admission(admission)
        , m_shape(std::move(shape))
        , m_random(m_shape.seed)
    {
        for (size_t i = 0; i < m_shape.tenants.size(); i++)
            scheduleArrival(i, m_start);
    }

    void run()
    {
        while (!m_events.empty()) {
            auto [at, event] = *m_events.begin();
            m_events.erase(m_events.begin());
            m_now = at;
            m_actions.clear();
            m_admission.tick(m_now, m_actions);
            event();
            handleActions();
        }
    }

    LoadFigures figures(const std::string& tenant, int firstSecond = 0, int lastSecond = 1'000) const
    {
        LoadFigures sum;
        for (auto& [key, it] : m_figures) {
            if (key.first != tenant || key.second < firstSecond || key.second > lastSecond)
                continue;
            sum.offered += it.offered;
            sum.refused += it.refused;
            sum.useful += it.useful;
            sum.waits.insert(sum.waits.end(), it.waits.begin(), it.waits.end());
        }
        return sum;
    }

private:
    struct SentCall {
        Instant arrival;
        size_t tenant { 0 };
    };

    void scheduleArrival(size_t tenant, Instant after)
    {
        double rate = m_shape.tenants[tenant].rate(after - m_start);
        Instant at = after + Duration(static_cast<int64_t>(m_random.exponential(1e6 / rate)) + 1);
        if (at - m_start < m_shape.length)
            m_events.emplace(at, [this, tenant] { arrive(tenant); });
    }

    void arrive(size_t tenant)
    {
        AttemptId id = attemptOf(++m_calls);
        m_sent[id] = { .arrival = m_now, .tenant = tenant };
        countsOf(id).offered++;
        CallShape shape { .kind = RequestKind::Idempotent, .link = LinkId {} };
        shape.tenant = m_shape.hidesTenants ? "all" : m_shape.tenants[tenant].tenant;
        auto request = makeRequest(id, m_now + m_shape.timeout, shape);
        setHeader(request.http.headers, "Berylport-Timeout-Ms", std::to_string(toMilliseconds(m_shape.timeout)));
        m_admission.offer(m_now, LinkId {}, std::move(request), m_actions);
        scheduleArrival(tenant, m_now);
    }

    void handleActions()
    {
        for (auto& it : m_actions) {
            if (auto* start = std::get_if<StartOnTarget>(&it))
                serve(start->id);
            else if (auto* reply = std::get_if<Reply>(&it))
                std::visit([&](auto& outcome) { count(outcome); }, reply->reply);
        }
    }

    void serve(const AttemptId& id)
    {
        countsOf(id).waits.push_back(m_now - m_sent[id].arrival);
        auto length = m_random.exponential(static_cast<double>(m_shape.serviceTime.count()));
        m_events.emplace(m_now + Duration(static_cast<int64_t>(length) + 1),
            [this, id] { m_admission.targetAnswered(m_now, id, {}, m_actions); });
    }

    void count(const CallRefused& reply) { countsOf(reply.id).refused++; }
    void count(const CallAnswered& reply)
    {
        countsOf(reply.id).useful += m_now <= m_sent[reply.id].arrival + m_shape.timeout;
    }
    void count(const CallLost&) { }

    LoadFigures& countsOf(const AttemptId& id)
    {
        const SentCall& sent = m_sent[id];
        auto second = std::chrono::duration_cast<std::chrono::seconds>(sent.arrival - m_start).count();
        return m_figures[{ m_shape.tenants[sent.tenant].tenant, static_cast<int>(second) }];
    }

    Admission& m_admission;
    LoadShape m_shape;
    Random m_random;
    Instant m_start = instantFromMicroseconds(0);
    Instant m_now = m_start;
    AdmissionActions m_actions;
    std::multimap<Instant, std::function<void()>> m_events;
    uint64_t m_calls { 0 };
    std::map<AttemptId, SentCall> m_sent;
    std::map<std::pair<std::string, int>, LoadFigures> m_figures;
};

} // namespace Berylport
