#include "HeavyLoad/LoadWorld.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Berylport::HeavyLoad {

using namespace std::chrono_literals;

namespace {

constexpr Duration oneWay = 1ms;
constexpr double lateUtilityFactor = 0.1;
// A refused caller retries only if the retry delay is at most this share of the time left until its deadline.
constexpr double maximumRetryDelayShare = 1.0 / 3;
constexpr Duration replacementTime = 600ms;
constexpr Duration coldTime = 1s;
constexpr double coldFactor = 2;
constexpr uint32_t oracleAttempts = 3;
// Mean time of a call in seconds, to compare it with waits.
constexpr double oracleServiceTime = 0.06;

const ServiceName& service()
{
    static const ServiceName name("service");
    return name;
}

ServiceDefinition definitionFor(const CallClass& callClass)
{
    return { .name = service(), .kind = RequestKind::AtMostOnce, .priority = callClass.priority };
}

SelectionPolicy policyOf(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Random:
        return RandomChoice {};
    case Strategy::RoundRobin:
        return RoundRobin {};
    case Strategy::TwoChoices:
        return TwoChoices {};
    default:
        return FreshLoad {};
    }
}

size_t senderOf(const CallId& id) { return id.origin.value - 1; }

} // namespace

const std::vector<CallClass>& callClasses()
{
    static const std::vector<CallClass> classes {
        { .name = "urgent",
            .priority = Priority::Critical,
            .share = 0.2,
            .work = 60ms,
            .objective = 250ms,
            .deadline = 1s,
            .utility = 3 },
        { .name = "usual",
            .priority = Priority::Normal,
            .share = 0.5,
            .work = 80ms,
            .objective = 300ms,
            .deadline = 1200ms,
            .utility = 1 },
        // Like nested calls: short, with short deadlines, and of higher priority than the calls that wait for them, as
        // the node assigns it.
        { .name = "short",
            .priority = Priority::Critical,
            .share = 0.3,
            .work = 20ms,
            .objective = 100ms,
            .deadline = 300ms,
            .utility = 1 },
    };
    return classes;
}

World::World(Strategy strategy, const WorldOptions& options)
    : m_strategy(strategy)
    , m_options(options)
    , m_random(options.seed)
{
    m_suspects.resize(options.senders);
    for (size_t n = 0; n < options.senders; ++n) {
        CallOptions calls { .seed = options.seed + n };
        calls.routing.policy = policyOf(strategy);
        if (strategy != Strategy::PlainQueue) {
            calls.maximumSoftRefusals = 2;
            calls.maximumRefusals += calls.maximumSoftRefusals;
        }
        if (options.sharesSuspects)
            calls.suspicion = [this, n](const StartCall& it) { return m_suspects[n].suspicion({}, it.http); };
        m_senders.push_back(std::make_unique<CallCoordinator>(calls));
    }
    addTargets();
    publishTargets();
    scheduleArrival();
    if (options.crashingRate > 0)
        at(m_start + options.burstStart, [this] { scheduleCrashing(); });
    for (size_t n = 0; options.replacementInterval > Duration::zero() && n < options.targets; ++n)
        at(m_start + options.replacementInterval * static_cast<int64_t>(n + 1), [this, n] { replace(n); });
}

void World::addTargets()
{
    m_targets.resize(m_options.targets);
    for (size_t n = 0; n < m_targets.size(); ++n) {
        Target& it = m_targets[n];
        it.id = { .node = NodeId { 1000 + n }, .service = service() };
        it.progressAt = m_start;
        AdmissionOptions options { .self = it.id.node, .service = service(), .slots = m_options.slots };
        if (m_strategy != Strategy::PlainQueue)
            options.adaptsConcurrency = true;
        it.admission = std::make_unique<AdmissionController>(options);
        it.admission->setDefinition({ .name = service() });
        AdmissionActions actions;
        it.admission->setTargetState(m_now, TargetState::Ready, actions);
        // Staggers the speed intervals of different VMs.
        at(m_start
                + Duration(
                    static_cast<int64_t>(m_random.below(static_cast<uint64_t>(m_options.speedInterval.count())))),
            [this, &it] { beginSpeedInterval(it); });
    }
}

