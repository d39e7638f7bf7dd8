// Stable address of the mailbox of a task. Outlives the task, which a supervisor may replace.
#pragma once

#include "Loop/Mailbox.h"

namespace Berylport {

template <typename Message> class Port {
public:
    void attach(Mailbox<Message>* mailbox) { m_mailbox = mailbox; }
    void detach() { m_mailbox = nullptr; }

    // Returns false and drops the message if no task is attached.
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
