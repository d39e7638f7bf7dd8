// Guards against two holders of one lease at the same time, and against a lease that nobody gets.
#include "Store/FakeTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;
using namespace Berylport::Testing;
using namespace std::chrono_literals;

namespace {

// One contender for the lease in its own process.
struct Contender {
    Contender(VirtualTime& time, FakeTable& table, uint64_t id, Duration clockOffset = {}, double clockRate = 1)
        : process(std::make_shared<FakeProcess>(time, clockOffset, clockRate))
        , client(table.connect(process))
        , driver(*client, { .name = "p", .holder = NodeId { id }, .instance = id })
    {
        step();
    }

    // Runs the driver as an event loop would: at its wake times, late when the process was paused.
    void step()
    {
        if (isStarted)
            driver.tick(process->localNow());
        // Results may move the wake time, so it is looked at often.
        process->runAfter(100ms, [this] { step(); });
    }

    void start()
    {
        isStarted = true;
        driver.acquire(process->localNow());
    }

    bool holds() const { return driver.holds(process->localNow()); }

    std::shared_ptr<FakeProcess> process;
    std::unique_ptr<TableClient> client;
    LeaseDriver driver;
    bool isStarted { false };
};

class Lease : public testing::Test {
protected:
    VirtualTime time;
    FakeTable table { time, 1 };
    Contender a { time, table, 1 };
    Contender b { time, table, 2 };
};

} // namespace

TEST_F(Lease, FirstComerHoldsAndRenews)
{
    a.start();
    b.start();
    time.runFor(1s);
    EXPECT_NE(a.holds(), b.holds());
    auto& holder = a.holds() ? a : b;
    auto token = holder.driver.fencingToken();
    for (int n = 0; n < 120; ++n) {
        time.runFor(1s);
        EXPECT_TRUE(holder.holds());
    }
    EXPECT_EQ(holder.driver.fencingToken(), token);
    // One renewal every 3 s.
    EXPECT_LE(table.counters.writes, 50u);
}

TEST_F(Lease, ReleaseLetsTheNextOneInWithAHigherToken)
{
    a.start();
    time.runFor(1s);
    auto token = a.driver.fencingToken();
    b.start();
    time.runFor(1s);
    a.driver.release(a.process->localNow());
    EXPECT_FALSE(a.holds());
    time.runFor(6s);
    EXPECT_TRUE(b.holds());
    EXPECT_GT(b.driver.fencingToken(), token);
}

TEST_F(Lease, TakeoverOnlyAfterTheWholeDurationWithoutAChange)
{
    a.start();
    time.runFor(1s);
    b.start();
    time.runFor(1s);
    a.process->crash();
    auto crashedAt = time.now();
    while (!b.holds())
        time.runFor(100ms);
    EXPECT_GE(time.now() - crashedAt, 7s);
    EXPECT_LE(time.now() - crashedAt, 16s);
}

TEST_F(Lease, PausedHolderKnowsItsLossAtOnce)
{
    a.start();
    time.runFor(1s);
    auto token = a.driver.fencingToken();
    b.start();
    a.process->pauseFor(60s);
    time.runFor(59s);
    EXPECT_TRUE(b.holds());
    EXPECT_FALSE(a.holds());
    EXPECT_FALSE(a.driver.holds(a.process->localNow(), token));
    time.runFor(30s);
    EXPECT_TRUE(b.holds());
}

TEST_F(Lease, LostConfirmationOfTheAcquisitionIsResolved)
{
    table.faults.set({ .dropNext = 2 });
    a.start();
    time.runFor(3s);
    EXPECT_TRUE(a.holds());
    EXPECT_EQ(a.driver.fencingToken(), 1u);
}

TEST_F(Lease, LateConfirmationGivesNoValidityBeyondTheSending)
{
    // The validity counts from the first sending, so a confirmation that comes after 10 s is worth nothing.
    std::vector<LeaseAction> actions;
    LeaseKeeper keeper({ .name = "p", .holder = NodeId { 1 } });
    Instant now {};
    keeper.acquire(now);
    keeper.tick(now, actions);
    keeper.readFinished(now, StoreError { .code = StoreErrorCode::NotFound });
    actions.clear();
    keeper.tick(now, actions);
    ASSERT_EQ(actions.size(), 1u);
    auto token = std::get<WriteLease>(actions[0]).transaction.token;
    keeper.writeFinished(now + 9600ms, token, TransactionResult { .versions = { 1, 1 } });
    EXPECT_FALSE(keeper.holds(now + 9600ms));
}

