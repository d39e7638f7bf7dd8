// Joins libevent and KJ: libevent waits, and a zero timeout of libevent runs the KJ queue.
#include "Loop/EventLoop.h"

#include "Loop/Timer.h"

#include <atomic>
#include <deque>
#include <event2/event.h>
#include <kj/async.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

constexpr int priorityCount = 2;
// KJ events run in one turn before sockets and timers are looked at again.
constexpr unsigned maximumKjTurns = 1000;

event_base* createBase()
{
    event_config* config = event_config_new();
    if (!config)
        throw std::bad_alloc();
    // The default timers follow a coarse clock with steps of 4 ms, which is more than the latency budget of a call.
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    if (!base)
        throw std::runtime_error("event_base_new failed");
    event_base_priority_init(base, priorityCount);
    return base;
}

} // namespace

void EventDeleter::operator()(event* ev) const { event_free(ev); }

struct EventLoop::Private final : kj::EventPort {
    explicit Private(EventLoop& owner)
        : m_owner(owner)
        , m_base(createBase())
        , m_wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        , m_kjLoop(*this)
        , m_waitScope(m_kjLoop)
    {
        if (m_wakeFd < 0)
            throw std::runtime_error("eventfd failed");
        m_wakeEvent.reset(event_new(m_base.get(), m_wakeFd, EV_READ | EV_PERSIST, &Private::onWake, this));
        m_kjEvent.reset(event_new(m_base.get(), -1, 0, &Private::onKjRunnable, this));
        m_postEvent.reset(event_new(m_base.get(), -1, 0, &Private::onPosted, this));
        event_add(m_wakeEvent.get(), nullptr);
    }

    ~Private()
    {
        m_wakeEvent.reset();
        close(m_wakeFd);
    }

    bool wait() override
    {
        turnForKj(EVLOOP_ONCE);
        return m_isWoken.exchange(false);
    }

    bool poll() override
    {
        turnForKj(EVLOOP_NONBLOCK);
        return m_isWoken.exchange(false);
    }

    void setRunnable(bool isRunnable) override
    {
        if (isRunnable)
            activateLater(m_kjEvent.get());
        else if (m_kjEvent)
            event_del(m_kjEvent.get());
    }

    void wake() const override
    {
        m_isWoken = true;
        uint64_t n = 1;
        // Fails only when the counter is full, and then the loop is awake already.
        [[maybe_unused]] ssize_t written = write(m_wakeFd, &n, sizeof n);
    }

    // A zero timeout is due in the next turn, unlike event_active(), which can extend the current turn without end.
    static void activateLater(event* ev)
    {
        timeval none {};
        if (ev)
            event_add(ev, &none);
    }

    void turn(int flags)
    {
        // KJ reports only changes, so a queue that Promise::wait() left filled has to be noticed here.
        if (m_kjLoop.isRunnable())
            activateLater(m_kjEvent.get());
        event_base_loop(m_base.get(), flags);
        rethrowFailure();
        if (m_isWoken)
            m_waitScope.poll();
    }

    void turnForKj(int flags)
    {
        m_isInsideKj = true;
        event_base_loop(m_base.get(), flags);
        m_isInsideKj = false;
        rethrowFailure();
    }

    void rethrowFailure()
    {
        if (m_failure)
            std::rethrow_exception(std::exchange(m_failure, nullptr));
    }

    static void onWake(evutil_socket_t fd, short, void* self)
    {
        uint64_t n;
        [[maybe_unused]] ssize_t count = read(fd, &n, sizeof n);
        event_base_loopbreak(static_cast<Private*>(self)->m_base.get());
    }

    static void onKjRunnable(evutil_socket_t, short, void* argument)
    {
        auto& self = *static_cast<Private*>(argument);
        // Promise::wait() runs the queue itself as soon as the port returns.
        if (self.m_isInsideKj)
            return;
        self.m_owner.guard([&self] { self.m_kjLoop.run(maximumKjTurns); });
        if (self.m_kjLoop.isRunnable())
            activateLater(self.m_kjEvent.get());
    }

    static void onPosted(evutil_socket_t, short, void* argument)
    {
        auto& self = *static_cast<Private*>(argument);
        // Functions posted from now on belong to a later turn.
        for (size_t n = self.m_posted.size(); n > 0; --n) {
            auto function = std::move(self.m_posted.front());
            self.m_posted.pop_front();
            self.m_owner.guard(function);
        }
        if (!self.m_posted.empty())
            activateLater(self.m_postEvent.get());
    }

    struct BaseDeleter {
        void operator()(event_base* base) const { event_base_free(base); }
    };

    EventLoop& m_owner;
    std::unique_ptr<event_base, BaseDeleter> m_base;
    int m_wakeFd;
    mutable std::atomic<bool> m_isWoken { false };
    EventPointer m_wakeEvent;
    EventPointer m_kjEvent;
    EventPointer m_postEvent;
    std::deque<std::function<void()>> m_posted;
    std::exception_ptr m_failure;
    bool m_isInsideKj { false };
    bool m_isStopped { false };
    // Destroyed before the events, which its last promises may still change.
    kj::EventLoop m_kjLoop;
    kj::WaitScope m_waitScope;
};

EventLoop::EventLoop()
    : m_private(std::make_unique<Private>(*this))
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_private->m_isStopped = false;
    while (!m_private->m_isStopped)
        m_private->turn(EVLOOP_ONCE);
}

void EventLoop::runOnce(Duration maximumWait)
{
    Timer limit(*this, [] {});
    limit.startOnce(maximumWait);
    m_private->turn(EVLOOP_ONCE);
}

bool EventLoop::runUntil(const std::function<bool()>& condition, Duration limit)
{
    Instant end = steadyNow() + limit;
    while (!condition()) {
        Instant now = steadyNow();
        if (now >= end)
            return false;
        runOnce(end - now);
    }
    return true;
}

void EventLoop::stop()
{
    m_private->m_isStopped = true;
    event_base_loopbreak(m_private->m_base.get());
}

void EventLoop::post(std::function<void()> function)
{
    m_private->m_posted.push_back(std::move(function));
    Private::activateLater(m_private->m_postEvent.get());
}

void EventLoop::wake() const { m_private->wake(); }

void EventLoop::fail(std::exception_ptr failure) noexcept
{
    if (!m_private->m_failure)
        m_private->m_failure = std::move(failure);
    event_base_loopbreak(m_private->m_base.get());
}

event_base* EventLoop::base() const { return m_private->m_base.get(); }

kj::WaitScope& EventLoop::waitScope() { return m_private->m_waitScope; }

} // namespace Berylport
