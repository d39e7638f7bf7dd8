// Serves operator requests: answers queries from the node status and passes changes to the task that owns the state.
#pragma once

#include "Node/NodeContext.h"
#include "Operator/Operator.h"

namespace Berylport {

// Looks patient actions up; implemented by the patient task.
class ActionLookup {
public:
    virtual ~ActionLookup() = default;
    virtual void findAction(std::string token, OperatorReply<ActionReply>) = 0;
};

class OperatorTask : public Task, private OperatorHandler {
public:
    // `actions` is null while the patient task is not running.
    OperatorTask(NodeContext&, ActionLookup* const& actions);

    void start() override;
    void stop() noexcept override { }

private:
    void listServices(OperatorReply<ServiceList>) override;
    void changeService(ServiceChangeRequest, OperatorReply<ServiceChangeReply>) override;
    void listTargets(OperatorReply<std::vector<TargetRow>>) override;
    void drainTarget(NodeId, ServiceName, bool isDrained, OperatorReply<OperatorError>) override;
    void listMembers(OperatorReply<std::vector<MemberRow>>) override;
    void listZones(OperatorReply<ZoneList>) override;
    void retireZone(ZoneName, OperatorReply<OperatorError>) override;
    void measures(OperatorReply<std::vector<MeasureRow>>) override;
    void status(OperatorReply<OperatorNodeStatus>) override;
    void findAction(std::string token, OperatorReply<ActionReply>) override;

    NodeContext& m_context;
    ActionLookup* const& m_actions;
    OperatorServer m_server;
};

} // namespace Berylport