TEST_F(Lease, RestartedKeeperOfTheSameNodeDoesNotGetItsPredecessorsResults)
{
    // Both keepers count their requests from one; the same request token would return the first one's confirmation.
    a.start();
    time.runFor(1s);
    auto token = a.driver.fencingToken();
    LeaseDriver second(*a.client, { .name = "p", .holder = NodeId { 1 }, .instance = 77 });
    second.acquire(a.process->localNow());
    time.runFor(1s);
    EXPECT_TRUE(second.holds(a.process->localNow()));
    EXPECT_GT(second.fencingToken(), token);
}

TEST_F(Lease, StandingDownStopsTheReads)
{
    a.start();
    time.runFor(1s);
    b.start();
    time.runFor(1s);
    b.driver.standDown();
    time.runFor(1s);
    auto reads = table.counters.reads;
    time.runFor(60s);
    EXPECT_EQ(table.counters.reads, reads);
}

namespace {

struct LeaseRun {
    explicit LeaseRun(uint64_t seed)
        : random(seed)
        , table(time, seed + 1)
    {
        for (uint64_t n = 1; n <= 4; ++n) {
            // Clocks differ without bound and run at rates up to 1 % apart from true time.
            auto offset = Duration(static_cast<int64_t>(random.below(1'000'000'000)));
            contenders.push_back(std::make_unique<Contender>(time, table, n, offset, 0.99 + 0.02 * random.unit()));
            contenders.back()->start();
        }
    }

    void injectFault()
    {
        auto& victim = *contenders[random.below(contenders.size())];
        switch (random.below(7)) {
        case 0:
        case 1:
            victim.process->pauseFor(Duration(static_cast<int64_t>(random.below(30'000'000))));
            break;
        case 2:
            table.faults.set({ .dropRate = random.unit() });
            break;
        case 3:
            table.faults.set({ .lateRate = random.unit(), .late = 5s, .isAppliedLate = random.chance(0.5) });
            break;
        case 4:
            table.faults.set({ .down = random.chance(0.5) ? DownMode::Close : DownMode::Refuse });
            break;
        case 5:
            table.network.lateRate = random.unit() * 0.5;
            table.network.lostRate = random.unit() * 0.3;
            break;
        default:
            victim.driver.release(victim.process->localNow());
            victim.driver.acquire(victim.process->localNow());
        }
    }

    void heal()
    {
        table.faults.set({});
        table.network = {};
    }

    // Looks at every contender after every event, as each of them might act at any moment.
    void runChecked(Duration duration)
    {
        for (auto until = time.now() + duration; time.runNext(until);) {
            size_t holders = 0;
            for (auto& it : contenders) {
                if (!it->holds())
                    continue;
                ++holders;
                auto token = it->driver.fencingToken();
                RC_ASSERT(token >= newestToken);
                auto [entry, isNew] = holderOfToken.try_emplace(token, it.get());
                RC_ASSERT(entry->second == it.get());
                newestToken = token;
            }
            RC_ASSERT(holders <= 1u);
        }
    }

    Random random;
    VirtualTime time;
    FakeTable table;
    std::vector<std::unique_ptr<Contender>> contenders;
    uint64_t newestToken { 0 };
    std::map<uint64_t, Contender*> holderOfToken;
};

} // namespace

RC_GTEST_PROP(LeaseProperty, NeverTwoHoldersAndTokensGrow, (uint64_t seed))
{
    LeaseRun run(seed);
    for (int n = 0; n < 60; ++n) {
        run.injectFault();
        run.runChecked(Duration(static_cast<int64_t>(run.random.below(10'000'000))));
        if (run.random.chance(0.3))
            run.heal();
    }
    run.heal();
    run.runChecked(90s);
    size_t holders = 0;
    for (auto& it : run.contenders)
        holders += it->holds();
    RC_ASSERT(holders == 1u);
}
