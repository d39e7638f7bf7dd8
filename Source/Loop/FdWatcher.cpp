// Readiness of a file descriptor on libevent.
#include "Loop/FdWatcher.h"

#include <event2/event.h>

namespace Berylport {

FdWatcher::FdWatcher(EventLoop& loop, int fd, FdInterest interest, std::function<void()> function)
    : m_loop(loop)
    , m_function(std::move(function))
{
    short what = interest == FdInterest::Read ? EV_READ : EV_WRITE;
    m_event.reset(event_new(loop.base(), fd, static_cast<short>(what | EV_PERSIST), &FdWatcher::onReady, this));
}

void FdWatcher::start() { event_add(m_event.get(), nullptr); }

void FdWatcher::stop() { event_del(m_event.get()); }

void FdWatcher::onReady(int, short, void* argument)
{
    auto& self = *static_cast<FdWatcher*>(argument);
    EventLoop& loop = self.m_loop;
    // Copied, as the function may destroy the watcher.
    auto function = self.m_function;
    loop.guard(function);
}

} // namespace Berylport
