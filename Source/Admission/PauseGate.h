// Holds all starts after a process pause until every cancel that was sent during it has been read.
#pragma once

#include "Base/Base.h"

#include <unordered_set>

namespace Berylport {

class PauseGate {
public:
    // A link that opens while the gate is closed has to be confirmed as well: its connection may have been accepted by
    // the kernel during the pause.
    void addLink(LinkId link)
    {
        if (link.isLocal() || !m_links.insert(link).second)
            return;
        if (!isOpen())
            m_unconfirmed.insert(link);
    }

    void removeLink(LinkId link)
    {
        m_links.erase(link);
        m_unconfirmed.erase(link);
    }

    // Returns the number of the pause, which the pings sent after it carry.
    uint64_t beginPause()
    {
        m_unconfirmed = m_links;
        return ++m_pause;
    }

    // Replies to pings sent before the latest pause are ignored.
    void confirmLink(LinkId link, uint64_t pause)
    {
        if (pause == m_pause)
            m_unconfirmed.erase(link);
    }

    bool isOpen() const { return m_unconfirmed.empty(); }
    uint64_t latestPause() const { return m_pause; }

private:
    std::unordered_set<LinkId> m_links;
    std::unordered_set<LinkId> m_unconfirmed;
    uint64_t m_pause { 0 };
};

} // namespace Berylport
