// Supervisor tree, signals and graceful shutdown.
#include "Node/NodeDaemon.h"

#include "Log/Log.h"
#include "Node/ConfigurationTask.h"
#include "Node/DirectoryTask.h"
#include "Node/EntryTask.h"
#include "Node/HealthTask.h"
#include "Node/LinkTask.h"
#include "Node/MembershipTask.h"
#include "Node/MemoryLimits.h"
#include "Node/NativeDialect.h"
#include "Node/OperatorTask.h"
#include "Node/PatientTask.h"
#include "Node/QuotaTask.h"
#include "Node/TargetTask.h"
#include "Trace/Trace.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <sys/stat.h>

namespace Berylport {

namespace {

constexpr Duration drainCheckInterval = std::chrono::milliseconds(50);
// Time after the last call has completed in which buffered responses are sent and queries of peers are answered.
constexpr Duration lingerTime = std::chrono::milliseconds(500);
// The drain ends this long before the process is killed, so that the last responses are sent.
constexpr Duration killMargin = std::chrono::milliseconds(300);
// Part of that margin in which the calls that are left get their final answers.
constexpr Duration finalAnswerTime = std::chrono::milliseconds(150);
// Upper bound of the delay between an event and its line in the log.
constexpr Duration logFlushInterval = std::chrono::milliseconds(200);
// Polling interval for changes of the settings file that are not signalled.
constexpr Duration settingsInterval = std::chrono::seconds(1);
constexpr int exitUsage = 2;

// Reads the file if its modification time or size has changed since the last call.
SettingsReader makeFileReader(const std::string& path, const std::vector<std::string>& overrides)
{
    struct FileStamp {
        timespec changed {};
        off_t size { 0 };
    };
    auto readStamp = [path]() {
        struct stat info { };
        if (stat(path.c_str(), &info))
            return FileStamp {};
        return FileStamp { .changed = info.st_mtim, .size = info.st_size };
    };
    return [path, overrides, readStamp,
               last = readStamp()]() mutable -> std::optional<Result<NodeSettings, SettingsErrors>> {
        FileStamp now = readStamp();
        bool isSame = now.size == last.size && now.changed.tv_sec == last.changed.tv_sec
            && now.changed.tv_nsec == last.changed.tv_nsec;
        if (isSame)
            return std::nullopt;
        last = now;
        return readSettingsFile(path, overrides);
    };
}

uint64_t generateSeed()
{
    std::random_device device;
    uint64_t high = device();
    uint64_t seed = high << 32 | device();
    return seed ? seed : 1;
}

class NodeDaemon {
public:
    NodeDaemon(const NodeSettings& settings, NodeAdapter adapter, SettingsReader reader)
        : m_settings(settings)
        , m_adapter(std::move(adapter))
        , m_readSettings(std::move(reader))
        , m_context { .loop = m_loop,
            .settings = m_settings,
            .adapter = m_adapter,
            .self = NodeId { generateSeed() },
            .seed = generateSeed() }
        , m_root(m_loop, "node", makeOptions(), makeChildren())
        , m_signals(m_loop, { SIGTERM, SIGINT, SIGHUP }, [this](int signal) { handleSignal(signal); })
        , m_drainTimer(m_loop, [this] { checkDrain(); })
        , m_endTimer(m_loop, [this] { m_loop.stop(); })
        , m_logTimer(m_loop, [] { flushLog(); })
        , m_settingsTimer(m_loop, [this] { reloadSettings(); })
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
            m_logTimer.startPeriodic(logFlushInterval);
            if (m_readSettings)
                m_settingsTimer.startPeriodic(settingsInterval);
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
        flushLog();
        return m_exit;
    }

private:
    SupervisorOptions makeOptions()
    {
        SupervisorOptions options;
        options.onChildEvent = [this](const ChildEvent& event) { handleChildEvent(event); };
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
        children.push_back(makeChild<HealthTask>("health"));
        children.push_back(makeChild<QuotaTask>("quota"));
        if (m_adapter.connectStore) {
            children.push_back(makeChild<DirectoryTask>("directory"));
            return children;
        }
        children.push_back(makeChild<ConfigurationTask>("configuration"));
        children.push_back({ .name = "patient",
            .create = [this] { return std::make_unique<PatientTask>(m_context, m_patient, m_actions); } });
        children.push_back(
            { .name = "operator", .create = [this] { return std::make_unique<OperatorTask>(m_context, m_actions); } });
        return children;
    }

