// End of a connection whose last answer has been sent.
#pragma once

#include "Http/EventPointers.h"

#include <functional>

namespace Berylport {

// Reads and drops what a caller still sends, for a while, because closing a socket with unread bytes makes the kernel
// send a reset, which can destroy the answer on its way.
class LingeringSocket {
public:
    // Takes the descriptor. The function runs once, at the end, and deletes this object.
    LingeringSocket(event_base*, evutil_socket_t, Duration time, std::function<void()> onEnd);
    ~LingeringSocket();
    LingeringSocket(const LingeringSocket&) = delete;
    LingeringSocket& operator=(const LingeringSocket&) = delete;

private:
    static void handleRead(evutil_socket_t, short, void*);
    static void handleTimer(evutil_socket_t, short, void*);
    void end();

    evutil_socket_t m_fd;
    std::function<void()> m_onEnd;
    TimerPointer m_event;
    TimerPointer m_timer;
};

} // namespace Berylport
