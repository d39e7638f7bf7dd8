// Guards against links that carry nothing and are not noticed, and against sound links that are given up.
#include "Peer/LinkMonitor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = instantFromMicroseconds(1'000'000);
// The options of the links between nodes.
constexpr LinkMonitorOptions options { .pingInterval = 2s, .inactivityTimeout = 5s };
// What a check may be late.
constexpr Duration timerDelay = 5ms;

// A link whose pings are answered after a delay, or never once it is silent.
class Link {
public:
    explicit Link(Duration pingDelay)
        : m_pingDelay(pingDelay)
    {
    }

    void sendCall()
    {
        if (!m_calls++)
            m_monitor.recordOwed(m_now);
    }
    void receiveReply()
    {
        --m_calls;
        m_monitor.recordHeard(m_now);
    }
    void fallSilent() { m_isSilent = true; }

    // Returns false once the link is given up.
    bool run(Duration time)
    {
        Instant end = m_now + time;
        while (!m_isClosed) {
            Instant check = m_monitor.nextCheck() + timerDelay;
            Instant next = m_replyAt ? std::min(*m_replyAt, check) : check;
            if (next > end)
                break;
            m_now = std::max(m_now, next);
            if (m_replyAt == next) {
                m_replyAt.reset();
                m_monitor.recordPingReply(m_now);
                continue;
            }
            auto step = m_monitor.check(m_now, m_calls);
            m_isClosed = step == LinkMonitor::Step::Close;
            if (step != LinkMonitor::Step::Ping)
                continue;
            ++m_pings;
            m_monitor.recordPing(m_now);
            if (!m_isSilent)
                m_replyAt = m_now + m_pingDelay;
        }
        if (!m_isClosed)
            m_now = end;
        return !m_isClosed;
    }
    // The process does not run for this long; what has arrived meanwhile is read first.
    void stall(Duration time) { m_now += time; }

    Instant now() const { return m_now; }
    uint32_t pings() const { return m_pings; }

private:
    Duration m_pingDelay;
    Instant m_now { start };
    LinkMonitor m_monitor { options, start };
    uint32_t m_calls { 0 };
    uint32_t m_pings { 0 };
    std::optional<Instant> m_replyAt;
    bool m_isSilent { false };
    bool m_isClosed { false };
};

} // namespace

// Calls waited for five seconds on a link that carried nothing any more.
TEST(LinkMonitor, ASilentLinkWithCallsIsGivenUpWithinASecond)
{
    for (Duration at = 3s; at < 8s; at += 70ms) {
        Link link(2ms);
        ASSERT_TRUE(link.run(at));
        link.fallSilent();
        link.sendCall();
        EXPECT_FALSE(link.run(1s)) << toMilliseconds(at);
    }
}

TEST(LinkMonitor, ALinkAtRestIsPingedAsBefore)
{
    Link link(2ms);
    ASSERT_TRUE(link.run(60s));
    EXPECT_LE(link.pings(), 30u);
    link.fallSilent();
    EXPECT_TRUE(link.run(4s));
    EXPECT_FALSE(link.run(4s));
}

TEST(LinkMonitor, ASlowTargetIsNotASilentLink)
{
    Link link(2ms);
    link.sendCall();
    EXPECT_TRUE(link.run(60s));
    EXPECT_LE(link.pings(), 4u * 60);
}

TEST(LinkMonitor, OwnStallsAreNoSilenceOfThePeer)
{
    Link link(2ms);
    link.sendCall();
    for (int i = 0; i < 50; ++i) {
        ASSERT_TRUE(link.run(130ms));
        link.stall(3s);
    }
}

RC_GTEST_PROP(LinkMonitor, ASoundLinkIsKeptUnderAnyDelayBelowItsLimit, ())
{
    auto delay = *rc::gen::inRange<int64_t>(0, (options.minimumReplyTime - 10 * timerDelay).count());
    Link link { Duration(delay) };
    uint32_t calls = 0;
    for (auto step : *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 900))) {
        if (step % 3 && calls) {
            link.receiveReply();
            --calls;
        } else {
            link.sendCall();
            ++calls;
        }
        RC_ASSERT(link.run(std::chrono::milliseconds(step)));
    }
    // One for each rest interval, and one for each interval without a reply.
    auto seconds = std::chrono::duration<double>(link.now() - start).count();
    RC_ASSERT(link.pings() <= 1 + seconds / 0.25);
}
