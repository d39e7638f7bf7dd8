// Admission, ledger and execution of the fake receiver.
#include "Scenarios/Engine/FakeReceiver.h"

#include "Base/Overloaded.h"

#include <algorithm>

namespace Berylport::Scenario {

namespace {

constexpr Duration refusalRetryAfter = std::chrono::milliseconds(100);

QueryReply toQueryReply(const CallReply& reply)
{
    return std::visit([](const auto& message) { return QueryReply(message); }, reply);
}

} // namespace

void FakeReceiver::offer(const CallRequest& request, Instant now, ReceiverEvents& events)
{
    auto it = m_entries.find(request.id);
    if (it != m_entries.end()) {
        // A duplicate joins the running one or gets the held reply.
        if (it->second.state == State::Finished || it->second.state == State::Refused)
            events.emplace_back(it->second.reply);
        return;
    }
    if (request.receiver != m_node)
        return refuse(request.id, RefusalReason::WrongNode, events);
    if (request.deadline <= now)
        return refuse(request.id, RefusalReason::DeadlinePassed, events);
    if (m_behaviour.isDraining)
        return refuse(request.id, RefusalReason::Draining, events);
    if (m_running.size() >= m_behaviour.slots && m_queue.size() >= m_behaviour.queueLimit)
        return refuse(request.id, RefusalReason::QueueFull, events);
    auto& entry = m_entries[request.id];
    entry.request = request;
    m_queue.push_back(request.id);
    startQueued(now, events);
}

void FakeReceiver::cancel(const CallCancel& cancelled, Instant now, ReceiverEvents& events)
{
    auto it = m_entries.find(cancelled.id);
    if (it == m_entries.end()) {
        // The cancel overtook the request.
        refuse(cancelled.id, RefusalReason::Cancelled, events);
        return;
    }
    auto& entry = it->second;
    if (entry.state == State::Queued) {
        std::erase(m_queue, cancelled.id);
        refuse(cancelled.id, RefusalReason::Cancelled, events);
    } else if (entry.state == State::Running) {
        std::erase_if(m_running, [&](const auto& running) { return running.second == cancelled.id; });
        CallLost lost;
        lost.id = cancelled.id;
        lost.reason = LossReason::TargetClosed;
        endRunning(entry, lost, events);
    }
    startQueued(now, events);
}

void FakeReceiver::query(const CallQuery& asked, Instant, ReceiverEvents& events)
{
    auto it = m_entries.find(asked.id);
    if (it == m_entries.end()) {
        ReceiverEvents refusal;
        refuse(asked.id, RefusalReason::RefusedBefore, refusal);
        it = m_entries.find(asked.id);
    }
    bool hasEnded = it->second.state == State::Finished || it->second.state == State::Refused;
    events.emplace_back(hasEnded ? toQueryReply(it->second.reply) : QueryReply(CallPending { asked.id }));
}

void FakeReceiver::tick(Instant now, ReceiverEvents& events)
{
    while (!m_running.empty() && m_running.begin()->first <= now) {
        auto& entry = m_entries.at(m_running.begin()->second);
        m_running.erase(m_running.begin());
        endRunning(entry, makeReply(entry), events);
    }
    startQueued(now, events);
}

std::optional<Instant> FakeReceiver::nextWake() const
{
    if (m_running.empty())
        return std::nullopt;
    return m_running.begin()->first;
}

void FakeReceiver::refuse(const AttemptId& id, RefusalReason reason, ReceiverEvents& events)
{
    CallRefused refused;
    refused.id = id;
    refused.reason = reason;
    refused.retryAfter = refusalRetryAfter;
    refused.load = load();
    auto& entry = m_entries[id];
    entry.state = State::Refused;
    entry.reply = refused;
    events.emplace_back(entry.reply);
}

void FakeReceiver::startQueued(Instant now, ReceiverEvents& events)
{
    while (!m_queue.empty() && m_running.size() < m_behaviour.slots) {
        auto id = m_queue.front();
        m_queue.pop_front();
        auto& entry = m_entries.at(id);
        if (entry.request.deadline <= now) {
            refuse(id, RefusalReason::DeadlinePassed, events);
            continue;
        }
        entry.state = State::Running;
        m_running.emplace(now + m_behaviour.serviceTime, id);
        events.emplace_back(AttemptStarted { id });
    }
}

void FakeReceiver::endRunning(Entry& entry, CallReply reply, ReceiverEvents& events)
{
    entry.state = State::Finished;
    entry.reply = std::move(reply);
    events.emplace_back(entry.reply);
}

CallReply FakeReceiver::makeReply(const Entry& entry) const
{
    if (m_behaviour.closesConnection) {
        CallLost lost;
        lost.id = entry.request.id;
        lost.reason = LossReason::TargetClosed;
        lost.load = load();
        return lost;
    }
    CallAnswered answered;
    answered.id = entry.request.id;
    answered.http.status = m_behaviour.status;
    // The answer repeats the request, so that a test sees whose answer it is.
    answered.http.body = entry.request.http.body;
    answered.load = load();
    return answered;
}

LoadReport FakeReceiver::load() const
{
    LoadReport report;
    report.slots = m_behaviour.slots;
    report.running = static_cast<uint16_t>(m_running.size());
    report.queued = static_cast<uint16_t>(m_queue.size());
    report.serviceTime = m_behaviour.serviceTime;
    return report;
}

} // namespace Berylport::Scenario
