// Supervision of child tasks.
#include "Loop/Supervisor.h"

#include <algorithm>

namespace Berylport {

std::string_view toText(ChildEventKind kind)
{
    switch (kind) {
    case ChildEventKind::Started:
        return "started";
    case ChildEventKind::Failed:
        return "failed";
    case ChildEventKind::Restarted:
        return "restarted";
    case ChildEventKind::Finished:
        return "finished";
    case ChildEventKind::Stopped:
        return "stopped";
    case ChildEventKind::GivenUp:
        return "given-up";
    }
    return "unknown";
}

Supervisor::Supervisor(EventLoop& loop, std::string name, SupervisorOptions options, std::vector<ChildOptions> children)
    : Task(loop, std::move(name))
    , m_options(std::move(options))
    , m_endings(loop, guarded([this](Ending&& ending) { handle(std::move(ending)); }))
{
    for (auto& it : children)
        m_children.push_back({ .options = std::move(it), .task = nullptr, .restarts = {} });
}

Supervisor::~Supervisor() { stop(); }

void Supervisor::start()
{
    for (auto& it : m_children) {
        report(it, ChildEventKind::Started);
        startChild(it);
    }
}

void Supervisor::stop() noexcept
{
    for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
        if (!it->task)
            continue;
        release(*it);
        loop().guard([&] { report(*it, ChildEventKind::Stopped); });
    }
}

Task* Supervisor::find(const std::string& name)
{
    auto it = std::find_if(
        m_children.begin(), m_children.end(), [&](const Child& child) { return child.options.name == name; });
    return it == m_children.end() ? nullptr : it->task.get();
}

void Supervisor::startChild(Child& child)
{
    try {
        child.task = child.options.create();
        child.task->setParent(this);
        child.task->start();
    } catch (...) {
        m_endings.post({ child.options.name, child.task.get(), std::current_exception() });
    }
}

// Handled in a later turn, as the child is still on the call stack.
void Supervisor::taskFailed(Task& task, std::exception_ptr failure)
{
    m_endings.post({ task.name(), &task, std::move(failure) });
}

void Supervisor::taskFinished(Task& task) { m_endings.post({ task.name(), &task, nullptr }); }

void Supervisor::handle(Ending&& ending)
{
    for (auto& it : m_children) {
        bool isThisOne = ending.task ? it.task.get() == ending.task : it.options.name == ending.child && !it.task;
        if (!isThisOne)
            continue;
        release(it);
        if (!ending.failure) {
            report(it, ChildEventKind::Finished);
            return;
        }
        std::string reason = describe(ending.failure);
        report(it, ChildEventKind::Failed, reason);
        restart(it, reason);
        return;
    }
}

void Supervisor::restart(Child& child, const std::string& reason)
{
    if (!mayRestart(child)) {
        report(child, ChildEventKind::GivenUp, reason);
        fail(std::make_exception_ptr(RestartLimitExceeded(child.options.name + ": " + reason)));
        return;
    }
    child.restarts.push_back(m_options.clock());
    report(child, ChildEventKind::Restarted);
    startChild(child);
}

bool Supervisor::mayRestart(Child& child)
{
    Instant start = m_options.clock() - m_options.window;
    while (!child.restarts.empty() && child.restarts.front() <= start)
        child.restarts.pop_front();
    return child.restarts.size() < m_options.maximumRestarts;
}

void Supervisor::release(Child& child)
{
    if (!child.task)
        return;
    child.task->setParent(nullptr);
    child.task->stop();
    child.task.reset();
}

void Supervisor::report(const Child& child, ChildEventKind kind, std::string reason)
{
    if (m_options.onChildEvent)
        m_options.onChildEvent({ .child = child.options.name, .kind = kind, .reason = std::move(reason) });
}

} // namespace Berylport