    void handleChildEvent(const ChildEvent& event)
    {
        if (event.kind == ChildEventKind::Failed)
            logEvent(Event::TaskFailed, { { "task", event.child }, { "reason", event.reason } });
        if (event.kind == ChildEventKind::Restarted)
            logEvent(Event::TaskRestarted, { { "task", event.child } });
        if (event.kind == ChildEventKind::GivenUp)
            logEvent(Event::RestartLimitReached, { { "task", event.child } });
        // The call ledgers of the target task cannot be rebuilt, so the node must not continue with the same id.
        if (event.kind == ChildEventKind::Failed && event.child == "target") {
            m_exit = NodeExit::Failed;
            m_loop.stop();
        }
    }

    void handleSignal(int signal)
    {
        if (signal == SIGHUP) {
            reloadSettings();
            return;
        }
        if (m_context.status.isDraining) {
            abortDrain("second signal");
            return;
        }
        m_context.status.isDraining = true;
        const ShutdownSection& shutdown = m_settings.shutdown;
        m_drainStart = steadyNow();
        m_drainDeadline = m_drainStart + shutdown.drainLimit;
        if (shutdown.killTime > killMargin) {
            m_drainDeadline = std::min(m_drainDeadline, m_drainStart + shutdown.killTime - killMargin);
            m_context.status.shutdown
                = ShutdownWindow { .noticedAt = m_drainStart + shutdown.killTime / 2, .terminatesAt = m_drainDeadline };
        }
        logEvent(Event::NodeDraining,
            { { "entry_calls", std::to_string(m_context.status.entryCalls) },
                { "admitted_calls", std::to_string(m_context.status.admittedCalls) } });
        checkDrain();
        m_drainTimer.startPeriodic(drainCheckInterval);
    }

    // Called once the notice time has elapsed. Until then callers may not have noticed the shutdown, and the target on
    // this VM continues to accept calls from all nodes.
    void beginDrain()
    {
        m_isDrainBegun = true;
        m_context.ports.membership.post(BeginDrain {});
        m_context.ports.target.post(BeginDrain {});
        m_context.ports.configuration.post(BeginDrain {});
        m_context.ports.patient.post(BeginDrain {});
    }

    // Drains in two phases: first the calls running on targets complete, during which nested calls that they make
    // through this node must be served; then the calls of callers complete.
    void checkDrain()
    {
        Instant now = steadyNow();
        const NodeStatus& status = m_context.status;
        bool isNoticed = now - m_drainStart >= m_settings.shutdown.noticeTime;
        if (isNoticed && !m_isDrainBegun)
            beginDrain();
        bool isIdle
            = isNoticed && !status.admittedCalls && !status.runningActions && (!m_isEntryClosing || !status.entryCalls);
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
            abortDrain("drain limit");
    }

    // The calls that are left are answered rather than cut off: what has not started has not run, and of the others the
    // caller learns at once that they may have run.
    void abortDrain(std::string reason)
    {
        if (m_exit == NodeExit::DrainAborted) {
            m_loop.stop();
            return;
        }
        logEvent(Event::DrainCutShort,
            { { "reason", std::move(reason) }, { "entry_calls", std::to_string(m_context.status.entryCalls) },
                { "admitted_calls", std::to_string(m_context.status.admittedCalls) } });
        m_exit = NodeExit::DrainAborted;
        m_context.ports.entry.post(StopRetries {});
        if (!m_context.ports.target.post(EndCalls {}))
            m_context.ports.entry.post(EndCalls {});
        m_drainTimer.stop();
        m_endTimer.startOnce(finalAnswerTime);
    }

