// Guards against single faults of a runner that the property test could miss because another rule also covers them.
#include "Patient/Patient.h"
#include "Store/FakeObjects.h"
#include "Store/FakeTable.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace Berylport::Testing;
using namespace std::chrono_literals;

namespace {

class Runner : public testing::Test {
protected:
    Runner()
    {
        write({ .token = "fence",
            .checks = {},
            .puts = { { fenceKey(partitionLeaseName(partition)), "1" } },
            .deletes = {} });
        runner = makeRunner(1);
    }

    void write(Transaction transaction) { ASSERT_TRUE(table.state.transact(time.now(), transaction, table.counters)); }

    std::unique_ptr<ActionRunner> makeRunner(uint64_t fencingToken)
    {
        return std::make_unique<ActionRunner>(
            ActionRunnerOptions {
                .node = NodeId { 1 }, .partition = partition, .fencingToken = fencingToken, .instance = ++instances },
            ActionRunnerPorts { .table = *tableClient,
                .objects = *objectClient,
                .budget = budget,
                .holds = [this](Instant) { return isHeld; },
                .selectTarget = [this](Instant, const ServiceName&) { return target; },
                .nextCallId = [this] { return CallId { .origin = NodeId { 1 }, .sequence = ++calls }; },
                .unixMilliseconds = [this] { return toMicroseconds(time.now()) / 1000; },
                .perform = [this](RunnerAction action) { note(std::move(action)); } });
    }

    void note(RunnerAction action)
    {
        if (auto* dispatch = std::get_if<DispatchAction>(&action))
            dispatches.push_back(*dispatch);
        else if (auto* query = std::get_if<QueryAction>(&action))
            queries.push_back(*query);
        else
            stops.push_back(std::get<RunnerStopped>(action).reason);
    }

    void addAction(bool deduplicates = false)
    {
        ActionRecord record { .service = ServiceName("s"),
            .tenant = TenantName("t"),
            .http = { .method = "POST", .target = "/", .headers = {}, .body = "b" },
            .deduplicates = deduplicates };
        write({ .token = "add",
            .checks = {},
            .puts = { { openActionKey(token), encodeActionRecord(record) } },
            .deletes = {} });
    }

    void run(Duration duration)
    {
        for (auto until = time.now() + duration; time.now() < until; time.runFor(10ms))
            runner->tick(process->localNow());
    }

    void answerWith(ActionOutcome outcome)
    {
        runner->noteOutcome(process->localNow(), token, dispatches.back().attempt, std::move(outcome));
        run(500ms);
    }

    std::optional<ActionRecord> ended()
    {
        auto row = table.state.get(endedActionKey(token));
        return row ? decodeActionRecord(row.value().value) : std::nullopt;
    }

    CallAnswered answer() const
    {
        return { .id = dispatches.back().attempt,
            .http = { .status = 200, .reason = "OK", .headers = {}, .body = "r" },
            .load = {} };
    }
    CallLost lost(LossReason reason) const { return { .id = dispatches.back().attempt, .reason = reason, .load = {} }; }
    CallRefused refused(RefusalReason reason) const
    {
        return { .id = dispatches.back().attempt, .reason = reason, .retryAfter = {}, .load = {} };
    }

    static constexpr uint32_t partition = 3;
    std::string token = [] {
        for (int n = 0;; ++n) {
            if (actionPartition(std::to_string(n)) == partition)
                return std::to_string(n);
        }
    }();
    VirtualTime time;
    FakeTable table { time, 1 };
    FakeObjects objects { time, 2 };
    std::shared_ptr<FakeProcess> process = std::make_shared<FakeProcess>(time);
    std::unique_ptr<TableClient> tableClient = table.connect(process);
    std::unique_ptr<ObjectClient> objectClient = objects.connect(process);
    WriteBudget budget;
    bool isHeld { true };
    std::optional<NodeId> target { NodeId { 9 } };
    uint64_t calls { 0 };
    uint64_t instances { 0 };
    std::vector<DispatchAction> dispatches;
    std::vector<QueryAction> queries;
    std::vector<std::string> stops;
    std::unique_ptr<ActionRunner> runner;
};

} // namespace

