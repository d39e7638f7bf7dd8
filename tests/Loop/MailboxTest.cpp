// Guards the order and timing of mailbox messages.
#include "Loop/Loop.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Duration limit = 60s;

} // namespace

// Fails when messages are reordered, lost or repeated, including those that the receiver posts to itself.
RC_GTEST_PROP(Mailbox, DeliversEveryMessageOnceInOrder, (std::vector<bool> posts))
{
    EventLoop loop;
    std::vector<size_t> received;
    size_t next = 0;
    Mailbox<size_t>* own = nullptr;
    Mailbox<size_t> mailbox(loop, [&](size_t&& message) {
        received.push_back(message);
        if (message < posts.size() && posts[message])
            own->post(next++);
    });
    own = &mailbox;
    size_t initial = posts.size();
    while (next < initial)
        mailbox.post(next++);
    RC_ASSERT(received.empty());
    RC_ASSERT(loop.runUntil([&] { return !mailbox.size(); }, limit));
    RC_ASSERT(received.size() == next);
    for (size_t i = 0; i < received.size(); ++i)
        RC_ASSERT(received[i] == i);
}

TEST(Mailbox, MessageToItselfArrivesInALaterTurn)
{
    EventLoop loop;
    int depth = 0;
    int deepest = 0;
    int count = 0;
    Mailbox<int>* own = nullptr;
    Mailbox<int> mailbox(loop, [&](int&& n) {
        deepest = std::max(deepest, ++depth);
        ++count;
        if (n > 0)
            own->post(n - 1);
        --depth;
    });
    own = &mailbox;
    mailbox.post(3);
    EXPECT_TRUE(loop.runUntil([&] { return count == 4; }, limit));
    EXPECT_EQ(deepest, 1);
}

// Fails when the mailbox is used after its receiver has destroyed it.
TEST(Mailbox, MayBeDestroyedByItsReceiver)
{
    EventLoop loop;
    int count = 0;
    std::unique_ptr<Mailbox<int>> mailbox;
    mailbox = std::make_unique<Mailbox<int>>(loop, [&](int&&) {
        ++count;
        mailbox.reset();
    });
    mailbox->post(1);
    mailbox->post(2);
    EXPECT_TRUE(loop.runUntil([&] { return !mailbox; }, limit));
    EXPECT_EQ(count, 1);
}

// Fails when a receiver that throws makes the messages behind it disappear.
TEST(Mailbox, MessagesBehindAnExceptionAreDelivered)
{
    EventLoop loop;
    std::vector<int> received;
    Mailbox<int> mailbox(loop, [&](int&& n) {
        received.push_back(n);
        if (n == 1)
            throw std::runtime_error("broken");
    });
    mailbox.post(1);
    mailbox.post(2);
    EXPECT_THROW(loop.runUntil([] { return false; }, limit), std::runtime_error);
    EXPECT_TRUE(loop.runUntil([&] { return received.size() == 2; }, limit));
}
