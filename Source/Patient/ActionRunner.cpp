// Claims, attempts, questions and ends of the actions of one partition.
#include "Patient/ActionRunner.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <utility>

namespace Berylport {

enum class ActionRunner::Stage : uint8_t {
    // To be claimed at `wakeAt`.
    Ready,
    LoadingBody,
    // `next` is to be written.
    Writing,
    // Sent to the target's node.
    Running,
    // The recorded node is being asked, or will be at `wakeAt`.
    Querying,
    StoringResult,
};

struct ActionRunner::Tracked {
    std::string token;
    // Version of the row that holds `record`.
    uint64_t version { 0 };
    ActionRecord record;
    ActionRecord next;
    Stage stage { Stage::Ready };
    Instant wakeAt {};
    Duration backoff {};
    std::optional<std::string> body;
    // Of the current attempt, by this node's clock.
    Instant deadline {};
    HttpResponse answer;
};

namespace {

constexpr uint16_t statusBadGateway = 502;
constexpr Instant never = Instant::max();

HttpResponse responseWithoutBody(uint16_t status, std::string reason)
{
    return { .status = status, .reason = std::move(reason), .headers = {}, .body = {} };
}

// The target has certainly run the request; only its answer is missing.
bool hasRun(LossReason reason)
{
    return reason == LossReason::AnswerTooLarge || reason == LossReason::AnswerMalformed
        || reason == LossReason::AnswerDropped;
}

} // namespace

ActionRunner::ActionRunner(ActionRunnerOptions options, ActionRunnerPorts ports)
    : m_options(options)
    , m_ports(std::move(ports))
    , m_resolver(m_ports.table)
    , m_batchLimit(options.batchLimit)
{
}

ActionRunner::~ActionRunner() = default;

void ActionRunner::stop(std::string reason)
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    m_tracked.clear();
    m_queue.clear();
    m_ports.perform(RunnerStopped { std::move(reason) });
}

bool ActionRunner::stopUnlessHeld(Instant now)
{
    if (!m_isStopped && !m_ports.holds(now))
        stop("lease lost");
    return m_isStopped;
}

ActionRunner::Tracked* ActionRunner::find(std::string_view token)
{
    auto it = m_tracked.find(token);
    return it == m_tracked.end() ? nullptr : it->second.get();
}

uint32_t ActionRunner::runningCount() const
{
    return static_cast<uint32_t>(
        std::ranges::count_if(m_tracked, [](auto& it) { return it.second->stage != Stage::Ready; }));
}

Duration ActionRunner::nextBackoff(Tracked& tracked) const
{
    tracked.backoff = std::clamp(tracked.backoff * 2, m_options.backoffMin, m_options.backoffMax);
    return tracked.backoff;
}

bool ActionRunner::isIdle() const { return m_isStopped || (!m_isWriting && !runningCount()); }

void ActionRunner::tick(Instant now)
{
    if (stopUnlessHeld(now))
        return;
    m_resolver.tick(now);
    startScan(now);
    // An action may be dropped while it advances.
    std::vector<std::string> due;
    for (auto& [token, tracked] : m_tracked) {
        if (now >= tracked->wakeAt)
            due.push_back(token);
    }
    for (auto& token : due) {
        if (auto* tracked = find(token))
            advance(now, *tracked);
    }
    flush(now);
}

std::optional<Instant> ActionRunner::nextWake() const
{
    if (m_isStopped)
        return std::nullopt;
    auto earliest = m_isScanning ? never : m_nextScan;
    for (auto& [token, tracked] : m_tracked)
        earliest = std::min(earliest, tracked->wakeAt);
    if (!m_isWriting && !m_queue.empty())
        earliest = std::min(earliest, m_flushAt);
    if (auto wake = m_resolver.nextWake())
        earliest = std::min(earliest, *wake);
    return earliest;
}

void ActionRunner::startScan(Instant now)
{
    if (m_isScanning || m_isDraining || now < m_nextScan || m_tracked.size() >= m_options.maxTracked)
        return;
    m_isScanning = true;
    m_ports.table.scan(openActionPrefix(m_options.partition), m_options.scanRows, m_scanAfter,
        [this, alive = std::weak_ptr(m_alive)](Instant at, StoreResult<ScanPage> result) {
            if (alive.expired())
                return;
            m_isScanning = false;
            m_nextScan = at + m_options.pollEvery;
            if (result)
                noteScan(at, std::move(result.value()));
            else
                m_nextScan += result.error().retryAfter;
        });
}

