// Virtual time and processes that can be paused or crashed, for deterministic tests.
#pragma once

#include "Base/Base.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace Berylport::Testing {

class VirtualTime {
public:
    Instant now() const { return m_now; }

    void at(Instant when, std::function<void()> function)
    {
        m_events.emplace(std::pair(std::max(when, m_now), m_sequence++), std::move(function));
    }

    void after(Duration delay, std::function<void()> function) { at(m_now + delay, std::move(function)); }

    // False when there is no event up to that time.
    bool runNext(Instant until)
    {
        if (m_events.empty() || m_events.begin()->first.first > until)
            return false;
        auto node = m_events.extract(m_events.begin());
        m_now = node.key().first;
        node.mapped()();
        return true;
    }

    void runUntil(Instant until)
    {
        while (runNext(until)) { }
        m_now = std::max(m_now, until);
    }

    void runFor(Duration duration) { runUntil(m_now + duration); }

private:
    Instant m_now {};
    uint64_t m_sequence { 0 };
    std::map<std::pair<Instant, uint64_t>, std::function<void()>> m_events;
};

// What runs in it runs late after a pause and never after a crash. It has its own clock.
class FakeProcess : public std::enable_shared_from_this<FakeProcess> {
public:
    // The clock runs `rate` times as fast as virtual time.
    FakeProcess(VirtualTime& time, Duration offset = {}, double rate = 1)
        : m_time(time)
        , m_offset(offset)
        , m_rate(rate)
    {
    }

    VirtualTime& time() { return m_time; }

    Instant localNow() const
    {
        auto elapsed = static_cast<double>(toMicroseconds(m_time.now())) * m_rate;
        return instantFromMicroseconds(static_cast<int64_t>(elapsed)) + m_offset;
    }

    // Virtual time at which the local clock shows `local`.
    Instant toVirtual(Instant local) const
    {
        auto elapsed = static_cast<double>(toMicroseconds(local - m_offset)) / m_rate;
        return instantFromMicroseconds(static_cast<int64_t>(elapsed) + 1);
    }

    void pauseFor(Duration duration) { m_pausedUntil = std::max(m_pausedUntil, m_time.now() + duration); }
    void crash() { m_isCrashed = true; }
    bool isCrashed() const { return m_isCrashed; }
    bool isPaused() const { return m_time.now() < m_pausedUntil; }

    void run(std::function<void()> function)
    {
        if (m_isCrashed)
            return;
        if (isPaused()) {
            m_time.at(m_pausedUntil, [self = shared_from_this(), function = std::move(function)]() mutable {
                self->run(std::move(function));
            });
            return;
        }
        function();
    }

    void runAfter(Duration delay, std::function<void()> function)
    {
        m_time.after(delay,
            [self = shared_from_this(), function = std::move(function)]() mutable { self->run(std::move(function)); });
    }

private:
    VirtualTime& m_time;
    Duration m_offset;
    double m_rate;
    Instant m_pausedUntil {};
    bool m_isCrashed { false };
};

} // namespace Berylport::Testing
