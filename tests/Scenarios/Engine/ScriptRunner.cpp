// Steps and checks of a script.
#include "Scenarios/Engine/ScriptRunner.h"

#include "Base/Overloaded.h"
#include "Scenarios/Engine/World.h"

#include <algorithm>

namespace Berylport::Scenario {

namespace {

// Virtual time after the last deadline in which late messages may still do harm.
constexpr Duration settlingTime = std::chrono::seconds(60);

class Runner {
public:
    explicit Runner(const Script& script)
        : m_script(script)
    {
    }

    std::vector<std::string> run()
    {
        // Targets first: entry nodes treat targets that come later as cold.
        for (const auto& target : m_script.targets)
            m_world.addTarget(target.name, target.service, target.behaviour, target.zone);
        for (const auto& entry : m_script.entries)
            m_world.addEntry(entry.name);
        for (const auto& step : m_script.steps)
            m_world.at(step.time, [this, &step] { perform(step); });
        m_world.run(end());
        checkPromises();
        for (const auto& expectation : m_script.expectations) {
            m_line = expectation.line;
            std::visit([&](const auto& it) { check(it); }, expectation.check);
        }
        return m_failures;
    }

private:
    Instant end() const
    {
        Instant last;
        for (const auto& step : m_script.steps) {
            auto time = step.time;
            if (const auto* send = std::get_if<SendCalls>(&step.action))
                time += send->definition.callerWait + send->interval * static_cast<int64_t>(send->last - send->first);
            last = std::max(last, time);
        }
        return last + settlingTime;
    }

    // Steps.

    void perform(const Step& step)
    {
        std::visit([&](const auto& action) { perform(action); }, step.action);
    }

    void perform(const SendCalls& calls)
    {
        for (uint64_t number = calls.first; number <= calls.last; ++number) {
            auto time = m_world.now() + calls.interval * static_cast<int64_t>(number - calls.first);
            m_kinds[number] = calls.definition.kind;
            m_world.at(time, [this, &calls, number] { sendOne(calls, number); });
        }
    }

    void sendOne(const SendCalls& calls, uint64_t number)
    {
        StartCall start;
        start.definition = calls.definition;
        start.tenant = TenantName { "tenant" };
        start.http.method = "GET";
        start.deadline = m_world.now() + calls.definition.callerWait;
        start.retryTokens = calls.definition.retryTokens;
        start.depth = calls.depth;
        m_world.sendCall(number, calls.entry, start);
    }

    void perform(const LeaveCaller& action) { m_world.leaveCaller(action.call); }

    void perform(const ChangeLink& action)
    {
        switch (action.change) {
        case LinkChange::Cut:
            return m_world.cutLink(action.entry, action.target);
        case LinkChange::Heal:
            return m_world.healLink(action.entry, action.target);
        case LinkChange::Duplicate:
            return m_world.setLinkDuplicates(action.entry, action.target, true);
        case LinkChange::Delay:
            return m_world.setLinkDelay(action.entry, action.target, action.delay);
        }
    }

    void perform(const FreezeTarget& action) { m_world.freeze(action.target, action.duration); }
    void perform(const CrashTarget& action) { m_world.crash(action.target); }
    void perform(const AnnounceGone& action) { m_world.announceGone(action.target); }
    void perform(const SetState& action) { m_world.setTargetState(action.target, action.state); }
    void perform(const SetSuspect& action) { m_world.setSuspect(action.target, action.isSuspect); }

    void perform(const DrainTarget& action)
    {
        m_world.changeTarget(action.target, [](auto& behaviour) { behaviour.isDraining = true; });
    }

    void perform(const SlowTarget& action)
    {
        m_world.changeTarget(action.target, [&](auto& behaviour) { behaviour.serviceTime = action.serviceTime; });
    }

    void perform(const SetStatus& action)
    {
        m_world.changeTarget(action.target, [&](auto& behaviour) { behaviour.status = action.status; });
    }

    void perform(const CloseConnections& action)
    {
        m_world.changeTarget(action.target, [](auto& behaviour) { behaviour.closesConnection = true; });
    }

    // Checks.

    void fail(const std::string& text)
    {
        m_failures.push_back(m_script.file + ":" + std::to_string(m_line) + ": " + text);
    }

    void checkPromises()
    {
        m_line = 0;
        for (const auto& [number, call] : m_world.calls())
            checkPromises(number, call);
    }

    void checkPromises(uint64_t number, const CallRecord& call)
    {
        auto name = "call " + std::to_string(number);
        size_t expected = call.isCallerGone ? std::min<size_t>(call.answers.size(), 1) : 1;
        if (call.answers.size() != expected)
            fail(name + " was answered " + std::to_string(call.answers.size()) + " times");
        if (m_kinds.at(number) != RequestKind::Idempotent && call.starts.size() > 1)
            fail(name + " must not run twice and was started " + std::to_string(call.starts.size()) + " times");
        for (size_t n = 0; n < call.answers.size(); ++n)
            checkAnswer(name, call, call.answers[n], call.answeredAt[n]);
    }

