// Stable address of a task's mailbox: it outlives the task, which a supervisor may replace.
#pragma once

#include "Loop/Mailbox.h"

namespace Berylport {

template <typename Message> class Port {
public:
    void attach(Mailbox<Message>* mailbox) { m_mailbox = mailbox; }
    void detach() { m_mailbox = nullptr; }

    // False when no task is there; the message is dropped and the sender decides what that means.
    bool post(Message message)
    {
        if (!m_mailbox)
            return false;
        m_mailbox->post(std::move(message));
        return true;
    }

private:
    Mailbox<Message>* m_mailbox { nullptr };
};

} // namespace Berylport
