// Nodes with runners, leases and targets in virtual time, with crashes, pauses and a faulty store.
#pragma once

#include "Patient/Patient.h"
#include "Store/FakeObjects.h"
#include "Store/FakeTable.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Berylport::Testing {

// The partitions that the tests use; two are enough for runners to meet on one node.
constexpr uint32_t worldPartitions = 2;

// A token that falls into the given partition.
inline std::string tokenFor(uint32_t partition, uint32_t number)
{
    for (uint32_t n = 0;; ++n) {
        auto token = "t" + std::to_string(number) + "-" + std::to_string(n);
        if (actionPartition(token) == partition)
            return token;
    }
}

// What the services have really done.
struct Executions {
    std::map<std::string, int> runsByToken;
    // Runs whose node was killed before it could answer.
    std::set<std::string> cutOff;
    // Durable memory of deduplicating services.
    std::set<std::string> deduplicated;
};

inline std::string expectedResult(const std::string& token)
{
    // Every fourth result is above the limit for rows.
    auto result = "result of " + token;
    if (token.back() % 4 == 0)
        result += std::string(2000, 'r');
    return result;
}

// The call ledger of a target's node, as docs/design.md section 4.2 describes it, and the target beside it.
class TargetNode {
public:
    struct Entry {
        bool isRefused { false };
        bool isRunning { false };
        std::optional<HttpResponse> answer;
        // Called when the run ends.
        std::vector<std::function<void(ActionOutcome)>> waiting;
    };

    TargetNode(VirtualTime& time, Random& random, Executions& executions, std::shared_ptr<FakeProcess> process)
        : m_time(time)
        , m_random(random)
        , m_executions(executions)
        , m_process(std::move(process))
    {
    }

    double refusalRate { 0 };

    // Deadlines are in virtual time, as the link translates them.
    void request(const DispatchAction& action, Instant deadline, std::function<void(ActionOutcome)> reply)
    {
        auto [it, isNew] = m_ledger.try_emplace(action.attempt);
        auto& entry = it->second;
        if (isNew && (m_time.now() > deadline || m_random.chance(refusalRate)))
            entry.isRefused = true;
        if (entry.isRefused) {
            reply(refused(action.attempt));
            return;
        }
        if (entry.answer) {
            reply(answered(action.attempt, *entry.answer));
            return;
        }
        entry.waiting.push_back(std::move(reply));
        if (!isNew)
            return;
        entry.isRunning = true;
        start(action);
    }

    ActionOutcome query(const AttemptId& attempt, Instant deadline)
    {
        constexpr Duration holdTime = std::chrono::minutes(10);
        auto it = m_ledger.find(attempt);
        if (it == m_ledger.end()) {
            if (m_time.now() > deadline + holdTime)
                return CallLost { .id = attempt, .reason = LossReason::AnswerDropped, .load = {} };
            m_ledger[attempt].isRefused = true;
            return refused(attempt);
        }
        if (it->second.isRefused)
            return refused(attempt);
        if (it->second.answer)
            return answered(attempt, *it->second.answer);
        return CallPending { .id = attempt };
    }

    // The runs under way end with the node.
    void kill()
    {
        for (auto& [attempt, entry] : m_ledger) {
            if (entry.isRunning)
                m_executions.cutOff.insert(m_tokens[attempt]);
        }
    }

private:
    static ActionOutcome refused(const AttemptId& attempt)
    {
        return CallRefused { .id = attempt, .reason = RefusalReason::QueueFull, .retryAfter = {}, .load = {} };
    }
    static ActionOutcome answered(const AttemptId& attempt, const HttpResponse& answer)
    {
        return CallAnswered { .id = attempt, .http = answer, .load = {} };
    }

