// Calls a function whenever a file descriptor is readable or writable. Does not own the descriptor.
#pragma once

#include "Loop/EventLoop.h"

#include <functional>

namespace Berylport {

enum class FdInterest : uint8_t {
    Read,
    Write,
};

class FdWatcher {
public:
    FdWatcher(EventLoop&, int fd, FdInterest, std::function<void()>);
    FdWatcher(const FdWatcher&) = delete;
    FdWatcher& operator=(const FdWatcher&) = delete;

    void start();
    void stop();

private:
    static void onReady(int, short, void*);

    EventLoop& m_loop;
    std::function<void()> m_function;
    EventPointer m_event;
};

} // namespace Berylport