TEST_F(Runner, ClaimIsConfirmedBeforeTheDispatch)
{
    addAction();
    table.faults.set({ .down = DownMode::Close });
    run(1s);
    table.faults.set({});
    while (dispatches.empty() && time.now() < Instant {} + 60s)
        run(10ms);
    ASSERT_EQ(dispatches.size(), 1u);
    auto row = decodeActionRecord(table.state.get(openActionKey(token)).value().value).value();
    EXPECT_EQ(row.state, ActionState::Running);
    EXPECT_EQ(row.current.node, NodeId { 9 });
    EXPECT_EQ(row.current.id, dispatches[0].attempt);
    EXPECT_EQ(findHeader(dispatches[0].http.headers, "idempotency-key"), token);
}

TEST_F(Runner, NoDispatchWhenTheLeaseLapsedDuringTheClaim)
{
    addAction();
    table.faults.set({ .slow = 300ms });
    while (!table.counters.writes && time.now() < Instant {} + 10s)
        run(10ms);
    isHeld = false;
    // No tick comes before the confirmation, as after a pause.
    time.runFor(5s);
    EXPECT_TRUE(dispatches.empty());
    EXPECT_EQ(stops, std::vector<std::string> { "lease lost" });
    EXPECT_TRUE(runner->isStopped());
}

TEST_F(Runner, StoreRejectsTheWritesOfAnOlderHolder)
{
    // `holds` keeps saying yes here: the fence alone must stop the old holder.
    addAction();
    write({ .token = "takeover",
        .checks = {},
        .puts = { { fenceKey(partitionLeaseName(partition)), "2" } },
        .deletes = {} });
    run(5s);
    EXPECT_TRUE(dispatches.empty());
    EXPECT_EQ(stops, std::vector<std::string> { "a newer holder has the lease" });
}

TEST_F(Runner, NewHolderAsksTheRecordedNodeAndTakesItsAnswer)
{
    addAction();
    run(3s);
    ASSERT_EQ(dispatches.size(), 1u);
    write({ .token = "takeover",
        .checks = {},
        .puts = { { fenceKey(partitionLeaseName(partition)), "2" } },
        .deletes = {} });
    runner = makeRunner(2);
    target = NodeId { 10 };
    run(3s);
    ASSERT_FALSE(queries.empty());
    EXPECT_EQ(queries[0].node, NodeId { 9 });
    EXPECT_EQ(queries[0].attempt, dispatches[0].attempt);
    // Earlier by the allowance for clocks.
    EXPECT_LT(queries[0].deadline, dispatches[0].deadline);
    answerWith(answer());
    EXPECT_EQ(ended()->state, ActionState::Done);
    EXPECT_EQ(dispatches.size(), 1u);
}

TEST_F(Runner, RefusedActionIsTriedAgainUnderAnotherAttempt)
{
    addAction();
    run(3s);
    answerWith(refused(RefusalReason::QueueFull));
    run(3s);
    ASSERT_EQ(dispatches.size(), 2u);
    EXPECT_NE(dispatches[0].attempt, dispatches[1].attempt);
}

TEST_F(Runner, LostLinkIsAskedAboutAndGoneNodeLeavesDoubt)
{
    addAction();
    run(3s);
    answerWith(lost(LossReason::LinkLost));
    EXPECT_EQ(queries.size(), 1u);
    answerWith(NodeUnreachable {});
    EXPECT_FALSE(ended());
    answerWith(NodeGone {});
    EXPECT_EQ(ended()->state, ActionState::InDoubt);
    run(2min);
    EXPECT_EQ(dispatches.size(), 1u);
}

