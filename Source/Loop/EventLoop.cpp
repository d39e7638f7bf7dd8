// Joins libevent and KJ: libevent waits, and a zero timeout of libevent runs the KJ queue.
#include "Loop/EventLoop.h"

#include "Loop/Timer.h"

#include <atomic>
#include <csignal>
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
    explicit Private(EventLoop& eventLoop)
        : owner(eventLoop)
        , base(createBase())
        , wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        , kjLoop(*this)
        , waitScope(kjLoop)
    {
        if (wakeFd < 0)
            throw std::runtime_error("eventfd failed");
        wakeEvent.reset(event_new(base.get(), wakeFd, EV_READ | EV_PERSIST, &Private::onWake, this));
        kjEvent.reset(event_new(base.get(), -1, 0, &Private::onKjRunnable, this));
        postEvent.reset(event_new(base.get(), -1, 0, &Private::onPosted, this));
        event_add(wakeEvent.get(), nullptr);
    }

    ~Private()
    {
        // Posted functions may own promises and timers, so they go first. Their destructors may post again.
        while (!posted.empty())
            std::exchange(posted, {}).clear();
        wakeEvent.reset();
        close(wakeFd);
    }

    bool wait() override
    {
        turnForKj(EVLOOP_ONCE);
        return isWoken.exchange(false);
    }

    bool poll() override
    {
        turnForKj(EVLOOP_NONBLOCK);
        return isWoken.exchange(false);
    }

    void setRunnable(bool isRunnable) override
    {
        if (isRunnable)
            activateLater(kjEvent.get());
        else if (kjEvent)
            event_del(kjEvent.get());
    }

    void wake() const override
    {
        isWoken = true;
        uint64_t n = 1;
        // Fails only when the counter is full, and then the loop is awake already.
        [[maybe_unused]] ssize_t written = write(wakeFd, &n, sizeof n);
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
        if (kjLoop.isRunnable())
            activateLater(kjEvent.get());
        event_base_loop(base.get(), flags);
        rethrowFailure();
        if (isWoken)
            waitScope.poll();
    }

    void turnForKj(int flags)
    {
        isInsideKj = true;
        event_base_loop(base.get(), flags);
        isInsideKj = false;
        rethrowFailure();
    }

    void rethrowFailure()
    {
        if (failure)
            std::rethrow_exception(std::exchange(failure, nullptr));
    }

    static void onWake(evutil_socket_t fd, short, void* self)
    {
        uint64_t n;
        [[maybe_unused]] ssize_t count = read(fd, &n, sizeof n);
        event_base_loopbreak(static_cast<Private*>(self)->base.get());
    }

    static void onKjRunnable(evutil_socket_t, short, void* argument)
    {
        auto& self = *static_cast<Private*>(argument);
        // Promise::wait() runs the queue itself as soon as the port returns.
        if (self.isInsideKj)
            return;
        self.owner.guard([&self] { self.kjLoop.run(maximumKjTurns); });
        if (self.kjLoop.isRunnable())
            activateLater(self.kjEvent.get());
    }

    static void onPosted(evutil_socket_t, short, void* argument)
    {
        auto& self = *static_cast<Private*>(argument);
        // Functions posted from now on belong to a later turn.
        for (size_t n = self.posted.size(); n > 0; --n) {
            auto function = std::move(self.posted.front());
            self.posted.pop_front();
            self.owner.guard(function);
        }
        if (!self.posted.empty())
            activateLater(self.postEvent.get());
    }

    struct BaseDeleter {
        void operator()(event_base* base) const { event_base_free(base); }
    };

    EventLoop& owner;
    std::unique_ptr<event_base, BaseDeleter> base;
    int wakeFd;
    mutable std::atomic<bool> isWoken { false };
    EventPointer wakeEvent;
    EventPointer kjEvent;
    EventPointer postEvent;
    std::deque<std::function<void()>> posted;
    std::exception_ptr failure;
    bool isInsideKj { false };
    bool isStopped { false };
    // Destroyed before the events, which its last promises may still change.
    kj::EventLoop kjLoop;
    kj::WaitScope waitScope;
};

EventLoop::EventLoop()
    : m_private(std::make_unique<Private>(*this))
{
    // A write to a connection that its peer has closed fails with EPIPE; by default it would end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_private->isStopped = false;
    while (!m_private->isStopped)
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
    m_private->isStopped = true;
    event_base_loopbreak(m_private->base.get());
}

void EventLoop::post(std::function<void()> function)
{
    m_private->posted.push_back(std::move(function));
    Private::activateLater(m_private->postEvent.get());
}

void EventLoop::wake() const { m_private->wake(); }

void EventLoop::fail(std::exception_ptr failure) noexcept
{
    if (!m_private->failure)
        m_private->failure = std::move(failure);
    event_base_loopbreak(m_private->base.get());
}

event_base* EventLoop::base() const { return m_private->base.get(); }

kj::WaitScope& EventLoop::waitScope() { return m_private->waitScope; }

} // namespace Berylport