    void checkAnswer(const std::string& name, const CallRecord& call, const AnswerCaller& answer, Instant time)
    {
        if (time > call.deadline)
            fail(name + " was answered after its deadline");
        if (answer.outcome == RunOutcome::NotRun && !call.starts.empty())
            fail(name + " was answered not-run and was started by " + call.starts[0]);
        if (const auto* http = std::get_if<HttpResponse>(&answer.result); http && http->body != call.body)
            fail(name + " got the answer of '" + http->body + "'");
    }

    // The only answer; null, with a failure noted, when there is none.
    const AnswerCaller* answerOf(uint64_t number)
    {
        const auto& call = m_world.call(number);
        if (!call.answers.empty())
            return &call.answers[0];
        fail("call " + std::to_string(number) + " has no answer");
        return nullptr;
    }

    void check(const ExpectOutcome& expected)
    {
        const auto* answer = answerOf(expected.call);
        if (!answer)
            return;
        if (answer->outcome != expected.outcome)
            fail("the outcome is " + std::string(toText(answer->outcome)));
        auto time = m_world.call(expected.call).answeredAt[0];
        if (time > expected.by)
            fail("the answer came at " + std::to_string(toMicroseconds(time)) + "us");
    }

    void check(const ExpectStatus& expected)
    {
        const auto* answer = answerOf(expected.call);
        if (!answer)
            return;
        const auto* http = std::get_if<HttpResponse>(&answer->result);
        if (!http || http->status != expected.status)
            fail(http ? "the status is " + std::to_string(http->status) : "the target's answer was not passed on");
    }

    void check(const ExpectFailure& expected)
    {
        const auto* answer = answerOf(expected.call);
        if (!answer)
            return;
        const auto* failure = std::get_if<CallFailure>(&answer->result);
        if (!failure || toText(*failure) != expected.failure)
            fail(failure ? "the failure is " + std::string(toText(*failure)) : "the target answered");
    }

    void check(const ExpectUnanswered& expected)
    {
        if (!m_world.call(expected.call).answers.empty())
            fail("the call was answered");
    }

    void check(const ExpectRetryAfter& expected)
    {
        const auto* answer = answerOf(expected.call);
        if (answer && answer->retryAfter < expected.minimum)
            fail("the retry-after time is " + std::to_string(answer->retryAfter.count()) + "us");
    }

    void checkBound(const std::string& what, uint64_t count, const Bound& bound)
    {
        bool holds = bound.comparison == Comparison::AtMost ? count <= bound.count
            : bound.comparison == Comparison::AtLeast       ? count >= bound.count
                                                            : count == bound.count;
        if (!holds)
            fail(what + ": " + std::to_string(count));
    }

    void check(const ExpectCallCount& expected)
    {
        const auto& call = m_world.call(expected.call);
        switch (expected.what) {
        case CallCount::Starts:
            return checkBound("starts", call.starts.size(), expected.bound);
        case CallCount::Attempts:
            return checkBound("attempts", call.attempts, expected.bound);
        case CallCount::Cancels:
            return checkBound("cancels", call.cancels, expected.bound);
        }
    }

    void check(const ExpectStartsOn& expected)
    {
        uint64_t count = 0;
        for (const auto& [number, call] : m_world.calls()) {
            for (size_t n = 0; n < call.starts.size(); ++n)
                count += call.starts[n] == expected.target && call.startedAt[n] >= expected.after;
        }
        checkBound("starts on " + expected.target, count, expected.bound);
    }

    void check(const ExpectCallsWithOutcome& expected)
    {
        uint64_t count = 0;
        for (const auto& [number, call] : m_world.calls())
            count += !call.answers.empty() && call.answers[0].outcome == expected.outcome;
        checkBound("calls with that outcome", count, expected.bound);
    }

    void check(const ExpectTotalAttempts& expected)
    {
        uint64_t count = 0;
        for (const auto& [number, call] : m_world.calls())
            count += call.attempts;
        checkBound("attempts of all calls", count, expected.bound);
    }

    void check(const ExpectDroppedReplies& expected)
    {
        checkBound("dropped replies", m_world.coordinator(expected.entry).counters().droppedReplies, expected.bound);
    }

    const Script& m_script;
    World m_world;
    std::map<uint64_t, RequestKind> m_kinds;
    std::vector<std::string> m_failures;
    size_t m_line { 0 };
};

} // namespace

std::vector<std::string> runScript(const Script& script) { return Runner(script).run(); }

} // namespace Berylport::Scenario