void ActionRunner::noteScan(Instant now, ScanPage page)
{
    if (stopUnlessHeld(now))
        return;
    // Each scan continues after the last one, so that actions that cannot run at present don't hide later ones.
    m_scanAfter = page.hasMore && !page.rows.empty() ? page.rows.back().key : std::string();
    auto prefix = openActionPrefix(m_options.partition);
    for (auto& row : page.rows) {
        auto token = row.key.substr(prefix.size());
        if (m_tracked.size() >= m_options.maxTracked || find(token))
            continue;
        track(now, row, std::move(token));
        if (m_isStopped)
            return;
    }
    tick(now);
}

void ActionRunner::track(Instant now, const TableRow& row, std::string token)
{
    auto record = decodeActionRecord(row.value);
    if (!record)
        return;
    if (record->current.fencingToken > m_options.fencingToken) {
        stop("a newer holder has claimed an action");
        return;
    }
    auto& tracked = *(m_tracked[token] = std::make_unique<Tracked>());
    tracked.token = std::move(token);
    tracked.version = row.version;
    tracked.record = std::move(*record);
    tracked.wakeAt = now;
    if (tracked.record.state != ActionState::Running)
        return;
    // Claimed by an earlier holder, or by this one when it did not learn of the claim.
    auto left = std::chrono::milliseconds(tracked.record.current.deadlineUnixMs - m_ports.unixMilliseconds());
    tracked.deadline = now + left - m_options.clockDifference;
    tracked.stage = Stage::Querying;
}

void ActionRunner::advance(Instant now, Tracked& tracked)
{
    switch (tracked.stage) {
    case Stage::Ready:
        prepareClaim(now, tracked);
        return;
    case Stage::Running:
    case Stage::Querying:
        sendQuery(now, tracked);
        return;
    case Stage::StoringResult:
        storeResult(tracked);
        return;
    case Stage::LoadingBody:
    case Stage::Writing:
        tracked.wakeAt = never;
        return;
    }
}

void ActionRunner::prepareClaim(Instant now, Tracked& tracked)
{
    if (m_isDraining || runningCount() >= m_options.maxRunning) {
        tracked.wakeAt = now + m_options.backoffMin;
        return;
    }
    if (!tracked.record.bodyObject.empty() && !tracked.body) {
        loadBody(tracked);
        return;
    }
    auto node = m_ports.selectTarget(now, tracked.record.service);
    if (!node) {
        tracked.wakeAt = now + nextBackoff(tracked);
        // Found again by a later scan; makes room for actions of services that have a target.
        if (m_tracked.size() > m_options.maxTracked / 2)
            m_tracked.erase(tracked.token);
        return;
    }
    tracked.next = tracked.record;
    auto& next = tracked.next;
    next.state = ActionState::Running;
    ++next.attempts;
    next.current.fencingToken = m_options.fencingToken;
    next.current.node = *node;
    next.current.id = { .call = m_ports.nextCallId(), .attempt = next.attempts };
    enqueue(tracked, false);
}

void ActionRunner::loadBody(Tracked& tracked)
{
    tracked.stage = Stage::LoadingBody;
    tracked.wakeAt = never;
    m_ports.objects.get(tracked.record.bodyObject,
        [this, alive = std::weak_ptr(m_alive), token = tracked.token](Instant now, StoreResult<std::string> result) {
            if (alive.expired())
                return;
            auto* it = find(token);
            if (!it || it->stage != Stage::LoadingBody)
                return;
            it->stage = Stage::Ready;
            if (result) {
                it->body = std::move(result.value());
                it->wakeAt = now;
            } else {
                it->wakeAt = now + std::max(nextBackoff(*it), result.error().retryAfter);
            }
            tick(now);
        });
}

void ActionRunner::dispatch(Instant now, Tracked& tracked)
{
    // It was not sent and will not be, so it can be claimed again.
    if (now >= tracked.deadline) {
        tracked.stage = Stage::Ready;
        tracked.wakeAt = now;
        return;
    }
    tracked.stage = Stage::Running;
    tracked.wakeAt = tracked.deadline + m_options.answerGrace;
    auto http = tracked.record.http;
    if (tracked.body)
        http.body = std::exchange(tracked.body, std::nullopt).value();
    setHeader(http.headers, "Idempotency-Key", tracked.token);
    m_ports.perform(DispatchAction { .token = tracked.token,
        .attempt = tracked.record.current.id,
        .node = tracked.record.current.node,
        .service = tracked.record.service,
        .tenant = tracked.record.tenant,
        .deadline = tracked.deadline,
        .http = std::move(http) });
}

