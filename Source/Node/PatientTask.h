// Accepts patient actions and runs those in the partitions whose leases this node holds.
#pragma once

#include "Node/EntryTask.h"
#include "Node/NodeContext.h"
#include "Node/OperatorTask.h"
#include "Patient/Patient.h"
#include "Store/Store.h"

#include <map>
#include <memory>

namespace Berylport {

class PatientTask : public Task, private PatientRequestHandler, private ActionLookup {
public:
    // Sets both pointers to this task while it is running, and to null when it stops.
    PatientTask(NodeContext&, PatientRequestHandler*& requestHandler, ActionLookup*& lookup);
    ~PatientTask() override;

    void start() override;
    void stop() noexcept override;

private:
    struct Partition {
        uint32_t number { 0 };
        std::unique_ptr<LeaseDriver> lease;
        // Both exist while the lease is held, under its fencing token.
        std::unique_ptr<ActionRunner> runner;
        std::unique_ptr<ActionRetention> retention;
        // When this node starts trying to acquire the lease; absent if it does not compete for it.
        std::optional<Instant> acquireAt;
    };

    void accept(const ServiceDefinition&, const CallerRequest&, HttpRequest, Responder) override;
    void showAction(std::string_view token, const HttpRequest&, Responder) override;
    void findAction(std::string token, OperatorReply<ActionReply>) override;

    void handle(ActionOutcomeArrived&&);
    void handle(BeginDrain&&);

    void perform(uint32_t partition, RunnerAction);
    void perform(uint32_t partition, DispatchAction&&);
    void perform(uint32_t partition, QueryAction&&);
    void perform(uint32_t partition, RunnerStopped&&);
    std::function<void(ActionOutcome)> makeOutcomeCallback(uint32_t partition, std::string token, const AttemptId&);
    void recordActionEnd(std::string_view token, ActionState);
    std::optional<NodeId> selectTarget(const ServiceName&);
    bool isNodeDead(NodeId) const;

    void assignPartitions(Instant now);
    void drivePartition(Partition&, Instant now);
    void startRunner(Partition&, Instant now);
    void wake();

    NodeContext& m_context;
    PatientRequestHandler*& m_requestHandler;
    ActionLookup*& m_lookup;
    Mailbox<PatientMessage> m_mailbox;
    HttpTableClient m_table;
    HttpObjectClient m_objects;
    WriteBudget m_budget;
    Random m_random;
    ActionAcceptor m_acceptor;
    ActionStatus m_status;
    std::map<uint32_t, Partition> m_partitions;
    Timer m_timer;
    Instant m_nextAssignment;
    uint64_t m_lastSequence { 0 };
    bool m_isDraining { false };
};

} // namespace Berylport