void World::publishTargets()
{
    std::vector<TargetRecord> records;
    for (auto& it : m_targets) {
        records.push_back({ .id = it.id,
            .zone = ZoneName("a-a"),
            .region = RegionName("a"),
            .state = it.isAway ? TargetState::Draining : TargetState::Ready,
            .slots = m_options.slots,
            .firstSeen = m_start });
    }
    for (auto& it : m_senders)
        it->updateTargets(records, m_now);
}

void World::scheduleArrival()
{
    Duration elapsed = m_now - m_start;
    bool isBurst = elapsed >= m_options.burstStart && elapsed < m_options.burstEnd;
    double rate = isBurst ? m_options.burstRate : m_options.rate;
    Instant next = m_now + Duration(static_cast<int64_t>(m_random.exponential(1e6 / rate)) + 1);
    if (next - m_start >= m_options.length)
        return;
    at(next, [this] {
        Caller caller { .sender = m_random.below(m_senders.size()), .firstSent = m_now, .sent = m_now };
        double draw = m_random.unit();
        for (auto& it : callClasses()) {
            caller.callClass = &it;
            if ((draw -= it.share) < 0)
                break;
        }
        // Uniform between 0.5 and 1.5 times the mean.
        caller.work = (0.5 + m_random.unit()) * std::chrono::duration<double>(caller.callClass->work).count();
        CallId id { .origin = NodeId { caller.sender + 1 }, .sequence = ++m_nextCall };
        // One call in ten looks up the same as others do.
        caller.path = id.sequence % 10 ? "/" + std::to_string(id.sequence) : "/popular";
        m_callers[id] = caller;
        m_offeredUtility += caller.callClass->utility;
        ++m_result.classes[caller.callClass->name].calls;
        call(id);
        scheduleArrival();
    });
}

bool World::isLimited(const Target& target) const
{
    auto index = static_cast<size_t>(&target - m_targets.data());
    return index < m_options.limitedTargets && m_now - m_start >= m_options.burstStart;
}

void World::countStart(Target& target)
{
    // Every sender has been told by then.
    if (!isLimited(target) || m_now - m_start < m_options.burstStart + 500ms)
        return;
    target.starts.push_back(m_now);
    while (m_now - target.starts.front() > 4s)
        target.starts.pop_front();
    if (m_now - m_start >= m_options.burstStart + 3s)
        m_result.mostAtLimitedTarget = std::max(m_result.mostAtLimitedTarget, target.starts.size());
}

void World::beginSpeedInterval(Target& target)
{
    if (m_now - m_start >= 2 * m_options.length)
        return;
    advanceWork(target);
    target.isSlow = m_random.chance(m_options.slowShare);
    // The VM's slowness, as reported by targets.
    double percent = 100 * (target.isSlow ? m_options.slowFactor : 1) * (m_now < target.coldUntil ? coldFactor : 1);
    target.admission->recordReportedLoad(
        m_now, { .slots = m_options.slots, .slownessPercent = static_cast<uint16_t>(percent) });
    scheduleCompletion(target);
    at(m_now + m_options.speedInterval, [this, &target] { beginSpeedInterval(target); });
}

// Drains the target, which finishes its calls and returns after replacementTime with a cold start.
void World::replace(size_t target)
{
    Target& it = m_targets[target];
    it.isAway = true;
    AdmissionActions actions;
    it.admission->setTargetState(m_now, TargetState::Draining, actions);
    perform(it, std::move(actions));
    publishTargets();
    at(m_now + replacementTime, [this, &it] { comeBack(it); });
}

void World::comeBack(Target& target)
{
    target.isAway = false;
    advanceWork(target);
    target.coldUntil = m_now + coldTime;
    AdmissionActions ready;
    target.admission->setTargetState(m_now, TargetState::Ready, ready);
    perform(target, std::move(ready));
    publishTargets();
    scheduleCompletion(target);
}