    // Applies the settings that can change at run time (service name and log level); the others need a restart.
    void reloadSettings()
    {
        auto read = m_readSettings ? m_readSettings() : std::nullopt;
        if (!read)
            return;
        if (!read->has_value()) {
            if (!std::exchange(m_areSettingsInvalid, true))
                logEvent(Event::SettingsReloaded,
                    { { "outcome", "rejected" }, { "reason", toText(read->error().front()) } });
            return;
        }
        m_areSettingsInvalid = false;
        const NodeSettings& fresh = read->value();
        bool isSame = fresh.node.service == m_settings.node.service && fresh.log.level == m_settings.log.level;
        if (isSame)
            return;
        m_settings.node.service = fresh.node.service;
        m_settings.log.level = fresh.log.level;
        setLogLevel(parseLevel(fresh.log.level).value_or(Level::Info));
        logEvent(Event::SettingsReloaded,
            { { "outcome", "applied" }, { "service", m_settings.node.service }, { "level", m_settings.log.level } });
    }

    EventLoop m_loop;
    NodeSettings m_settings;
    NodeAdapter m_adapter;
    SettingsReader m_readSettings;
    bool m_areSettingsInvalid { false };
    NodeContext m_context;
    PatientRequestHandler* m_patient { nullptr };
    ActionLookup* m_actions { nullptr };
    Supervisor m_root;
    SignalWatcher m_signals;
    Timer m_drainTimer;
    Timer m_endTimer;
    Timer m_logTimer;
    Timer m_settingsTimer;
    Instant m_drainStart;
    bool m_isDrainBegun { false };
    Instant m_drainDeadline;
    bool m_isEntryClosing { false };
    std::optional<Instant> m_idleSince;
    NodeExit m_exit { NodeExit::Clean };
};

} // namespace

NodeExit runNode(const NodeSettings& settings, NodeAdapter adapter, SettingsReader reader)
{
    returnFreedMemory();
    return NodeDaemon(settings, std::move(adapter), std::move(reader)).run();
}

NodeAdapter makeNativeAdapter() { return { .dialect = std::make_shared<NativeDialect>(), .connectStore = nullptr }; }

int runNodeProgram(int argc, char** argv, const NodeProgram& program)
{
    cxxopts::Options options(program.name, program.purpose);
    options.add_options()("settings", "settings file (docs/settings.md)", cxxopts::value<std::string>())("set",
        "section.key=value in place of what the file says; no value, no effect",
        cxxopts::value<std::vector<std::string>>())("check", "check the settings file and exit")(
        "help", "show this help");
    auto usage = [&](std::string_view text) {
        std::cerr << program.name << ": " << text << '\n';
        return exitUsage;
    };
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (!arguments.count("settings"))
            return usage("--settings FILE is required; see --help");
        auto path = arguments["settings"].as<std::string>();
        std::vector<std::string> overrides;
        if (arguments.count("set"))
            overrides = arguments["set"].as<std::vector<std::string>>();
        auto settings = readSettingsFile(path, overrides);
        if (!settings) {
            for (auto& it : settings.error())
                usage(toText(it));
            return exitUsage;
        }
        if (arguments.count("check")) {
            std::cout << "settings are valid\n";
            return 0;
        }
        const LogSection& log = settings.value().log;
        startLog({ .level = parseLevel(log.level).value_or(Level::Info), .file = log.file, .isGathered = true });
        auto exit = runNode(settings.value(), program.adapter, makeFileReader(path, overrides));
        return static_cast<int>(exit);
    } catch (const std::exception& ex) {
        return usage(ex.what());
    }
}

} // namespace Berylport
