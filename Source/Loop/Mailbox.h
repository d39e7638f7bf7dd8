// Queue of messages to one task. Messages arrive in the order of posting, each in a later turn than its post.
#pragma once

#include "Loop/Timer.h"

#include <deque>
#include <functional>
#include <memory>

namespace Berylport {

template <typename Message> class Mailbox {
public:
    Mailbox(EventLoop& loop, std::function<void(Message&&)> receiver)
        : m_receiver(std::move(receiver))
        , m_delivery(loop, [this] { deliver(); })
        , m_alive(std::make_shared<bool>(true))
    {
    }

    ~Mailbox() { *m_alive = false; }

    void post(Message message)
    {
        m_messages.push_back(std::move(message));
        if (!m_delivery.isRunning())
            m_delivery.startOnce(Duration::zero());
    }

    size_t size() const { return m_messages.size(); }

private:
    void deliver()
    {
        // Messages posted by the receiver belong to a later turn. The receiver may destroy the mailbox.
        auto alive = m_alive;
        auto receiver = m_receiver;
        for (size_t n = m_messages.size(); n > 0 && *alive; --n) {
            if (n > 1 || m_messages.size() > 1)
                m_delivery.startOnce(Duration::zero());
            Message message = std::move(m_messages.front());
            m_messages.pop_front();
            receiver(std::move(message));
        }
    }

    std::function<void(Message&&)> m_receiver;
    std::deque<Message> m_messages;
    Timer m_delivery;
    std::shared_ptr<bool> m_alive;
};

} // namespace Berylport