void World::scheduleCrashing()
{
    if (m_now - m_start >= m_options.length)
        return;
    Caller caller { .callClass = &callClasses()[1], .sender = m_random.below(m_senders.size()), .firstSent = m_now };
    caller.work = std::chrono::duration<double>(caller.callClass->work).count();
    caller.path = "/ends-targets";
    caller.endsTarget = true;
    CallId id { .origin = NodeId { caller.sender + 1 }, .sequence = ++m_nextCall };
    m_callers[id] = caller;
    call(id);
    at(m_now + Duration(static_cast<int64_t>(m_random.exponential(1e6 / m_options.crashingRate)) + 1),
        [this] { scheduleCrashing(); });
}

void World::endTarget(Target& target)
{
    ++m_result.targetEnds;
    ++target.completionVersion;
    auto runs = std::exchange(target.runs, {});
    target.isAway = true;
    AdmissionActions actions;
    target.admission->setTargetState(m_now, TargetState::Down, actions);
    for (auto& it : runs)
        target.admission->targetLost(m_now, it.id, LossReason::TargetClosed, actions, m_result.targetEnds);
    perform(target, std::move(actions));
    publishTargets();
    at(m_now + m_options.recoveryTime, [this, &target] { comeBack(target); });
}

HttpRequest World::requestOf(const CallId& id) const { return { .method = "POST", .target = m_callers.at(id).path }; }

void World::recordEvidence(const CallReply& reply)
{
    if (auto* lost = std::get_if<CallLost>(&reply); lost && lost->targetEnd) {
        size_t sender = senderOf(lost->id.call);
        m_suspects[sender].recordEnd(hashRequest({}, requestOf(lost->id.call)), lost->targetEnd, m_now);
        tellSuspects(sender);
    }
    if (auto* answered = std::get_if<CallAnswered>(&reply)) {
        size_t sender = senderOf(answered->id.call);
        m_suspects[sender].recordGoodEnd(hashRequest({}, requestOf(answered->id.call)), m_now);
        tellSuspects(sender);
    }
}

void World::tellSuspects(size_t sender)
{
    auto changes = m_suspects[sender].takeChanges();
    if (changes.empty())
        return;
    at(m_now + oneWay, [this, sender, changes] {
        for (size_t n = 0; n < m_suspects.size(); ++n) {
            for (auto& it : changes) {
                if (n != sender)
                    m_suspects[n].merge(it, m_now);
            }
            tellSuspects(n);
        }
    });
}

void World::call(const CallId& id)
{
    Caller& caller = m_callers.at(id);
    caller.sent = m_now;
    if (m_strategy == Strategy::Oracle) {
        m_refusedBy[id].clear();
        dispatchByOracle(id);
        return;
    }
    const CallClass& it = *caller.callClass;
    bool hasObjective = m_strategy != Strategy::PlainQueue;
    CallActions actions;
    m_senders[caller.sender]->startCall(
        { .id = id,
            .definition = definitionFor(it),
            .tenant = TenantName("a"),
            .http = requestOf(id),
            .deadline = caller.firstSent + it.deadline,
            .objective = hasObjective ? caller.firstSent + it.objective : Instant::max(),
            .route = hasObjective ? it.name : std::string() },
        m_now, actions);
    perform(std::move(actions));
    wakeSender(caller.sender);
}

void World::countOutcome(Caller& caller, bool isServed)
{
    ClassResult& result = m_result.classes[caller.callClass->name];
    if (!isServed) {
        ++result.refused;
        return;
    }
    bool isInTime = m_now <= caller.firstSent + caller.callClass->objective;
    ++result.served;
    result.inTime += isInTime;
    m_deliveredUtility += caller.callClass->utility * (isInTime ? 1 : lateUtilityFactor);
}