    void start(const DispatchAction& action)
    {
        m_tokens[action.attempt] = action.token;
        bool deduplicates = action.service.text == "dedup";
        if (!deduplicates || m_executions.deduplicated.insert(action.token).second)
            ++m_executions.runsByToken[action.token];
        auto length
            = Duration(static_cast<int64_t>(1000 + m_random.below(m_random.chance(0.3) ? 20'000'000 : 500'000)));
        m_process->runAfter(length, [this, attempt = action.attempt, token = action.token] {
            auto& entry = m_ledger[attempt];
            entry.isRunning = false;
            entry.answer = HttpResponse { .status = 200, .reason = "OK", .headers = {}, .body = expectedResult(token) };
            for (auto& reply : std::exchange(entry.waiting, {}))
                reply(answered(attempt, *entry.answer));
        });
    }

    VirtualTime& m_time;
    Random& m_random;
    Executions& m_executions;
    std::shared_ptr<FakeProcess> m_process;
    std::unordered_map<AttemptId, Entry> m_ledger;
    std::unordered_map<AttemptId, std::string> m_tokens;
};

template <typename Runner> class PatientWorld {
public:
    static constexpr size_t nodeCount = 4;

    explicit PatientWorld(uint64_t seed)
        : random(seed)
        , table(time, seed + 1)
        , objects(time, seed + 2)
    {
        for (size_t n = 0; n < nodeCount; ++n)
            addNode();
    }

    struct Partition {
        std::unique_ptr<LeaseDriver> lease;
        std::unique_ptr<Runner> runner;
        std::unique_ptr<ActionRetention> retention;
        uint64_t fencingToken { 0 };
    };

    struct Node {
        NodeId id;
        std::shared_ptr<FakeProcess> process;
        std::unique_ptr<TableClient> table;
        std::unique_ptr<ObjectClient> objects;
        WriteBudget budget { { .fleetWritesPerSecond = 100 } };
        std::unique_ptr<ActionAcceptor> acceptor;
        std::unique_ptr<TargetNode> target;
        std::vector<Partition> partitions;
        uint64_t calls { 0 };
        bool isKnownDead { false };
        Duration clockSkew {};
        // Wall clock of the node.
        int64_t unixMilliseconds() const
        {
            constexpr int64_t epoch = 1'700'000'000'000;
            return epoch + toMilliseconds(process->time().now().time_since_epoch() + clockSkew);
        }
    };

    Node& addNode()
    {
        auto& node = *nodes.emplace_back(std::make_unique<Node>());
        node.id = NodeId { random.next() | 1 };
        auto offset = Duration(static_cast<int64_t>(random.below(1'000'000'000)));
        node.process = std::make_shared<FakeProcess>(time, offset, 0.995 + 0.01 * random.unit());
        // Up to 20 s to either side.
        node.clockSkew = Duration(static_cast<int64_t>(random.below(40'000'000))) - std::chrono::seconds(20);
        node.table = table.connect(node.process);
        node.objects = objects.connect(node.process);
        node.acceptor = std::make_unique<ActionAcceptor>(*node.table, *node.objects, node.budget,
            ActionAcceptorOptions { .node = node.id, .instance = random.next() });
        node.target = std::make_unique<TargetNode>(time, random, executions, node.process);
        node.target->refusalRate = refusalRate;
        for (uint32_t n = 0; n < worldPartitions; ++n) {
            auto& partition = node.partitions.emplace_back();
            partition.lease = std::make_unique<LeaseDriver>(*node.table,
                LeaseOptions { .name = partitionLeaseName(n), .holder = node.id, .instance = random.next() });
            partition.lease->acquire(node.process->localNow());
        }
        step(node);
        return node;
    }

    // Kills runner and target of a node. A replacement with another id comes at once; membership learns of the death
    // some seconds later.
    void kill(Node& node)
    {
        if (node.process->isCrashed())
            return;
        node.target->kill();
        lostNodes.insert(node.id);
        node.process->crash();
        time.after(std::chrono::seconds(6), [&node] { node.isKnownDead = true; });
        addNode();
    }

    Node& randomNode()
    {
        for (;;) {
            auto& node = *nodes[random.below(nodes.size())];
            if (!node.process->isCrashed())
                return node;
        }
    }

    void accept(Node& node, const std::string& token, bool deduplicates)
    {
        AcceptRequest request { .token = token,
            .service = ServiceName(deduplicates ? "dedup" : "s"),
            .tenant = TenantName("tenant"),
            .http = { .method = "POST", .target = "/run", .headers = {}, .body = bodyOf(token) },
            .deduplicates = deduplicates };
        isDeduplicated[token] = deduplicates;
        node.acceptor->accept(
            node.process->localNow(), std::move(request), [this, token](Instant, AcceptResult result) {
                ++acceptResults[result.index()];
                if (std::holds_alternative<ActionAccepted>(result))
                    accepted.insert(token);
            });
    }

    static std::string bodyOf(const std::string& token)
    {
        // Every third body is above the limit for rows.
        return token + (token.size() % 3 ? std::string() : std::string(1500, 'b'));
    }

    // The first broken promise, or an empty text.
    std::string findViolation() const
    {
        for (auto& [token, runs] : executions.runsByToken) {
            if (runs > 1)
                return token + " ran " + std::to_string(runs) + " times";
        }
        return violation;
    }

    // Call when all faults are over and the actions have had time to end.
    std::string findUnfinished() const
    {
        for (auto& token : accepted) {
            auto row = table.state.get(endedActionKey(token));
            if (!row)
                return token + (table.state.get(openActionKey(token)) ? " has not ended" : " is lost");
            auto record = decodeActionRecord(row.value().value).value();
            auto runs = executions.runsByToken.count(token) ? executions.runsByToken.at(token) : 0;
            if (record.state == ActionState::Done) {
                if (runs != 1)
                    return token + " is done and ran " + std::to_string(runs) + " times";
                auto body = record.result.body;
                if (!record.resultObject.empty())
                    body = objects.state.get(record.resultObject).value();
                if (body != expectedResult(token))
                    return token + " has another action's result";
            } else if (record.state == ActionState::InDoubt) {
                if (isDeduplicated.at(token))
                    return token + " is in doubt although its service deduplicates";
                if (!lostNodes.count(record.current.node))
                    return token + " is in doubt although its target's node lives";
            } else {
                return token + " has an open state in an ended row";
            }
        }
        for (auto& [token, runs] : executions.runsByToken) {
            if (!table.state.get(openActionKey(token)) && !table.state.get(endedActionKey(token)))
                return token + " ran without a row";
        }
        return {};
    }

    size_t inDoubtCount() const
    {
        size_t count = 0;
        for (auto& token : accepted) {
            auto row = table.state.get(endedActionKey(token));
            count += row && decodeActionRecord(row.value().value)->state == ActionState::InDoubt;
        }
        return count;
    }

    Random random;
    VirtualTime time;
    FakeTable table;
    FakeObjects objects;
    Executions executions;
    std::vector<std::unique_ptr<Node>> nodes;
    std::set<std::string> accepted;
    std::map<std::string, bool> isDeduplicated;
    std::map<size_t, uint64_t> acceptResults;
    // Nodes that were killed.
    std::unordered_set<NodeId> lostNodes;
    // A dispatch without the lease.
    std::string violation;
    uint64_t dispatches { 0 };
    uint64_t queries { 0 };
    // Faults of the network between nodes.
    double linkLossRate { 0 };
    double lateDispatchRate { 0 };
    double refusalRate { 0 };

private:
    // The event loop of a node.
    void step(Node& node)
    {
        auto now = node.process->localNow();
        node.acceptor->tick(now);
        for (uint32_t n = 0; n < worldPartitions; ++n)
            stepPartition(node, n, now);
        node.process->runAfter(std::chrono::milliseconds(100), [this, &node] { step(node); });
    }

    void stepPartition(Node& node, uint32_t number, Instant now)
    {
        auto& partition = node.partitions[number];
        partition.lease->tick(now);
        if (partition.runner && partition.runner->isStopped()) {
            partition.runner.reset();
            partition.retention.reset();
        }
        if (!partition.runner && partition.lease->holds(now))
            startRunner(node, number);
        if (partition.runner)
            partition.runner->tick(now);
        if (partition.retention)
            partition.retention->tick(now);
    }

    void startRunner(Node& node, uint32_t number)
    {
        auto& partition = node.partitions[number];
        auto token = partition.fencingToken = partition.lease->fencingToken();
        auto holds = [&partition, token](Instant at) { return partition.lease->holds(at, token); };
        auto wallClock = [&node] { return node.unixMilliseconds(); };
        ActionRunnerOptions options {
            .node = node.id, .partition = number, .fencingToken = token, .instance = random.next()
        };
        ActionRunnerPorts ports { .table = *node.table,
            .objects = *node.objects,
            .budget = node.budget,
            .holds = holds,
            .selectTarget = [this](Instant, const ServiceName&) { return selectTarget(); },
            .nextCallId = [&node] { return CallId { .origin = node.id, .sequence = ++node.calls }; },
            .unixMilliseconds = wallClock,
            .perform = [this, &node, number](RunnerAction action) { perform(node, number, std::move(action)); } };
        partition.runner = std::make_unique<Runner>(options, std::move(ports));
        partition.retention
            = std::make_unique<ActionRetention>(*node.table, *node.objects, node.budget, holds, wallClock,
                ActionRetentionOptions {
                    .partition = number, .fencingToken = token, .node = node.id, .instance = random.next() });
    }

    // Nodes that are dead but not yet known to be are selected, too.
    std::optional<NodeId> selectTarget()
    {
        std::vector<NodeId> known;
        for (auto& it : nodes) {
            if (!it->isKnownDead)
                known.push_back(it->id);
        }
        return known[random.below(known.size())];
    }

    Node* findNode(NodeId id)
    {
        for (auto& it : nodes) {
            if (it->id == id)
                return it.get();
        }
        return nullptr;
    }

    Duration networkDelay() { return Duration(static_cast<int64_t>(500 + random.below(3000))); }

    void perform(Node& node, uint32_t number, RunnerAction action)
    {
        if (auto* dispatch = std::get_if<DispatchAction>(&action)) {
            ++dispatches;
            auto& partition = node.partitions[number];
            if (!partition.lease->holds(node.process->localNow(), partition.fencingToken))
                violation = dispatch->token + " was sent without the lease";
            send(node, number, *dispatch);
        } else if (auto* query = std::get_if<QueryAction>(&action)) {
            ++queries;
            ask(node, number, *query);
        }
    }

    template <typename Action>
    std::function<void(ActionOutcome)> replyTo(Node& node, uint32_t number, const Action& action)
    {
        return [this, &node, number, token = action.token, attempt = action.attempt](ActionOutcome outcome) {
            node.process->runAfter(networkDelay(), [&node, number, token, attempt, outcome] {
                if (auto& runner = node.partitions[number].runner)
                    runner->noteOutcome(node.process->localNow(), token, attempt, outcome);
            });
        };
    }

    void send(Node& node, uint32_t number, const DispatchAction& action)
    {
        auto reply = replyTo(node, number, action);
        if (random.chance(linkLossRate)) {
            reply(CallLost { .id = action.attempt, .reason = LossReason::LinkLost, .load = {} });
            // The request may arrive all the same, or not.
            if (random.chance(0.5))
                return;
            reply = [](ActionOutcome) {};
        }
        auto delay = networkDelay();
        if (random.chance(lateDispatchRate))
            delay += Duration(static_cast<int64_t>(random.below(40'000'000)));
        auto* target = findNode(action.node);
        auto deadline = node.process->toVirtual(action.deadline);
        target->process->runAfter(delay, [=] { target->target->request(action, deadline, reply); });
    }

    void ask(Node& node, uint32_t number, const QueryAction& action)
    {
        auto reply = replyTo(node, number, action);
        auto* target = findNode(action.node);
        if (target->isKnownDead) {
            reply(NodeGone {});
        } else if (target->process->isCrashed() || random.chance(linkLossRate)) {
            reply(NodeUnreachable {});
        } else {
            auto deadline = node.process->toVirtual(action.deadline);
            target->process->runAfter(networkDelay(), [=] { reply(target->target->query(action.attempt, deadline)); });
        }
    }
};

} // namespace Berylport::Testing