TEST_F(Runner, OtherProcessAtTheNodesAddressDoesNotProveThatNothingRan)
{
    addAction();
    run(3s);
    answerWith(lost(LossReason::LinkLost));
    answerWith(refused(RefusalReason::WrongNode));
    EXPECT_EQ(ended()->state, ActionState::InDoubt);
}

TEST_F(Runner, DeduplicatingServiceRunsAgainWithTheSameKey)
{
    addAction(true);
    run(3s);
    answerWith(lost(LossReason::TargetClosed));
    run(3s);
    ASSERT_EQ(dispatches.size(), 2u);
    EXPECT_EQ(findHeader(dispatches[1].http.headers, "Idempotency-Key"), token);
    answerWith(answer());
    EXPECT_EQ(ended()->state, ActionState::Done);
}

TEST_F(Runner, RunWithALostAnswerIsDoneAndNotInDoubt)
{
    addAction();
    run(3s);
    answerWith(lost(LossReason::AnswerTooLarge));
    EXPECT_EQ(ended()->state, ActionState::Done);
    EXPECT_EQ(ended()->result.status, 502);
}

TEST_F(Runner, SilentAttemptIsAskedAboutAfterItsDeadline)
{
    addAction();
    run(3s);
    EXPECT_TRUE(queries.empty());
    run(70s);
    ASSERT_FALSE(queries.empty());
    EXPECT_EQ(queries[0].deadline, dispatches[0].deadline);
}

TEST_F(Runner, OutcomeOfAnotherAttemptIsIgnored)
{
    addAction();
    run(3s);
    auto other = dispatches[0].attempt;
    ++other.attempt;
    runner->noteOutcome(process->localNow(), token, other, answer());
    run(1s);
    EXPECT_FALSE(ended());
}

TEST_F(Runner, LateScanDoesNotBringBackAnEndedAction)
{
    // The scan reads the row while the action runs, and its answer comes after the action has ended.
    addAction(true);
    run(3s);
    ASSERT_EQ(dispatches.size(), 1u);
    auto reads = table.counters.reads;
    table.faults.set({ .slow = 400ms });
    while (table.counters.reads == reads && time.now() < Instant {} + 10s)
        run(1ms);
    table.faults.set({});
    runner->noteOutcome(process->localNow(), token, dispatches[0].attempt, answer());
    run(100ms);
    ASSERT_TRUE(ended());
    EXPECT_TRUE(queries.empty());
    run(400ms);
    ASSERT_EQ(queries.size(), 1u);
    answerWith(NodeGone {});
    run(10s);
    EXPECT_EQ(dispatches.size(), 1u);
    EXPECT_FALSE(table.state.get(openActionKey(token)));
}

TEST_F(Runner, DrainFinishesWhatRunsAndClaimsNothing)
{
    addAction();
    run(3s);
    runner->drain();
    EXPECT_FALSE(runner->isIdle());
    answerWith(answer());
    EXPECT_TRUE(runner->isIdle());
    EXPECT_EQ(ended()->state, ActionState::Done);
}

TEST_F(Runner, WritesStayWithinTheBudgetByLargerBatches)
{
    budget = WriteBudget({ .fleetWritesPerSecond = 1 });
    for (int n = 0, found = 0; found < 100; ++n) {
        auto name = "n" + std::to_string(n);
        if (actionPartition(name) != partition)
            continue;
        ++found;
        token = name;
        ActionRecord record { .service = ServiceName("s"),
            .http = { .method = "POST", .target = "/", .headers = {}, .body = {} } };
        write({ .token = name,
            .checks = {},
            .puts = { { openActionKey(name), encodeActionRecord(record) } },
            .deletes = {} });
    }
    auto before = table.counters.writes;
    run(20s);
    EXPECT_LE(table.counters.writes - before, 21u);
    // At most 64 attempts at a time, in batches of 25.
    EXPECT_EQ(dispatches.size(), 64u);
}
