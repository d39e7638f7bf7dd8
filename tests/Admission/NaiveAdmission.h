// The obvious admission that the tests compare against: a FIFO of bounded or unbounded length, remaining time counted
// from receipt, no ledger, no tombstones, no pause gate. It breaks the promises on purpose.
#pragma once

#include "Admission/Admission.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>

namespace Berylport {

class NaiveAdmission {
public:
    NaiveAdmission(uint16_t slots, size_t queueLimit, bool dropsExpired)
        : m_slots(slots)
        , m_queueLimit(queueLimit)
        , m_dropsExpired(dropsExpired)
    {
    }

    void setSlots(Instant now, uint16_t slots, AdmissionActions& actions)
    {
        m_slots = slots;
        tick(now, actions);
    }
    void setTargetState(Instant, TargetState, AdmissionActions&) { }
    void linkOpened(LinkId) { }
    void linkClosed(Instant, LinkId, AdmissionActions&) { }
    uint64_t pauseDetected(Instant, AdmissionActions&) { return 0; }
    void linkConfirmed(Instant, LinkId, uint64_t, AdmissionActions&) { }

    void offer(Instant now, LinkId link, CallRequest request, AdmissionActions& actions)
    {
        if (m_queue.size() >= m_queueLimit && m_running.size() >= m_slots) {
            refuse(link, request.id, RefusalReason::QueueFull, actions);
            return;
        }
        request.deadline = now + findTimeout(request);
        m_queue.emplace_back(link, std::move(request));
        tick(now, actions);
    }
    void cancel(Instant, const CallCancel& message, AdmissionActions& actions)
    {
        auto it = std::ranges::find_if(m_queue, [&](auto& queued) { return queued.second.id == message.id; });
        if (it == m_queue.end())
            return;
        refuse(it->first, message.id, RefusalReason::Cancelled, actions);
        m_queue.erase(it);
    }
    void query(Instant, LinkId link, const CallQuery& message, AdmissionActions& actions)
    {
        if (m_running.contains(message.id))
            actions.push_back(AnswerQuery { .link = link, .reply = CallPending { .id = message.id } });
        else
            actions.push_back(AnswerQuery { .link = link, .reply = CallRefused { .id = message.id, .load = {} } });
    }
    void targetAnswered(Instant now, const AttemptId& id, HttpResponse answer, AdmissionActions& actions)
    {
        end(now, id, CallAnswered { .id = id, .http = std::move(answer), .load = {} }, actions);
    }
    void targetLost(Instant now, const AttemptId& id, LossReason reason, AdmissionActions& actions)
    {
        end(now, id, CallLost { .id = id, .reason = reason, .load = {} }, actions);
    }
    void targetNotReached(Instant now, const AttemptId& id, AdmissionActions& actions)
    {
        end(now, id, CallRefused { .id = id, .reason = RefusalReason::ConnectFailed, .load = {} }, actions);
    }
    void tick(Instant now, AdmissionActions& actions)
    {
        while (m_running.size() < m_slots && !m_queue.empty()) {
            auto [link, request] = std::move(m_queue.front());
            m_queue.pop_front();
            if (m_dropsExpired && request.deadline <= now) {
                refuse(link, request.id, RefusalReason::DeadlinePassed, actions);
                continue;
            }
            m_running[request.id] = link;
            actions.push_back(StartOnTarget { .id = request.id, .deadline = request.deadline, .http = request.http });
        }
    }
    LoadReport load(Instant) const
    {
        LoadReport report;
        report.queued = static_cast<uint16_t>(m_queue.size());
        return report;
    }

private:
    static Duration findTimeout(const CallRequest& request)
    {
        int64_t n = 0;
        if (auto text = findHeader(request.http.headers, "Berylport-Timeout-Ms"))
            std::from_chars(text->data(), text->data() + text->size(), n);
        return std::chrono::milliseconds(n);
    }
    void refuse(LinkId link, const AttemptId& id, RefusalReason reason, AdmissionActions& actions)
    {
        actions.push_back(Reply { .link = link, .reply = CallRefused { .id = id, .reason = reason, .load = {} } });
    }
    void end(Instant now, const AttemptId& id, CallReply reply, AdmissionActions& actions)
    {
        auto running = m_running.extract(id);
        if (!running.empty())
            actions.push_back(Reply { .link = running.mapped(), .reply = std::move(reply) });
        tick(now, actions);
    }

    uint16_t m_slots;
    size_t m_queueLimit;
    bool m_dropsExpired;
    std::deque<std::pair<LinkId, CallRequest>> m_queue;
    std::map<AttemptId, LinkId> m_running;
};

} // namespace Berylport