void World::answer(const AnswerCaller& given)
{
    Caller& caller = m_callers.at(given.id);
    if (caller.endsTarget)
        return;
    m_result.refusedInnocents += given.refusal == RefusalReason::EndsTargets;
    auto* http = std::get_if<HttpResponse>(&given.result);
    bool isServed = http && http->status == 200 && m_now <= caller.firstSent + caller.callClass->deadline;
    if (isServed || given.outcome != RunOutcome::NotRun) {
        m_result.falseAnswers += isServed && caller.runs != 1;
        countOutcome(caller, isServed);
        return;
    }
    m_result.falseAnswers += caller.runs > 0;
    m_result.classes[caller.callClass->name].refusalTimes.push_back(m_now - caller.sent);
    Duration left = caller.firstSent + caller.callClass->deadline - m_now;
    auto longest = Duration(std::llround(maximumRetryDelayShare * static_cast<double>(left.count())));
    if (caller.hasReturned || given.retryAfter <= Duration::zero() || given.retryAfter > longest) {
        countOutcome(caller, false);
        return;
    }
    caller.hasReturned = true;
    CallId next { .origin = given.id.origin, .sequence = ++m_nextCall };
    m_callers[next] = caller;
    at(m_now + given.retryAfter, [this, next] { call(next); });
}

void World::perform(CallActions actions)
{
    for (auto& action : actions) {
        if (auto* send = std::get_if<SendAttempt>(&action)) {
            Target& target = m_targets[send->target.node.value - 1000];
            at(m_now + oneWay,
                [this, &target, request = std::move(send->request)]() mutable { receive(target, std::move(request)); });
        } else if (auto* cancel = std::get_if<SendCancel>(&action)) {
            Target& target = m_targets[cancel->target.node.value - 1000];
            at(m_now + oneWay, [this, &target, message = cancel->cancel] {
                AdmissionActions next;
                target.admission->cancel(m_now, message, next);
                perform(target, std::move(next));
            });
        } else if (auto* given = std::get_if<AnswerCaller>(&action))
            answer(*given);
    }
}

void World::wakeSender(size_t sender)
{
    auto next = m_senders[sender]->nextWake();
    if (!next)
        return;
    at(std::max(*next, m_now + Duration(1)), [this, sender] {
        auto due = m_senders[sender]->nextWake();
        if (!due || *due > m_now)
            return;
        CallActions actions;
        m_senders[sender]->tick(m_now, actions);
        perform(std::move(actions));
        wakeSender(sender);
    });
}

CallRequest World::makeRequest(const CallId& id, uint32_t attempt, NodeId receiver) const
{
    const Caller& caller = m_callers.at(id);
    const CallClass& it = *caller.callClass;
    return { .id = { id, attempt },
        .receiver = receiver,
        .service = service(),
        .tenant = TenantName("a"),
        .priority = it.priority,
        .deadline = caller.firstSent + it.deadline,
        .objective = caller.firstSent + it.objective,
        .http = { .method = "POST", .target = "/" },
        .route = it.name };
}

void World::dispatchByOracle(const CallId& id)
{
    auto& refusedBy = m_refusedBy[id];
    Target* best = nullptr;
    double bestTime = 0;
    for (size_t n = 0; n < m_targets.size(); ++n) {
        Target& it = m_targets[n];
        if (it.isAway || refusedBy.contains(n))
            continue;
        LoadReport load = it.admission->load(m_now);
        double occupied = load.running + load.queued + 1.0;
        double waiting = std::max(0.0, occupied - m_options.slots) / m_options.slots;
        double seconds = std::chrono::duration<double>(load.startWait).count();
        double time = slowdown(it) * (1 + waiting) + seconds / oracleServiceTime;
        if (best && time >= bestTime)
            continue;
        best = &it;
        bestTime = time;
    }
    if (!best || refusedBy.size() >= oracleAttempts) {
        answer({ .id = id, .outcome = RunOutcome::NotRun, .result = CallFailure::Refused, .retryAfter = 100ms });
        return;
    }
    auto attempt = static_cast<uint32_t>(refusedBy.size() + 1);
    receive(*best, makeRequest(id, attempt, best->id.node));
}

void World::receive(Target& target, CallRequest request)
{
    AdmissionActions actions;
    LinkId link { 1 + senderOf(request.id.call) };
    target.admission->offer(m_now, link, std::move(request), actions);
    perform(target, std::move(actions));
    wakeTarget(target);
}

