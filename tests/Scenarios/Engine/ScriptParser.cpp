// One function per kind of statement.
#include "Scenarios/Engine/ScriptParser.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace Berylport::Scenario {

namespace {

// The words of one line, read from left to right.
class Words {
public:
    Words(const std::string& file, size_t line, const std::string& text)
        : m_file(file)
        , m_line(line)
    {
        std::istringstream stream(text.substr(0, text.find('#')));
        for (std::string word; stream >> word;)
            m_words.push_back(word);
    }

    size_t line() const { return m_line; }
    bool isEmpty() const { return m_next >= m_words.size(); }

    [[noreturn]] void fail(const std::string& text) const { throw ScriptError(m_file, m_line, text); }

    std::string take(const std::string& what)
    {
        if (isEmpty())
            fail("expected " + what + " at the end of the line");
        return m_words[m_next++];
    }

    bool takeIf(const std::string& word)
    {
        if (isEmpty() || m_words[m_next] != word)
            return false;
        ++m_next;
        return true;
    }

    void skip(const std::string& word)
    {
        auto found = take("'" + word + "'");
        if (found != word)
            fail("expected '" + word + "', found '" + found + "'");
    }

    uint64_t takeNumber(uint64_t maximum = 1'000'000)
    {
        auto word = take("a number");
        return toNumber(word, word, maximum);
    }

