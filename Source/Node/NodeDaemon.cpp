// Supervisor tree, signals and graceful shutdown.
#include "Node/NodeDaemon.h"

#include "Log/Log.h"
#include "Node/ConfigurationTask.h"
#include "Node/EntryTask.h"
#include "Node/LinkTask.h"
#include "Node/MembershipTask.h"
#include "Node/OperatorTask.h"
#include "Node/PatientTask.h"
#include "Node/TargetTask.h"
#include "Trace/Trace.h"

#include <csignal>
#include <iostream>
#include <random>

namespace Berylport {

namespace {

constexpr Duration drainCheckInterval = std::chrono::milliseconds(50);
// After the last work is done, answers still in socket buffers and queries of peers get this long.
constexpr Duration lingerTime = std::chrono::milliseconds(500);

uint64_t drawSeed()
{
    std::random_device device;
    uint64_t high = device();
    uint64_t seed = high << 32 | device();
    return seed ? seed : 1;
}

class NodeDaemon {
public:
    explicit NodeDaemon(const NodeSettings& settings)
        : m_context { .loop = m_loop, .settings = settings, .self = NodeId { drawSeed() }, .seed = drawSeed() }
        , m_root(m_loop, "node", makeOptions(), makeChildren())
        , m_signals(m_loop, { SIGTERM, SIGINT }, [this](int) { signalled(); })
        , m_drainTimer(m_loop, [this] { checkDrain(); })
    {
        m_context.status.startedAt = steadyNow();
        m_context.status.catalogue = std::make_shared<ServiceCatalogue>();
    }

    NodeExit run()
    {
        auto sink = openSpanSink(m_context.settings.trace.output);
        if (!sink) {
            logEvent(Event::StartFailed,
                { { "reason", "cannot open the trace output " + m_context.settings.trace.output } });
            return NodeExit::Failed;
        }
        m_context.tracer = makeJsonTracer(*sink, m_context.seed, toText(m_context.self));
        try {
            m_root.start();
            const ListenSection& listen = m_context.settings.listen;
            logEvent(Event::NodeStarted,
                { { "node", toText(m_context.self) }, { "caller", toText(listen.caller) },
                    { "peer", toText(listen.peer) } });
            m_loop.run();
        } catch (const std::exception& ex) {
            logEvent(Event::StartFailed, { { "reason", ex.what() } });
            m_exit = NodeExit::Failed;
        }
        m_root.stop();
        logEvent(Event::NodeStopped, { { "clean", m_exit == NodeExit::Clean ? "yes" : "no" } });
        return m_exit;
    }

private:
    SupervisorOptions makeOptions()
    {
        SupervisorOptions options;
        options.onChildEvent = [this](const ChildEvent& event) { childChanged(event); };
        return options;
    }

    template <typename TaskType> ChildOptions makeChild(std::string name)
    {
        return { .name = std::move(name), .create = [this] { return std::make_unique<TaskType>(m_context); } };
    }

    std::vector<ChildOptions> makeChildren()
    {
        std::vector<ChildOptions> children;
        children.push_back(makeChild<LinkTask>("link"));
        children.push_back(makeChild<TargetTask>("target"));
        children.push_back(
            { .name = "entry", .create = [this] { return std::make_unique<EntryTask>(m_context, m_patient); } });
        children.push_back(makeChild<MembershipTask>("membership"));
        children.push_back(makeChild<ConfigurationTask>("configuration"));
        children.push_back({ .name = "patient",
            .create = [this] { return std::make_unique<PatientTask>(m_context, m_patient, m_actions); } });
        children.push_back(
            { .name = "operator", .create = [this] { return std::make_unique<OperatorTask>(m_context, m_actions); } });
        return children;
    }

    void childChanged(const ChildEvent& event)
    {
        if (event.kind == ChildEventKind::Failed)
            logEvent(Event::TaskFailed, { { "task", event.child }, { "reason", event.reason } });
        if (event.kind == ChildEventKind::Restarted)
            logEvent(Event::TaskRestarted, { { "task", event.child } });
        if (event.kind == ChildEventKind::GivenUp)
            logEvent(Event::RestartLimitReached, { { "task", event.child } });
        // The ledgers of the target task cannot be rebuilt, so the node must not go on under the same id.
        if (event.kind == ChildEventKind::Failed && event.child == "target") {
            m_exit = NodeExit::Failed;
            m_loop.stop();
        }
    }

    void signalled()
    {
        if (m_context.status.isDraining) {
            cutShort("second signal");
            return;
        }
        m_context.status.isDraining = true;
        m_drainDeadline = steadyNow() + m_context.settings.shutdown.drainLimit;
        logEvent(Event::NodeDraining,
            { { "entry_calls", std::to_string(m_context.status.entryCalls) },
                { "admitted_calls", std::to_string(m_context.status.admittedCalls) } });
        m_context.ports.membership.post(BeginDrain {});
        m_context.ports.target.post(BeginDrain {});
        m_context.ports.configuration.post(BeginDrain {});
        m_context.ports.patient.post(BeginDrain {});
        m_drainTimer.startPeriodic(drainCheckInterval);
    }

    // First the targets' work ends; until then calls that it makes through this node must be served. Then the callers'.
    void checkDrain()
    {
        Instant now = steadyNow();
        const NodeStatus& status = m_context.status;
        bool isIdle = !status.admittedCalls && !status.runningActions && (!m_isEntryClosing || !status.entryCalls);
        if (!isIdle)
            m_idleSince.reset();
        else if (!m_idleSince)
            m_idleSince = now;
        bool isOver = m_idleSince && now - *m_idleSince >= lingerTime;
        if (isOver && m_isEntryClosing)
            m_loop.stop();
        else if (isOver) {
            m_isEntryClosing = true;
            m_idleSince.reset();
            m_context.ports.entry.post(BeginDrain {});
        } else if (now >= m_drainDeadline)
            cutShort("drain limit");
    }

    void cutShort(std::string reason)
    {
        logEvent(Event::DrainCutShort,
            { { "reason", std::move(reason) }, { "entry_calls", std::to_string(m_context.status.entryCalls) },
                { "admitted_calls", std::to_string(m_context.status.admittedCalls) } });
        m_exit = NodeExit::CutShort;
        m_loop.stop();
    }

    EventLoop m_loop;
    NodeContext m_context;
    PatientGate* m_patient { nullptr };
    ActionLookup* m_actions { nullptr };
    Supervisor m_root;
    SignalWatcher m_signals;
    Timer m_drainTimer;
    Instant m_drainDeadline;
    bool m_isEntryClosing { false };
    std::optional<Instant> m_idleSince;
    NodeExit m_exit { NodeExit::Clean };
};

} // namespace

NodeExit runNode(const NodeSettings& settings) { return NodeDaemon(settings).run(); }

} // namespace Berylport
