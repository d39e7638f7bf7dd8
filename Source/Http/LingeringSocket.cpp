#include "Http/LingeringSocket.h"

#include <array>
#include <cerrno>
#include <event2/util.h>
#include <sys/socket.h>
#include <utility>

namespace Berylport {

LingeringSocket::LingeringSocket(event_base* base, evutil_socket_t fd, Duration time, std::function<void()> onEnd)
    : m_fd(fd)
    , m_onEnd(std::move(onEnd))
    , m_event(event_new(base, fd, EV_READ | EV_PERSIST, handleRead, this))
    , m_timer(evtimer_new(base, handleTimer, this))
{
    event_add(m_event.get(), nullptr);
    startTimer(m_timer.get(), time);
}

LingeringSocket::~LingeringSocket()
{
    m_event.reset();
    evutil_closesocket(m_fd);
}

void LingeringSocket::handleRead(evutil_socket_t fd, short, void* argument)
{
    std::array<char, 16 * 1024> buf;
    auto n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (!n || (n < 0 && errno != EAGAIN && errno != EINTR))
        static_cast<LingeringSocket*>(argument)->end();
}

void LingeringSocket::handleTimer(evutil_socket_t, short, void* argument)
{
    static_cast<LingeringSocket*>(argument)->end();
}

void LingeringSocket::end()
{
    auto onEnd = std::move(m_onEnd);
    onEnd();
}

} // namespace Berylport
