// Delivers signals, such as SIGTERM and SIGINT, as events of the loop.
#pragma once

#include "Loop/EventLoop.h"

#include <functional>
#include <initializer_list>
#include <vector>

namespace Berylport {

class SignalWatcher {
public:
    SignalWatcher(EventLoop&, std::initializer_list<int> signals, std::function<void(int signal)>);
    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    static void onSignal(int, short, void*);

    EventLoop& m_loop;
    std::function<void(int)> m_function;
    std::vector<EventPointer> m_events;
};

} // namespace Berylport
