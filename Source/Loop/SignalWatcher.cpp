// Signals on libevent.
#include "Loop/SignalWatcher.h"

#include <event2/event.h>

namespace Berylport {

SignalWatcher::SignalWatcher(EventLoop& loop, std::initializer_list<int> signals, std::function<void(int)> function)
    : m_loop(loop)
    , m_function(std::move(function))
{
    for (int it : signals) {
        m_events.emplace_back(evsignal_new(loop.base(), it, &SignalWatcher::onSignal, this));
        event_add(m_events.back().get(), nullptr);
    }
}

void SignalWatcher::onSignal(int signal, short, void* argument)
{
    auto& self = *static_cast<SignalWatcher*>(argument);
    EventLoop& loop = self.m_loop;
    auto function = self.m_function;
    loop.guard([&function, signal] { function(signal); });
}

} // namespace Berylport
