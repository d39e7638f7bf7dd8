// Guards against wrong answers to callers of patient actions, and against single faults in runner and retention.
#include "Patient/PatientWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;
using namespace Berylport::Testing;
using namespace std::chrono_literals;

namespace {

class Patient : public testing::Test {
protected:
    Patient() { world.time.runFor(2s); }

    AcceptRequest request(std::string name, std::string body)
    {
        return { .token = std::move(name),
            .service = ServiceName("s"),
            .tenant = TenantName("tenant"),
            .http = { .method = "POST", .target = "/run", .headers = {}, .body = std::move(body) },
            .deduplicates = false };
    }

    AcceptResult accept(AcceptRequest it, Duration wait = 10s)
    {
        std::optional<AcceptResult> result;
        auto& node = *world.nodes[0];
        node.acceptor->accept(node.process->localNow(), std::move(it), [&](Instant, auto found) { result = found; });
        for (auto until = world.time.now() + wait; !result && world.time.now() < until;)
            world.time.runFor(1ms);
        EXPECT_TRUE(result);
        return *result;
    }

    ActionStatusResult query(const std::string& name, const char* tenant = "tenant")
    {
        std::optional<ActionStatusResult> result;
        ActionStatus status(*world.nodes[0]->table, *world.nodes[0]->objects);
        status.query(name, TenantName(tenant), [&](Instant, auto found) { result = found; });
        world.time.runFor(2s);
        return *result;
    }

    PatientWorld<ActionRunner> world { 3 };
    std::string token = tokenFor(0, 1);
};

} // namespace

TEST_F(Patient, SameTokenAndBodyIsTheSameActionAndAnotherBodyIsAConflict)
{
    auto first = accept(request(token, "a"));
    EXPECT_FALSE(std::get<ActionAccepted>(first).isRepeated);
    EXPECT_TRUE(std::get<ActionAccepted>(accept(request(token, "a"))).isRepeated);
    EXPECT_TRUE(std::holds_alternative<ActionConflict>(accept(request(token, "b"))));
    world.time.runFor(30s);
    // The same holds once the action has ended.
    EXPECT_TRUE(std::get<ActionAccepted>(accept(request(token, "a"))).isRepeated);
    EXPECT_TRUE(std::holds_alternative<ActionConflict>(accept(request(token, std::string(2000, 'b')))));
    EXPECT_EQ(world.executions.runsByToken[token], 1);
}

TEST_F(Patient, LargeBodyIsStoredBeforeTheRow)
{
    world.objects.faults.set({ .down = DownMode::Refuse });
    auto refused = accept(request(token, std::string(2000, 'x')));
    EXPECT_EQ(std::get<ActionRefused>(refused).reason, AcceptRefusal::StoreUnavailable);
    EXPECT_FALSE(world.table.state.get(openActionKey(token)));
    world.objects.faults.set({});
    EXPECT_TRUE(std::holds_alternative<ActionAccepted>(accept(request(token, std::string(2000, 'x')))));
    EXPECT_EQ(world.objects.state.objectCount(), 1u);
}

TEST_F(Patient, BodyOfARefusedRequestDoesNotBlockAnotherOne)
{
    world.table.faults.set({ .down = DownMode::Refuse });
    EXPECT_TRUE(std::holds_alternative<ActionRefused>(accept(request(token, std::string(2000, 'x')))));
    world.table.faults.set({});
    EXPECT_TRUE(std::holds_alternative<ActionAccepted>(accept(request(token, std::string(2000, 'y')))));
}

TEST_F(Patient, LostConfirmationIsResolved)
{
    world.table.faults.set({ .dropNext = 2 });
    EXPECT_FALSE(std::get<ActionAccepted>(accept(request(token, "a"))).isRepeated);
}

TEST_F(Patient, UnresolvedAcceptanceIsNotReportedAsNotRun)
{
    world.table.faults.set({ .dropRate = 1 });
    EXPECT_TRUE(std::holds_alternative<ActionAcceptanceUnknown>(accept(request(token, "a"))));
}

TEST_F(Patient, OverBudgetIsRefusedWithARetryAfterTime)
{
    int refused = 0;
    auto& node = *world.nodes[0];
    Duration wait {};
    for (uint32_t n = 0; n < 150; ++n) {
        node.acceptor->accept(node.process->localNow(), request(tokenFor(0, n), "a"), [&](Instant, AcceptResult it) {
            if (auto* refusal = std::get_if<ActionRefused>(&it)) {
                ++refused;
                wait = refusal->retryAfter;
            }
        });
    }
    EXPECT_GE(refused, 50);
    EXPECT_GT(wait, 0us);
    world.time.runFor(60s);
    EXPECT_EQ(world.executions.runsByToken.size(), 150u - refused);
}

TEST_F(Patient, InvalidTokensAreRejected)
{
    for (auto* it : { "", "a/b", "a b", "a\"b", "a\n", "\xff" })
        EXPECT_TRUE(std::holds_alternative<ActionTokenInvalid>(accept(request(it, "a")))) << it;
    EXPECT_TRUE(std::holds_alternative<ActionTokenInvalid>(accept(request(std::string(129, 'a'), "a"))));
}

