// Runs the patient actions of one partition while its lease is held.
#pragma once

#include "Patient/ActionRecord.h"
#include "Store/Store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Berylport {

struct ActionRunnerOptions {
    NodeId node {};
    uint32_t partition { 0 };
    // Of the partition's lease. Checked by the store in every write.
    uint64_t fencingToken { 0 };
    // Random number drawn for each runner; keeps the request tokens of a restarted one apart from its predecessor's.
    uint64_t instance { 0 };
    // Scans for new actions: 16 reads a second for the fleet.
    Duration pollEvery { std::chrono::seconds(1) };
    uint32_t scanRows { 200 };
    // Transitions in one transaction. Each names two rows at most, and the service allows 100 rows.
    uint32_t batchLimit { 25 };
    uint32_t maxTracked { 500 };
    // Attempts outstanding at targets.
    uint32_t maxRunning { 64 };
    // From the claim to the end of the attempt.
    Duration runTimeout { std::chrono::seconds(60) };
    // An attempt without an outcome is asked about this long after its deadline, and again at this interval.
    Duration answerGrace { std::chrono::seconds(5) };
    // Pause between questions about an attempt that still runs or whose node cannot be reached.
    Duration queryEvery { std::chrono::seconds(2) };
    // Pause before an action that did not run is tried again; doubles.
    Duration backoffMin { std::chrono::milliseconds(200) };
    Duration backoffMax { std::chrono::seconds(30) };
    // Largest difference between the wall clocks of two nodes. Deadlines read from a row count as this much earlier, so
    // that a node that has forgotten the attempt says so rather than that it did not run.
    Duration clockDifference { std::chrono::seconds(60) };
    // Larger results go to the object store.
    size_t inlineResultBytes { 1024 };
    // Time to resolve a lost confirmation.
    Duration resolveTime { std::chrono::minutes(5) };
};

// To be sent now to the node, as an at-most-once call. Its outcome comes back through `noteOutcome`.
struct DispatchAction {
    std::string token;
    AttemptId attempt;
    NodeId node;
    ServiceName service;
    TenantName tenant;
    Instant deadline;
    // With the token as Idempotency-Key.
    HttpRequest http;
};

// To be asked of the node as a CallQuery.
struct QueryAction {
    std::string token;
    AttemptId attempt;
    NodeId node;
    ServiceName service;
    Instant deadline;
};

// The runner does nothing any more. Its partition needs a new lease and a new runner.
struct RunnerStopped {
    std::string reason;
};

using RunnerAction = std::variant<DispatchAction, QueryAction, RunnerStopped>;

// The node cannot be reached at present, but may be alive.
struct NodeUnreachable { };
// The node is known to be dead: another process, or declared dead by membership.
struct NodeGone { };
using ActionOutcome = std::variant<CallAnswered, CallRefused, CallLost, CallPending, NodeUnreachable, NodeGone>;

// What a runner uses. `perform` must not destroy the runner.
struct ActionRunnerPorts {
    TableClient& table;
    ObjectClient& objects;
    WriteBudget& budget;
    // LeaseKeeper::holds with the runner's fencing token.
    std::function<bool(Instant now)> holds;
    std::function<std::optional<NodeId>(Instant now, const ServiceName&)> selectTarget;
    // Unique for this node.
    std::function<CallId()> nextCallId;
    // Wall clock.
    std::function<int64_t()> unixMilliseconds;
    std::function<void(RunnerAction)> perform;
    // Hears of each action whose end is durable; may be empty.
    std::function<void(std::string_view token, ActionState)> noteEnded {};
};

// Safe against a second runner of the same partition by three rules: every write checks the fencing token and the row
// version in the store; an attempt is sent only after its claim is confirmed and while the lease is held; an attempt of
// unknown outcome is first asked about at the recorded node, which then refuses it if it arrives later.
class ActionRunner {
public:
    ActionRunner(ActionRunnerOptions, ActionRunnerPorts);
    ActionRunner(const ActionRunner&) = delete;
    ActionRunner& operator=(const ActionRunner&) = delete;
    ~ActionRunner();

    void tick(Instant now);
    std::optional<Instant> nextWake() const;
    // Outcome of a DispatchAction or QueryAction. Outcomes of attempts that are not current are ignored.
    void noteOutcome(Instant now, std::string_view token, const AttemptId&, ActionOutcome);
    // Claims nothing more; what runs is finished. The lease may be released when `isIdle`.
    void drain() { m_isDraining = true; }
    bool isIdle() const;
    bool isStopped() const { return m_isStopped; }
    size_t trackedCount() const { return m_tracked.size(); }

private:
    enum class Stage : uint8_t;
    struct Tracked;
    using Batch = std::vector<std::string>;

    void stop(std::string reason);
    bool stopUnlessHeld(Instant now);
    void startScan(Instant now);
    void noteScan(Instant now, ScanPage);
    void track(Instant now, const TableRow&, std::string token);
    void advance(Instant now, Tracked&);
    void prepareClaim(Instant now, Tracked&);
    void loadBody(Tracked&);
    void sendQuery(Instant now, Tracked&);
    void dispatch(Instant now, Tracked&);
    void noteAnswer(Instant now, Tracked&, HttpResponse);
    void storeResult(Tracked&);
    void noteRefused(Tracked&, const CallRefused&);
    void noteLost(Instant now, Tracked&, LossReason);
    void noteUnknown(Tracked&);
    void returnToAccepted(Tracked&, Duration pause);
    void end(Tracked&, ActionState, HttpResponse result);
    void enqueue(Tracked&, bool isUrgent);
    void flush(Instant now);
    Transaction makeTransaction(Instant now, const Batch&);
    void noteBatch(Instant now, const Batch&, const StoreResult<TransactionResult>&);
    void applyBatch(Instant now, const Batch&, const TransactionResult&);
    void requeue(const Batch&);
    Tracked* find(std::string_view token);
    uint32_t runningCount() const;
    Duration nextBackoff(Tracked&) const;

    ActionRunnerOptions m_options;
    ActionRunnerPorts m_ports;
    WriteResolver m_resolver;
    std::map<std::string, std::unique_ptr<Tracked>, std::less<>> m_tracked;
    // Tokens of tracked actions in stage Writing that are not in the batch under way.
    std::deque<std::string> m_queue;
    bool m_isWriting { false };
    // Falls to 1 after a malformed batch, to find the transition at fault.
    uint32_t m_batchLimit;
    Instant m_flushAt {};
    bool m_isScanning { false };
    std::string m_scanAfter;
    Instant m_nextScan {};
    bool m_isDraining { false };
    bool m_isStopped { false };
    uint64_t m_requests { 0 };
    // Callbacks of the clients hold weak references to it.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport
