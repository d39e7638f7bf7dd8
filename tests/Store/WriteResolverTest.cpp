// Guards against a write that is applied twice, reported wrongly, or repeated beyond the life of its request token.
#include "Store/FakeTable.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace Berylport::Testing;
using namespace std::chrono_literals;

namespace {

class Resolving : public testing::Test {
protected:
    void start(Duration deadline)
    {
        Transaction transaction {
            .token = "t", .checks = { { "a", RowAbsent {} } }, .puts = { { "a", "x" } }, .deletes = {}
        };
        resolver.transact(time.now(), transaction, time.now() + deadline, [this](Instant, auto it) { result = it; });
    }

    void run(Duration duration)
    {
        for (auto until = time.now() + duration; time.now() < until; time.runFor(10ms))
            resolver.tick(time.now());
    }

    VirtualTime time;
    FakeTable table { time, 1 };
    std::shared_ptr<FakeProcess> process = std::make_shared<FakeProcess>(time);
    std::unique_ptr<TableClient> client = table.connect(process);
    WriteResolver resolver { *client };
    std::optional<StoreResult<TransactionResult>> result;
};

} // namespace

TEST_F(Resolving, LostConfirmationsAreResolvedToTheFirstResult)
{
    table.faults.set({ .dropNext = 3 });
    start(1min);
    run(5s);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->value().versions, std::vector<uint64_t> { 1 });
    EXPECT_EQ(table.counters.rowsWritten, 1u);
    EXPECT_EQ(resolver.nextWake(), std::nullopt);
}

TEST_F(Resolving, OutageAfterATimeoutIsSatOut)
{
    table.faults.set({ .dropNext = 1 });
    start(1min);
    run(50ms);
    table.faults.set({ .down = DownMode::Refuse });
    run(20s);
    EXPECT_FALSE(result);
    table.faults.set({});
    run(5s);
    ASSERT_TRUE(result);
    EXPECT_TRUE(*result);
}

TEST_F(Resolving, UnappliedWriteFailsAtOnce)
{
    table.faults.set({ .down = DownMode::Refuse });
    start(1min);
    run(1s);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->error().code, StoreErrorCode::Unavailable);
}

TEST_F(Resolving, UnresolvedWriteFailsAtItsDeadline)
{
    table.faults.set({ .dropRate = 1 });
    start(3s);
    run(2900ms);
    EXPECT_FALSE(result);
    run(200ms);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->error().code, StoreErrorCode::Timeout);
    EXPECT_EQ(resolver.pending(), 0u);
}

TEST_F(Resolving, NothingIsRepeatedAfterTheTokenMayBeForgotten)
{
    table.faults.set({ .dropRate = 1 });
    start(24h);
    run(WriteResolver::longestDeadline + 1s);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->error().code, StoreErrorCode::Timeout);
}

TEST(WriteBudget, AllowsTheRateAndTellsWhenTheNextWriteMayGo)
{
    // Guards against a fleet that takes more than its share of the store.
    WriteBudget budget({ .fleetWritesPerSecond = 100, .share = 0.1 });
    Instant now {};
    int taken = 0;
    for (; now < Instant {} + 10s; now += 1ms)
        taken += budget.take(now);
    // 10 a second and the burst of one second.
    EXPECT_GE(taken, 108);
    EXPECT_LE(taken, 110);
    auto wait = budget.waitTime(now, 3);
    EXPECT_GT(wait, 0us);
    EXPECT_FALSE(budget.take(now, 3));
    EXPECT_TRUE(budget.take(now + wait, 3));
    EXPECT_FALSE(budget.take(now + 1h, 11));
}

TEST(WriteBudget, TimeThatGoesBackAddsNothing)
{
    WriteBudget budget({ .fleetWritesPerSecond = 1 });
    EXPECT_TRUE(budget.take(Instant {} + 10s));
    EXPECT_FALSE(budget.take(Instant {}));
    EXPECT_FALSE(budget.take(Instant {} + 10s));
}