void ActionRunner::sendQuery(Instant now, Tracked& tracked)
{
    tracked.stage = Stage::Querying;
    tracked.wakeAt = now + m_options.answerGrace;
    m_ports.perform(QueryAction { .token = tracked.token,
        .attempt = tracked.record.current.id,
        .node = tracked.record.current.node,
        .service = tracked.record.service,
        .deadline = tracked.deadline });
}

void ActionRunner::noteOutcome(Instant now, std::string_view token, const AttemptId& attempt, ActionOutcome outcome)
{
    auto* tracked = find(token);
    bool isAwaited = tracked && (tracked->stage == Stage::Running || tracked->stage == Stage::Querying);
    if (!isAwaited || tracked->record.current.id != attempt)
        return;
    std::visit(Overloaded {
                   [&](CallAnswered& it) { noteAnswer(now, *tracked, std::move(it.http)); },
                   [&](CallRefused& it) { noteRefused(*tracked, it); },
                   [&](CallLost& it) { noteLost(now, *tracked, it.reason); },
                   [&](NodeGone&) { noteUnknown(*tracked); },
                   [&](auto&) {
                       tracked->stage = Stage::Querying;
                       tracked->wakeAt = now + m_options.queryEvery;
                   },
               },
        outcome);
    tick(now);
}

void ActionRunner::noteAnswer(Instant now, Tracked& tracked, HttpResponse answer)
{
    if (answer.body.size() <= m_options.inlineResultBytes) {
        end(tracked, ActionState::Done, std::move(answer));
        return;
    }
    tracked.answer = std::move(answer);
    tracked.stage = Stage::StoringResult;
    tracked.wakeAt = now;
}

void ActionRunner::storeResult(Tracked& tracked)
{
    tracked.wakeAt = never;
    auto name = resultObjectName(tracked.token, tracked.record.attempts);
    m_ports.objects.put(name, tracked.answer.body,
        [this, alive = std::weak_ptr(m_alive), token = tracked.token, name](Instant now, StoreResult<Done> result) {
            if (alive.expired())
                return;
            auto* it = find(token);
            if (!it || it->stage != Stage::StoringResult)
                return;
            bool isRejected = !result
                && (result.error().code == StoreErrorCode::Conflict
                    || result.error().code == StoreErrorCode::Malformed);
            if (!result && !isRejected) {
                it->wakeAt = now + std::max(nextBackoff(*it), result.error().retryAfter);
                return;
            }
            auto answer = std::move(it->answer);
            answer.body.clear();
            if (isRejected)
                answer.reason = "result could not be stored";
            end(*it, ActionState::Done, std::move(answer));
            if (result)
                it->next.resultObject = name;
            tick(now);
        });
}

void ActionRunner::noteRefused(Tracked& tracked, const CallRefused& refusal)
{
    // Another process answered at the recorded node's address. It knows nothing about the attempt.
    if (tracked.stage == Stage::Querying && refusal.reason == RefusalReason::WrongNode)
        noteUnknown(tracked);
    else
        returnToAccepted(tracked, refusal.retryAfter);
}

void ActionRunner::noteLost(Instant now, Tracked& tracked, LossReason reason)
{
    if (reason == LossReason::LinkLost && tracked.stage == Stage::Running)
        sendQuery(now, tracked);
    else if (hasRun(reason) && !tracked.record.deduplicates)
        end(tracked, ActionState::Done, responseWithoutBody(statusBadGateway, "the answer of the run is lost"));
    else
        noteUnknown(tracked);
}

void ActionRunner::noteUnknown(Tracked& tracked)
{
    // The target recognises the token, so a second run has no effect and brings the answer.
    if (tracked.record.deduplicates)
        returnToAccepted(tracked, {});
    else
        end(tracked, ActionState::InDoubt, responseWithoutBody(0, "the outcome of the attempt is unknown"));
}

void ActionRunner::returnToAccepted(Tracked& tracked, Duration pause)
{
    tracked.next = tracked.record;
    tracked.next.state = ActionState::Accepted;
    tracked.backoff = std::max(nextBackoff(tracked), std::min(pause, m_options.backoffMax));
    enqueue(tracked, true);
}

void ActionRunner::end(Tracked& tracked, ActionState state, HttpResponse result)
{
    tracked.next = tracked.record;
    tracked.next.state = state;
    tracked.next.http.body.clear();
    tracked.next.http.headers.clear();
    tracked.next.result = std::move(result);
    tracked.next.finishedUnixMs = m_ports.unixMilliseconds();
    enqueue(tracked, true);
}

