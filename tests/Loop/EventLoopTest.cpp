// Guards the joint loop: libevent callbacks, KJ promises, posts, wake-ups, signals and exceptions on one thread.
#include "Loop/Loop.h"
#include "Loop/SocketStream.h"

#include <csignal>
#include <gtest/gtest.h>
#include <kj/async.h>
#include <netinet/in.h>
#include <numeric>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Far above any delay of a busy machine; only a hang reaches it.
constexpr Duration limit = 60s;

std::pair<int, int> createSocketPair()
{
    int fds[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
    return { fds[0], fds[1] };
}

} // namespace

// Fails when KJ promises get no turn while libevent drives the loop.
// libevent writes without MSG_NOSIGNAL: one caller or target that closed its connection ended the whole node.
TEST(EventLoopDeathTest, AWriteToAClosedConnectionDoesNotEndTheProcess)
{
    auto writeToClosedPeer = [] {
        std::signal(SIGPIPE, SIG_DFL);
        EventLoop loop;
        int fds[2];
        if (socketpair(AF_UNIX, SOCK_STREAM, 0, fds))
            std::exit(1);
        close(fds[1]);
        std::exit(write(fds[0], "x", 1) == -1 && errno == EPIPE ? 0 : 1);
    };
    EXPECT_EXIT(writeToClosedPeer(), testing::ExitedWithCode(0), "");
}

TEST(EventLoop, RunsPromisesBesideTimers)
{
    EventLoop loop;
    int steps = 0;
    kj::Promise<void> promise
        = kj::evalLater([&steps] { ++steps; }).then([&steps] { ++steps; }).eagerlyEvaluate(nullptr);
    Timer timer(loop, [&loop, &steps] {
        if (steps == 2)
            loop.stop();
    });
    timer.startPeriodic(1ms);
    loop.run();
    EXPECT_EQ(steps, 2);
}

// Fails when Promise::wait() does not run libevent events, or when what it leaves queued is forgotten.
TEST(EventLoop, PromiseWaitServesTimers)
{
    EventLoop loop;
    auto pair = kj::newPromiseAndFulfiller<int>();
    bool isFollowUpDone = false;
    Timer timer(loop, [&pair] { pair.fulfiller->fulfill(7); });
    timer.startOnce(1ms);
    EXPECT_EQ(pair.promise.wait(loop.waitScope()), 7);
    kj::Promise<void> followUp = kj::evalLater([&] { isFollowUpDone = true; }).eagerlyEvaluate(nullptr);
    EXPECT_TRUE(loop.runUntil([&] { return isFollowUpDone; }, limit));
}

// Fails when a promise chain that re-arms itself starves timers.
TEST(EventLoop, EndlessPromisesDoNotStarveTimers)
{
    EventLoop loop;
    std::function<kj::Promise<void>()> again
        = [&again]() -> kj::Promise<void> { return kj::evalLater([&again] { return again(); }); };
    kj::Promise<void> endless = again().eagerlyEvaluate(nullptr);
    Timer timer(loop, [&loop] { loop.stop(); });
    timer.startOnce(5ms);
    loop.run();
}

TEST(EventLoop, PostsRunInOrderAndNeverInsideThePost)
{
    EventLoop loop;
    std::vector<int> order;
    loop.post([&] {
        loop.post([&] { order.push_back(3); });
        order.push_back(1);
    });
    loop.post([&] { order.push_back(2); });
    EXPECT_TRUE(order.empty());
    EXPECT_TRUE(loop.runUntil([&] { return order.size() == 3; }, limit));
    EXPECT_EQ(order, (std::vector { 1, 2, 3 }));
}

// Fails when a function that posts itself for ever keeps sockets and timers from being served.
TEST(EventLoop, SelfPostingDoesNotStarveTimers)
{
    EventLoop loop;
    std::function<void()> again = [&] { loop.post(again); };
    loop.post(again);
    Timer timer(loop, [&loop] { loop.stop(); });
    timer.startOnce(5ms);
    loop.run();
}

TEST(EventLoop, WakeFromAnotherThreadEndsTheWait)
{
    EventLoop loop;
    std::thread thread([&loop] { loop.wake(); });
    Instant start = steadyNow();
    loop.runOnce(limit);
    EXPECT_LT(steadyNow() - start, limit);
    thread.join();
}

// Fails when an exception unwinds through libevent or is lost.
TEST(EventLoop, ExceptionOfACallbackEndsRun)
{
    EventLoop loop;
    loop.post([] { throw std::runtime_error("broken"); });
    EXPECT_THROW(loop.run(), std::runtime_error);
}

TEST(EventLoop, SignalsAreEvents)
{
    EventLoop loop;
    std::vector<int> seen;
    SignalWatcher watcher(loop, { SIGTERM, SIGINT }, [&seen](int signal) { seen.push_back(signal); });
    raise(SIGTERM);
    EXPECT_TRUE(loop.runUntil([&] { return seen.size() == 1; }, limit));
    raise(SIGINT);
    EXPECT_TRUE(loop.runUntil([&] { return seen.size() == 2; }, limit));
    EXPECT_EQ(seen, (std::vector { SIGTERM, SIGINT }));
}