TEST_F(Patient, StatusFollowsTheActionAndIsHiddenFromOtherTenants)
{
    EXPECT_TRUE(std::holds_alternative<ActionNotFound>(query(token)));
    EXPECT_TRUE(std::holds_alternative<ActionNotFound>(query("a/b")));
    accept(request(token, "a"));
    world.time.runFor(40s);
    auto found = std::get<ActionFound>(query(token));
    EXPECT_EQ(found.state, ActionState::Done);
    EXPECT_EQ(found.result.body, expectedResult(token));
    EXPECT_TRUE(std::holds_alternative<ActionNotFound>(query(token, "other")));
    world.table.faults.set({ .down = DownMode::Refuse });
    EXPECT_TRUE(std::holds_alternative<ActionStatusUnavailable>(query(token)));
}

TEST_F(Patient, RetentionRemovesRowsAndObjects)
{
    for (uint32_t n = 0; n < 60; ++n) {
        accept(request(tokenFor(0, n), std::string(n % 2 ? 2000 : 10, 'x')));
        world.time.runFor(50ms);
    }
    world.time.runFor(2min);
    EXPECT_EQ(world.executions.runsByToken.size(), 60u);
    EXPECT_GE(world.objects.state.objectCount(), 30u);
    // Virtual days would take long to step through, so the wall clocks are moved instead.
    for (auto& it : world.nodes)
        it->clockSkew += 8 * 24h;
    world.time.runFor(5min);
    EXPECT_EQ(world.objects.state.objectCount(), 0u);
    // A lease row and a fence row for each partition are left.
    EXPECT_EQ(world.table.state.rowCount(), 2 * worldPartitions);
}

RC_GTEST_PROP(ActionRecord, ReadsBackFromItsText,
    (std::string body, std::vector<std::pair<uint8_t, uint8_t>> headers, uint64_t node, uint32_t attempts))
{
    ActionRecord record { .state = ActionState::Running,
        .service = ServiceName("s"),
        .tenant = TenantName("t"),
        .http = { .method = "POST", .target = "/\"\\x", .headers = {}, .body = body },
        .bodyObject = "o",
        .fingerprint = "f",
        .deduplicates = true,
        .attempts = attempts,
        .current = { .fencingToken = ~0ull, .node = NodeId { node }, .deadlineUnixMs = -1 },
        .finishedUnixMs = 5,
        .result = { .status = 500, .reason = "r", .headers = {}, .body = body },
        .resultObject = "q" };
    record.current.id = { .call = { .origin = NodeId { node }, .sequence = 3 }, .attempt = attempts };
    for (auto& [name, value] : headers)
        record.http.headers.push_back({ std::to_string(name), std::to_string(value) });
    RC_ASSERT(decodeActionRecord(encodeActionRecord(record)) == record);
}

RC_GTEST_PROP(ActionRecord, InvalidTextIsRejected, (std::string text))
{
    // Guards against a crash by a damaged row.
    RC_ASSERT(!decodeActionRecord(text));
}

TEST(ActionFingerprint, PartsAreKeptApart)
{
    HttpRequest a { .method = "POST", .target = "/ab", .headers = {}, .body = "c" };
    HttpRequest b { .method = "POST", .target = "/a", .headers = {}, .body = "bc" };
    ServiceName service("s");
    EXPECT_NE(actionFingerprint(service, TenantName("t"), a), actionFingerprint(service, TenantName("t"), b));
    EXPECT_NE(actionFingerprint(service, TenantName("t"), a), actionFingerprint(service, TenantName("u"), a));
    auto traced = a;
    traced.headers.push_back({ "traceparent", "x" });
    EXPECT_EQ(actionFingerprint(service, TenantName("t"), a), actionFingerprint(service, TenantName("t"), traced));
}

TEST(PartitionAssignment, SpreadsThePartitionsAndBoundsTheTries)
{
    // Guards against one node that holds most partitions and against a fleet that tries all at once.
    Random random(1);
    std::vector<NodeId> nodes;
    for (int n = 0; n < 3900; ++n)
        nodes.push_back(NodeId { random.next() });
    std::map<uint32_t, std::set<Duration>> delays;
    std::unordered_map<NodeId, int> firsts;
    size_t tries = 0;
    for (auto node : nodes) {
        for (auto& it : partitionsToTry(node, nodes)) {
            ++tries;
            delays[it.partition].insert(it.delay);
            firsts[node] += it.delay == 0us;
        }
    }
    EXPECT_EQ(tries, 4u * actionPartitionCount);
    for (auto& [partition, found] : delays)
        EXPECT_EQ(found, (std::set<Duration> { 0s, 5s, 10s, 15s })) << partition;
    for (auto& [node, count] : firsts)
        EXPECT_LE(count, 2);
}

TEST(PartitionAssignment, LossOfANodeMovesOnlyItsPartitions)
{
    Random random(2);
    std::vector<NodeId> nodes;
    for (int n = 0; n < 20; ++n)
        nodes.push_back(NodeId { random.next() });
    auto firstOf = [](std::span<const NodeId> live) {
        std::map<uint32_t, NodeId> first;
        for (auto node : live) {
            for (auto& it : partitionsToTry(node, live)) {
                if (it.delay == 0us)
                    first[it.partition] = node;
            }
        }
        return first;
    };
    auto before = firstOf(nodes);
    EXPECT_EQ(before.size(), actionPartitionCount);
    auto lost = nodes.back();
    nodes.pop_back();
    auto after = firstOf(nodes);
    EXPECT_EQ(after.size(), actionPartitionCount);
    for (auto& [partition, node] : before) {
        EXPECT_TRUE(node == lost || after[partition] == node) << partition;
    }
}