    Duration takeDuration()
    {
        static const std::map<std::string, int64_t> units { { "us", 1 }, { "ms", 1000 }, { "s", 1'000'000 } };
        auto word = take("a duration");
        auto digits = std::min(word.find_first_not_of("0123456789"), word.size());
        auto unit = units.find(word.substr(digits));
        if (unit == units.end())
            fail("'" + word + "' is not a duration with the unit us, ms or s");
        auto count = toNumber(word.substr(0, digits), word, 1'000'000'000);
        return Duration(static_cast<int64_t>(count) * unit->second);
    }

    Instant takeInstant() { return Instant(takeDuration()); }

    template <typename Value> Value takeOneOf(const std::string& what, const std::map<std::string, Value>& values)
    {
        auto word = take(what);
        auto it = values.find(word);
        if (it == values.end())
            fail("'" + word + "' is not a known " + what);
        return it->second;
    }

    void end() const
    {
        if (!isEmpty())
            fail("unexpected '" + m_words[m_next] + "'");
    }

private:
    uint64_t toNumber(const std::string& digits, const std::string& word, uint64_t maximum) const
    {
        uint64_t value = 0;
        auto [rest, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (ec != std::errc() || rest != digits.data() + digits.size() || digits.empty() || value > maximum)
            fail("'" + word + "' is not a whole number up to " + std::to_string(maximum));
        return value;
    }

    std::string m_file;
    size_t m_line;
    std::vector<std::string> m_words;
    size_t m_next { 0 };
};

const std::map<std::string, RunOutcome> outcomes {
    { "run", RunOutcome::Run },
    { "not-run", RunOutcome::NotRun },
    { "may-have-run", RunOutcome::MayHaveRun },
};

const std::map<std::string, RequestKind> kinds {
    { "idempotent", RequestKind::Idempotent },
    { "at-most-once", RequestKind::AtMostOnce },
    { "patient", RequestKind::Patient },
};

const std::map<std::string, TargetState> states {
    { "starting", TargetState::Starting },
    { "ready", TargetState::Ready },
    { "draining", TargetState::Draining },
    { "down", TargetState::Down },
};

class Parser {
public:
    explicit Parser(const std::string& file) { m_script.file = file; }

    void parseLine(Words& words)
    {
        if (words.isEmpty())
            return;
        auto first = words.take("a statement");
        if (first == "entry")
            parseEntry(words);
        else if (first == "target")
            parseTarget(words);
        else if (first == "at")
            parseStep(words);
        else if (first == "expect")
            parseExpectation(words);
        else
            words.fail("unknown statement '" + first + "'");
        words.end();
    }

    Script finish() { return std::move(m_script); }

private:
    void parseEntry(Words& words) { m_script.entries.push_back({ takeNewName(words) }); }

    void parseTarget(Words& words)
    {
        TargetDeclaration target;
        target.name = takeNewName(words);
        words.skip("runs");
        target.service = ServiceName { words.take("a service") };
        auto& behaviour = target.behaviour;
        while (!words.isEmpty()) {
            if (words.takeIf("slots"))
                behaviour.slots = static_cast<uint16_t>(words.takeNumber(1000));
            else if (words.takeIf("queue"))
                behaviour.queueLimit = static_cast<uint32_t>(words.takeNumber());
            else if (words.takeIf("service-time"))
                behaviour.serviceTime = words.takeDuration();
            else if (words.takeIf("zone"))
                target.zone = ZoneName { words.take("a zone") };
            else if (words.takeIf("status"))
                behaviour.status = static_cast<uint16_t>(words.takeNumber(599));
            else
                words.fail("unknown property '" + words.take("a property") + "'");
        }
        m_script.targets.push_back(target);
    }

    std::string takeNewName(Words& words) const
    {
        auto name = words.take("a name");
        if (isEntry(name) || isTarget(name))
            words.fail("'" + name + "' is declared twice");
        return name;
    }

    bool isEntry(const std::string& name) const
    {
        return std::any_of(
            m_script.entries.begin(), m_script.entries.end(), [&](const auto& it) { return it.name == name; });
    }

    bool isTarget(const std::string& name) const
    {
        return std::any_of(
            m_script.targets.begin(), m_script.targets.end(), [&](const auto& it) { return it.name == name; });
    }

    std::string takeEntry(Words& words) const
    {
        auto name = words.take("an entry node");
        if (!isEntry(name))
            words.fail("no entry node '" + name + "'");
        return name;
    }

    std::string takeTarget(Words& words) const
    {
        auto name = words.take("a target");
        if (!isTarget(name))
            words.fail("no target '" + name + "'");
        return name;
    }

    uint64_t takeCall(Words& words) const
    {
        auto number = words.takeNumber();
        if (!std::any_of(m_calls.begin(), m_calls.end(),
                [&](const auto& range) { return range.first <= number && number <= range.second; }))
            words.fail("no call " + std::to_string(number) + " is sent");
        return number;
    }

    // Steps.

    void parseStep(Words& words)
    {
        auto time = words.takeInstant();
        auto verb = words.take("a step");
        static const std::map<std::string, StepAction (Parser::*)(Words&)> verbs {
            { "caller", &Parser::parseCaller },
            { "callers", &Parser::parseCallers },
            { "link", &Parser::parseLink },
            { "freeze", &Parser::parseFreeze },
            { "crash", &Parser::parseNamed<CrashTarget> },
            { "gone", &Parser::parseNamed<AnnounceGone> },
            { "drain", &Parser::parseNamed<DrainTarget> },
            { "close", &Parser::parseNamed<CloseConnections> },
            { "state", &Parser::parseState },
            { "suspect", &Parser::parseSuspect },
            { "trust", &Parser::parseTrust },
            { "slow", &Parser::parseSlow },
            { "status", &Parser::parseStatus },
        };
        auto it = verbs.find(verb);
        if (it == verbs.end())
            words.fail("unknown step '" + verb + "'");
        m_script.steps.push_back({ words.line(), time, (this->*it->second)(words) });
    }

    StepAction parseCaller(Words& words)
    {
        auto number = words.takeNumber();
        if (words.takeIf("leaves"))
            return LeaveCaller { number };
        words.skip("sends");
        return parseSend(words, { .first = number, .last = number, .entry = {}, .definition = {} });
    }

    StepAction parseCallers(Words& words)
    {
        SendCalls calls;
        calls.first = words.takeNumber();
        words.skip("to");
        calls.last = words.takeNumber();
        if (calls.last < calls.first)
            words.fail("the last call comes before the first");
        words.skip("every");
        calls.interval = words.takeDuration();
        words.skip("send");
        return parseSend(words, calls);
    }

    StepAction parseSend(Words& words, SendCalls calls)
    {
        if (m_script.entries.empty())
            words.fail("no entry node is declared");
        calls.entry = m_script.entries.front().name;
        auto& definition = calls.definition;
        definition.name = ServiceName { words.take("a service") };
        definition.kind = words.takeOneOf("kind", kinds);
        words.skip("wait");
        definition.callerWait = words.takeDuration();
        while (!words.isEmpty()) {
            if (words.takeIf("via"))
                calls.entry = takeEntry(words);
            else if (words.takeIf("tokens"))
                definition.retryTokens = static_cast<uint32_t>(words.takeNumber(8));
            else if (words.takeIf("depth"))
                calls.depth = static_cast<uint32_t>(words.takeNumber());
            else if (words.takeIf("hedged"))
                definition.isHedged = true;
            else
                words.fail("unknown property '" + words.take("a property") + "'");
        }
        m_calls.emplace_back(calls.first, calls.last);
        return calls;
    }

    StepAction parseLink(Words& words)
    {
        static const std::map<std::string, LinkChange> changes {
            { "cut", LinkChange::Cut },
            { "heal", LinkChange::Heal },
            { "duplicate", LinkChange::Duplicate },
            { "delay", LinkChange::Delay },
        };
        ChangeLink change;
        change.entry = takeEntry(words);
        change.target = takeTarget(words);
        change.change = words.takeOneOf("change of a link", changes);
        if (change.change == LinkChange::Delay)
            change.delay = words.takeDuration();
        return change;
    }

    StepAction parseFreeze(Words& words)
    {
        FreezeTarget freeze { takeTarget(words), {} };
        words.skip("for");
        freeze.duration = words.takeDuration();
        return freeze;
    }

    template <typename Action> StepAction parseNamed(Words& words) { return Action { takeTarget(words) }; }

    StepAction parseState(Words& words)
    {
        auto target = takeTarget(words);
        return SetState { target, words.takeOneOf("state", states) };
    }

    StepAction parseSuspect(Words& words) { return SetSuspect { takeTarget(words), true }; }
    StepAction parseTrust(Words& words) { return SetSuspect { takeTarget(words), false }; }

    StepAction parseSlow(Words& words)
    {
        auto target = takeTarget(words);
        return SlowTarget { target, words.takeDuration() };
    }

    StepAction parseStatus(Words& words)
    {
        auto target = takeTarget(words);
        return SetStatus { target, static_cast<uint16_t>(words.takeNumber(599)) };
    }

    // Expectations.

    void parseExpectation(Words& words)
    {
        auto what = words.take("an expectation");
        static const std::map<std::string, CallCount> counts {
            { "starts", CallCount::Starts },
            { "attempts", CallCount::Attempts },
            { "cancels", CallCount::Cancels },
        };
        if (what == "call")
            return add(words, parseCallCheck(words));
        if (what == "calls")
            return add(words, parseCallsCheck(words));
        if (what == "starts" && words.takeIf("on"))
            return add(words, parseStartsOn(words));
        if (what == "total") {
            words.skip("attempts");
            return add(words, ExpectTotalAttempts { takeBound(words) });
        }
        if (what == "dropped")
            return add(words, parseDroppedReplies(words));
        auto it = counts.find(what);
        if (it == counts.end())
            words.fail("unknown expectation '" + what + "'");
        words.skip("call");
        auto call = takeCall(words);
        add(words, ExpectCallCount { it->second, call, takeBound(words) });
    }

    void add(const Words& words, Check check) { m_script.expectations.push_back({ words.line(), std::move(check) }); }

    Check parseCallCheck(Words& words)
    {
        auto call = takeCall(words);
        auto what = words.take("'outcome', 'status', 'failure', 'unanswered' or 'retry-after'");
        if (what == "outcome") {
            auto outcome = words.takeOneOf("outcome", outcomes);
            words.skip("by");
            return ExpectOutcome { call, outcome, words.takeInstant() };
        }
        if (what == "status")
            return ExpectStatus { call, static_cast<uint16_t>(words.takeNumber(599)) };
        if (what == "failure")
            return ExpectFailure { call, words.take("a failure") };
        if (what == "unanswered")
            return ExpectUnanswered { call };
        if (what != "retry-after")
            words.fail("unknown expectation of a call '" + what + "'");
        words.skip("at");
        words.skip("least");
        return ExpectRetryAfter { call, words.takeDuration() };
    }

    Check parseCallsCheck(Words& words)
    {
        words.skip("outcome");
        auto outcome = words.takeOneOf("outcome", outcomes);
        return ExpectCallsWithOutcome { outcome, takeBound(words) };
    }

    Check parseStartsOn(Words& words)
    {
        ExpectStartsOn check;
        check.target = takeTarget(words);
        check.bound = takeBound(words);
        if (words.takeIf("after"))
            check.after = words.takeInstant();
        return check;
    }

    Check parseDroppedReplies(Words& words)
    {
        words.skip("replies");
        words.skip("at");
        auto entry = takeEntry(words);
        return ExpectDroppedReplies { entry, takeBound(words) };
    }

    Bound takeBound(Words& words) const
    {
        auto word = words.take("'at most', 'at least' or 'exactly'");
        if (word == "exactly")
            return { Comparison::Exactly, words.takeNumber() };
        if (word != "at")
            words.fail("expected 'at most', 'at least' or 'exactly', found '" + word + "'");
        static const std::map<std::string, Comparison> comparisons {
            { "most", Comparison::AtMost },
            { "least", Comparison::AtLeast },
        };
        auto comparison = words.takeOneOf("bound", comparisons);
        return { comparison, words.takeNumber() };
    }

    Script m_script;
    // First and last number of each statement that sends calls.
    std::vector<std::pair<uint64_t, uint64_t>> m_calls;
};

} // namespace

Script parseScript(const std::string& file, const std::string& text)
{
    Parser parser(file);
    std::istringstream stream(text);
    std::string line;
    for (size_t number = 1; std::getline(stream, line); ++number) {
        Words words(file, number, line);
        parser.parseLine(words);
    }
    return parser.finish();
}

} // namespace Berylport::Scenario
