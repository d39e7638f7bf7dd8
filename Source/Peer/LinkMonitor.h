// Decides when a link is pinged and when it is given up, from what the peer owes on it. No sockets, no clock.
#pragma once

#include "Base/Time.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Berylport {

struct LinkMonitorOptions {
    // Pings of a link at rest.
    Duration pingInterval { std::chrono::milliseconds(500) };
    // A link on which nothing is received for this long is closed.
    Duration inactivityTimeout { std::chrono::seconds(3) };
    // While calls have no reply, a peer that is not heard for this long is pinged: the reply to a ping does not depend
    // on how long a target works.
    Duration owedInterval { std::chrono::milliseconds(250) };
    // Such a ping has to be answered within this many round trips of the link, and within the minimum at the least.
    int64_t roundTrips { 8 };
    Duration minimumReplyTime { std::chrono::milliseconds(400) };
};

// Only time in which this process ran counts as silence of the peer.
class LinkMonitor {
public:
    enum class Step : uint8_t {
        None,
        Ping,
        Close,
    };

    LinkMonitor(LinkMonitorOptions options, Instant now)
        : m_options(options)
        , m_lastUpdate(now)
    {
        schedule(false);
    }

    // A byte was received.
    void recordHeard(Instant now)
    {
        advance(now);
        m_silence = {};
        m_pingSilence = {};
    }

    void recordPing(Instant now)
    {
        advance(now);
        m_pingSentAt = now;
        m_pingSilence = {};
        m_sincePing = {};
    }

    void recordPingReply(Instant now)
    {
        if (auto sentAt = std::exchange(m_pingSentAt, std::nullopt)) {
            Duration roundTrip = now - *sentAt;
            m_roundTrip = m_roundTrip == Duration() ? roundTrip : (7 * m_roundTrip + roundTrip) / 8;
        }
        recordHeard(now);
    }

    // A call was sent on a link that owed nothing. The next check may be sooner.
    void recordOwed(Instant now)
    {
        advance(now);
        m_owedSilence = {};
        schedule(true);
    }

    // To be called at nextCheck(). isOwed: a call has no reply.
    Step check(Instant now, bool isOwed)
    {
        advance(now);
        Step step = decide(isOwed);
        schedule(isOwed);
        return step;
    }
    Instant nextCheck() const { return m_nextCheck; }

    // How long a ping may be without a reply while calls wait.
    Duration replyTime() const
    {
        Duration limit = std::max(m_options.minimumReplyTime, m_options.roundTrips * m_roundTrip);
        return std::min(limit, m_options.inactivityTimeout);
    }

private:
    // Checks of a late reply in the time that it may take.
    static constexpr int64_t replyChecks = 4;

    // A gap beyond the planned one means that this process was stalled and could not have read a reply.
    void advance(Instant now)
    {
        Duration elapsed = std::min(now - m_lastUpdate, 2 * m_plannedGap);
        m_lastUpdate = now;
        for (auto* it : { &m_silence, &m_pingSilence, &m_owedSilence, &m_sincePing })
            *it += elapsed;
    }

    Step decide(bool isOwed) const
    {
        bool isReplyLate = isOwed && m_pingSentAt && m_pingSilence >= replyTime();
        if (isReplyLate || m_silence >= m_options.inactivityTimeout)
            return Step::Close;
        bool isDue = m_sincePing >= m_options.pingInterval || (isOwed && unheard() >= m_options.owedInterval);
        return !m_pingSentAt && isDue ? Step::Ping : Step::None;
    }

    // How long a peer that owes replies has not been heard.
    Duration unheard() const { return std::min(m_silence, m_owedSilence); }

    void schedule(bool isOwed)
    {
        Duration wait = m_options.pingInterval - m_sincePing;
        if (isOwed && m_pingSentAt)
            wait = replyTime() / replyChecks;
        else if (isOwed)
            wait = std::min(wait, m_options.owedInterval - unheard());
        // A ping is due, or its reply is waited for at rest.
        if (wait <= Duration::zero())
            wait = isOwed ? replyTime() / replyChecks : m_options.pingInterval;
        m_plannedGap = wait;
        m_nextCheck = m_lastUpdate + wait;
    }

    LinkMonitorOptions m_options;
    Instant m_lastUpdate;
    Instant m_nextCheck;
    // From the last check to the next one.
    Duration m_plannedGap {};
    // Since the peer was heard.
    Duration m_silence {};
    // Since the latest ping, or since the peer was heard, whichever is shorter.
    Duration m_pingSilence {};
    // Since calls have been without a reply.
    Duration m_owedSilence {};
    Duration m_sincePing {};
    std::optional<Instant> m_pingSentAt;
    // Smoothed; zero before the first reply.
    Duration m_roundTrip {};
};

} // namespace Berylport
