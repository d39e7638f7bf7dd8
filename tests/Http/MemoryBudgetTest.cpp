// Guards against a node that runs out of memory, and against callers who are cut off for what others hold.
#include "Http/MemoryBudget.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

const Instant begin = instantFromMicroseconds(1'000'000);
constexpr size_t kibibyte = 1024;

} // namespace

TEST(MemoryBudget, WithinTheBoundNobodyEnds)
{
    MemoryBudget budget({ .maximumBytes = 1024 * kibibyte });
    auto holder = budget.add(begin);
    budget.set(holder, 1024 * kibibyte);
    EXPECT_FALSE(budget.findVictim(begin + 1h));
    budget.set(holder, 1025 * kibibyte);
    EXPECT_EQ(budget.findVictim(begin), holder);
}

TEST(MemoryBudget, WhoHoldsMostForLongestEndsFirst)
{
    MemoryBudget budget({ .maximumBytes = 1000 * kibibyte });
    auto stalled = budget.add(begin);
    auto large = budget.add(begin);
    budget.set(stalled, 500 * kibibyte);
    budget.set(large, 900 * kibibyte);
    EXPECT_EQ(budget.findVictim(begin), large);
    budget.recordProgress(large, begin + 10s);
    EXPECT_EQ(budget.findVictim(begin + 10s), stalled);
    budget.remove(stalled);
    EXPECT_FALSE(budget.findVictim(begin + 10s));
}

// Many callers with an ordinary request each must not be cut off, however long they wait for their answers.
TEST(MemoryBudget, OrdinaryRequestsAreNotTheCause)
{
    MemoryBudget budget({ .maximumBytes = 1000 * kibibyte, .ordinaryBytes = 64 * kibibyte });
    for (int n = 0; n < 20; ++n)
        budget.set(budget.add(begin), 60 * kibibyte);
    EXPECT_TRUE(budget.isExceeded());
    EXPECT_FALSE(budget.findVictim(begin + 1h));
    auto large = budget.add(begin + 1h);
    budget.set(large, 65 * kibibyte);
    EXPECT_EQ(budget.findVictim(begin + 1h), large);
}

TEST(MemoryBudget, TheSumFollowsEveryChange)
{
    MemoryBudget budget({});
    auto first = budget.add(begin);
    auto second = budget.add(begin);
    budget.set(first, 10);
    budget.set(second, 20);
    budget.set(first, 4);
    EXPECT_EQ(budget.bytes(), 24u);
    budget.remove(second);
    budget.set(second, 7);
    EXPECT_EQ(budget.bytes(), 4u);
}