void World::perform(Target& target, AdmissionActions actions)
{
    for (auto& action : actions) {
        if (auto* start = std::get_if<StartOnTarget>(&action)) {
            advanceWork(target);
            Caller& caller = m_callers.at(start->id.call);
            ++caller.runs;
            target.runs.push_back({ .id = start->id, .workLeft = caller.work, .startedAt = m_now });
            countStart(target);
            scheduleCompletion(target);
        } else if (auto* reply = std::get_if<Reply>(&action)) {
            at(m_now + oneWay, [this, &target, message = std::move(reply->reply)] {
                AttemptId id = std::visit([](auto& it) { return it.id; }, message);
                if (m_strategy != Strategy::Oracle) {
                    if (m_options.crashingRate > 0)
                        recordEvidence(message);
                    CallActions next;
                    m_senders[senderOf(id.call)]->replyArrived(message, m_now, next);
                    perform(std::move(next));
                    wakeSender(senderOf(id.call));
                } else if (auto* answered = std::get_if<CallAnswered>(&message)) {
                    answer({ .id = id.call, .outcome = RunOutcome::Run, .result = answered->http });
                } else {
                    m_refusedBy[id.call].insert(static_cast<size_t>(&target - m_targets.data()));
                    dispatchByOracle(id.call);
                }
            });
        }
    }
}

void World::wakeTarget(Target& target)
{
    auto next = target.admission->nextWake();
    if (!next)
        return;
    at(std::max(*next, m_now + Duration(1)), [this, &target] {
        auto due = target.admission->nextWake();
        if (!due || *due > m_now)
            return;
        AdmissionActions actions;
        target.admission->tick(m_now, actions);
        perform(target, std::move(actions));
        wakeTarget(target);
    });
}

double World::slowdown(const Target& target) const
{
    double occupied = static_cast<double>(target.runs.size()) / m_options.slots;
    double beyond = std::clamp((occupied - m_options.slowdownThreshold) / (1 - m_options.slowdownThreshold), 0.0, 1.0);
    double factor = 1 + beyond * (m_options.slowdownWhenFull - 1);
    factor *= target.isSlow ? m_options.slowFactor : 1;
    return factor * (m_now < target.coldUntil ? coldFactor : 1);
}

// Subtracts the work done since progressAt; called before each change of the target's speed.
void World::advanceWork(Target& target)
{
    double done = std::chrono::duration<double>(m_now - target.progressAt).count() / slowdown(target);
    for (auto& it : target.runs)
        it.workLeft -= done;
    target.progressAt = m_now;
}

void World::scheduleCompletion(Target& target)
{
    uint64_t version = ++target.completionVersion;
    if (target.runs.empty())
        return;
    auto first = std::ranges::min_element(target.runs, {}, &Run::workLeft);
    auto left = static_cast<int64_t>(std::ceil(std::max(first->workLeft, 0.0) * slowdown(target) * 1e6));
    at(m_now + Duration(left + 1), [this, &target, version] {
        if (target.completionVersion != version)
            return;
        advanceWork(target);
        std::vector<Run> finished;
        std::erase_if(target.runs, [&](auto& it) {
            if (it.workLeft > 1e-6)
                return false;
            finished.push_back(it);
            return true;
        });
        if (std::ranges::any_of(finished, [this](auto& it) { return m_callers.at(it.id.call).endsTarget; })) {
            target.runs.insert(target.runs.end(), finished.begin(), finished.end());
            endTarget(target);
            return;
        }
        this->scheduleCompletion(target);
        for (auto& it : finished) {
            AdmissionActions actions;
            auto limit = isLimited(target) ? std::optional(m_options.requestLimit) : std::nullopt;
            target.admission->recordRequestLimit(m_now, limit, it.startedAt, actions);
            target.admission->targetAnswered(m_now, it.id, { .status = 200 }, actions);
            perform(target, std::move(actions));
        }
        wakeTarget(target);
    });
}

WorldResult World::run()
{
    while (!m_events.empty()) {
        auto first = m_events.begin();
        m_now = first->first;
        Event event = std::move(first->second);
        m_events.erase(first);
        event();
    }
    m_result.utilityShare = m_deliveredUtility / m_offeredUtility;
    return std::move(m_result);
}

} // namespace Berylport::HeavyLoad