// Fails when a timer that destroys itself is touched after its callback.
TEST(Timer, MayBeDestroyedByItsCallback)
{
    EventLoop loop;
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(loop, [&timer] { timer.reset(); });
    timer->startPeriodic(1ms);
    EXPECT_TRUE(loop.runUntil([&] { return !timer; }, limit));
}

TEST(Timer, StoppedTimerDoesNotFire)
{
    EventLoop loop;
    bool isFired = false;
    bool isLaterFired = false;
    Timer timer(loop, [&] { isFired = true; });
    Timer later(loop, [&] { isLaterFired = true; });
    timer.startOnce(1ms);
    later.startOnce(5ms);
    timer.stop();
    EXPECT_TRUE(loop.runUntil([&] { return isLaterFired; }, limit));
    EXPECT_FALSE(isFired);
}

// Fails when data larger than the socket buffers is lost, reordered or written twice.
TEST(SocketStream, LargeTransferArrivesWhole)
{
    EventLoop loop;
    auto [left, right] = createSocketPair();
    SocketStream writer(loop, left);
    SocketStream reader(loop, right);
    std::vector<kj::byte> sent(5'000'000);
    std::iota(sent.begin(), sent.end(), kj::byte(0));
    std::vector<kj::byte> received(sent.size());
    size_t half = sent.size() / 2;
    kj::ArrayPtr<const kj::byte> pieces[] = { kj::arrayPtr(sent.data(), 3), nullptr,
        kj::arrayPtr(sent.data() + 3, half), kj::arrayPtr(sent.data() + 3 + half, sent.size() - half - 3) };
    kj::Promise<void> writing
        = writer.write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>>(pieces, 4)).eagerlyEvaluate(nullptr);
    // Small first, then large reads, so that both the read-ahead and the direct path are used.
    EXPECT_EQ(reader.tryRead(received.data(), 10, 10).wait(loop.waitScope()), 10u);
    size_t rest = received.size() - 10;
    EXPECT_EQ(reader.tryRead(received.data() + 10, rest, rest).wait(loop.waitScope()), rest);
    writing.wait(loop.waitScope());
    EXPECT_EQ(received, sent);
    EXPECT_EQ(reader.bytesRead(), sent.size());
    EXPECT_EQ(writer.bytesWritten(), sent.size());
}

TEST(SocketStream, EndOfStreamIsAShortRead)
{
    EventLoop loop;
    auto [left, right] = createSocketPair();
    SocketStream reader(loop, right);
    EXPECT_EQ(write(left, "abc", 3), 3);
    close(left);
    char buf[10];
    EXPECT_EQ(reader.tryRead(buf, 10, 10).wait(loop.waitScope()), 3u);
}

// Fails when writing to a closed peer raises SIGPIPE or blocks.
TEST(SocketStream, WriteToClosedPeerIsDisconnected)
{
    EventLoop loop;
    auto [left, right] = createSocketPair();
    SocketStream writer(loop, left);
    close(right);
    EXPECT_THROW(writer.write("x", 1).wait(loop.waitScope()), kj::Exception);
}

TEST(SocketStream, NothingLeavesAfterAbort)
{
    EventLoop loop;
    auto [left, right] = createSocketPair();
    SocketStream writer(loop, left);
    writer.abort();
    EXPECT_THROW(writer.write("x", 1).wait(loop.waitScope()), kj::Exception);
    EXPECT_EQ(writer.bytesWritten(), 0u);
    close(right);
}

// Fails when a pause is not noticed, or is noticed only after sockets that became ready meanwhile were served.
TEST(PauseDetector, ReportsAPauseBeforeServingSockets)
{
    EventLoop loop;
    auto [left, right] = createSocketPair();
    std::vector<std::string> order;
    Duration longest {};
    PauseDetector detector(loop, {}, [&](Duration gap) {
        longest = std::max(longest, gap);
        if (gap >= 300ms)
            order.push_back("pause");
    });
    FdWatcher watcher(loop, right, FdInterest::Read, [&, right = right] {
        char c;
        EXPECT_EQ(read(right, &c, 1), 1);
        order.push_back("socket");
    });
    watcher.start();
    loop.post([left = left] {
        EXPECT_EQ(write(left, "x", 1), 1);
        std::this_thread::sleep_for(300ms);
    });
    EXPECT_TRUE(loop.runUntil([&] { return order.size() >= 2; }, limit));
    EXPECT_EQ(order.front(), "pause");
    EXPECT_GE(longest, 300ms);
    close(left);
    close(right);
}

// Fails when a pause inside one loop turn stays unnoticed until the next turn.
TEST(PauseDetector, CheckFindsAPauseWithinATurn)
{
    EventLoop loop;
    int count = 0;
    PauseDetector detector(loop, {}, [&](Duration) { ++count; });
    std::this_thread::sleep_for(150ms);
    EXPECT_TRUE(detector.check());
    EXPECT_EQ(count, 1);
}