// Results go before claims: a result that is written late may be forgotten by its node.
void ActionRunner::enqueue(Tracked& tracked, bool isUrgent)
{
    tracked.stage = Stage::Writing;
    tracked.wakeAt = never;
    if (isUrgent)
        m_queue.push_front(tracked.token);
    else
        m_queue.push_back(tracked.token);
}

void ActionRunner::flush(Instant now)
{
    if (m_isWriting || m_queue.empty() || now < m_flushAt || stopUnlessHeld(now))
        return;
    if (!m_ports.budget.take(now)) {
        m_flushAt = now + m_ports.budget.waitTime(now);
        return;
    }
    Batch batch;
    while (!m_queue.empty() && batch.size() < m_batchLimit) {
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_isWriting = true;
    m_resolver.transact(now, makeTransaction(now, batch), now + m_options.resolveTime,
        [this, alive = std::weak_ptr(m_alive), batch](Instant at, StoreResult<TransactionResult> result) {
            if (!alive.expired())
                noteBatch(at, batch, result);
        });
}

Transaction ActionRunner::makeTransaction(Instant now, const Batch& batch)
{
    Transaction transaction { .token = "run-" + toText(m_options.node) + "-" + std::to_string(m_options.instance) + "-"
            + std::to_string(++m_requests),
        .checks
        = { { fenceKey(partitionLeaseName(m_options.partition)), RowVersionEquals { m_options.fencingToken } } },
        .puts = {},
        .deletes = {} };
    for (auto& token : batch) {
        auto& tracked = *find(token);
        auto& next = tracked.next;
        auto key = openActionKey(token);
        transaction.checks.push_back({ key, RowVersionEquals { tracked.version } });
        if (next.state == ActionState::Running) {
            tracked.deadline = now + m_options.runTimeout;
            next.current.deadlineUnixMs = m_ports.unixMilliseconds() + toMilliseconds(m_options.runTimeout);
        }
        bool hasEnded = next.state == ActionState::Done || next.state == ActionState::InDoubt;
        transaction.puts.push_back({ hasEnded ? endedActionKey(token) : key, encodeActionRecord(next) });
        if (hasEnded)
            transaction.deletes.push_back(std::move(key));
    }
    return transaction;
}

void ActionRunner::noteBatch(Instant now, const Batch& batch, const StoreResult<TransactionResult>& result)
{
    m_isWriting = false;
    // The lease may have lapsed while the claims were written; nothing is sent without it.
    if (stopUnlessHeld(now))
        return;
    if (result) {
        m_batchLimit = m_options.batchLimit;
        applyBatch(now, batch, result.value());
        tick(now);
        return;
    }
    auto& error = result.error();
    if (error.code == StoreErrorCode::Conflict && error.key == fenceKey(partitionLeaseName(m_options.partition))) {
        stop("a newer holder has the lease");
        return;
    }
    bool isUnapplied = error.code == StoreErrorCode::Unavailable || error.code == StoreErrorCode::Throttled;
    if (error.code == StoreErrorCode::Conflict) {
        // Another writer changed one row; the next scan reads it again.
        for (auto& token : batch) {
            if (openActionKey(token) == error.key)
                m_tracked.erase(token);
        }
        requeue(batch);
    } else if (isUnapplied) {
        m_flushAt = now + std::max(error.retryAfter, m_options.backoffMin);
        requeue(batch);
    } else if (error.code == StoreErrorCode::Malformed && batch.size() > 1) {
        m_batchLimit = 1;
        requeue(batch);
    } else {
        // Unknown or rejected. The next scan reads what the rows have become.
        for (auto& token : batch)
            m_tracked.erase(token);
    }
    tick(now);
}

void ActionRunner::requeue(const Batch& batch)
{
    for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
        if (find(*it))
            m_queue.push_front(*it);
    }
}

void ActionRunner::applyBatch(Instant now, const Batch& batch, const TransactionResult& result)
{
    for (size_t n = 0; n < batch.size() && n < result.versions.size(); ++n) {
        auto& tracked = *find(batch[n]);
        tracked.record = std::move(tracked.next);
        tracked.version = result.versions[n];
        switch (tracked.record.state) {
        case ActionState::Running:
            dispatch(now, tracked);
            break;
        case ActionState::Accepted:
            tracked.stage = Stage::Ready;
            tracked.wakeAt = now + tracked.backoff;
            break;
        case ActionState::Done:
        case ActionState::InDoubt:
            if (m_ports.noteEnded)
                m_ports.noteEnded(batch[n], tracked.record.state);
            m_tracked.erase(batch[n]);
            break;
        }
    }
}

} // namespace Berylport
