// States, indexes and eviction of the call ledger.
#include "Admission/CallLedger.h"

#include <algorithm>
#include <utility>

namespace Berylport {

namespace {

size_t countBytes(const HttpResponse& answer)
{
    size_t bytes = answer.body.size() + answer.reason.size();
    for (auto& it : answer.headers)
        bytes += it.name.size() + it.value.size();
    return bytes;
}

} // namespace

Duration CallLedger::retentionOf(RequestKind kind) const
{
    return kind == RequestKind::Patient ? m_options.patientRetention : m_options.retention;
}

bool CallLedger::isBeyondRetention(Instant now, Instant deadline, RequestKind kind) const
{
    return deadline > now + m_options.maximumLifetime || now > deadline + retentionOf(kind)
        || deadline <= m_evictedDeadline + m_options.clockSlack;
}

LedgerEntry* CallLedger::find(const AttemptId& id)
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

const LedgerEntry* CallLedger::findRunning(const CallId& call) const
{
    auto it = m_calls.find(call);
    if (it == m_calls.end() || !it->second.running)
        return nullptr;
    return &m_entries.at({ .call = call, .attempt = *it->second.running });
}

LedgerEntry* CallLedger::findRunning(const CallId& call)
{
    return const_cast<LedgerEntry*>(std::as_const(*this).findRunning(call));
}

std::vector<AttemptId> CallLedger::findAllRunning() const
{
    std::vector<AttemptId> running;
    for (auto& [id, entry] : m_entries) {
        if (entry.is<AttemptRunning>())
            running.push_back(id);
    }
    std::ranges::sort(running);
    return running;
}

// The attempt that a further attempt of the same call has to join, if one of them must not run twice.
LedgerEntry* CallLedger::findOriginal(const CallId& call, std::optional<RequestKind> kind)
{
    auto it = m_calls.find(call);
    if (it == m_calls.end())
        return nullptr;
    auto attempt = it->second.started ? it->second.started : it->second.queued;
    if (!attempt)
        return nullptr;
    LedgerEntry* entry = find({ .call = call, .attempt = *attempt });
    bool mayRunAgain = entry->kind == RequestKind::Idempotent && kind.value_or(entry->kind) == RequestKind::Idempotent;
    return mayRunAgain ? nullptr : entry;
}

LedgerLookup CallLedger::lookUp(
    Instant now, const AttemptId& id, Instant deadline, std::optional<RequestKind> kind, RequestKind retentionKind)
{
    evictExpired(now);
    if (LedgerEntry* entry = find(id))
        return resolve(*entry);
    if (isBeyondRetention(now, deadline, retentionKind))
        return { .match = LedgerMatch::OutcomeUnknown };
    if (m_refused.mayContain(now, id))
        return { .match = LedgerMatch::RefusedBefore };
    if (LedgerEntry* original = findOriginal(id.call, kind))
        return join(id, deadline, *original);
    return {};
}

LedgerLookup CallLedger::resolve(LedgerEntry& entry)
{
    LedgerEntry* original = &entry;
    if (auto* joined = std::get_if<AttemptJoined>(&entry.state)) {
        original = find(joined->original);
        if (!original)
            return { .match = LedgerMatch::OutcomeUnknown };
    }
    if (original->is<AttemptRefused>())
        return { .match = LedgerMatch::RefusedBefore };
    return { .match = LedgerMatch::Known, .entry = original };
}

// Without room for the alias its outcome could not be recorded, so it is reported as unknown rather than refused.
LedgerLookup CallLedger::join(const AttemptId& id, Instant deadline, LedgerEntry& original)
{
    if (!hasRoom())
        return { .match = LedgerMatch::OutcomeUnknown };
    LedgerEntry& alias = addEntry(id, deadline, original.kind);
    alias.state = AttemptJoined { .original = original.id };
    m_expiry.emplace(alias.retainUntil, id);
    extendRetention(original, alias.retainUntil);
    return { .match = LedgerMatch::Known, .entry = &original };
}

LedgerEntry& CallLedger::addEntry(const AttemptId& id, Instant deadline, RequestKind kind)
{
    LedgerEntry& entry = m_entries[id];
    entry.id = id;
    entry.kind = kind;
    entry.deadline = deadline;
    entry.retainUntil = deadline + retentionOf(kind) + m_options.clockSlack;
    return entry;
}

LedgerEntry& CallLedger::insert(const CallRequest& request, RequestKind kind)
{
    LedgerEntry& entry = addEntry(request.id, request.deadline, kind);
    entry.tenant = request.tenant;
    entry.depth = request.depth;
    entry.isSuspect = request.isSuspect;
    m_liveSuspects += request.isSuspect;
    entry.retryTokens = request.retryTokens;
    entry.retryTokensLeft = request.retryTokens;
    m_calls[request.id.call].queued = request.id.attempt;
    return entry;
}

void CallLedger::insertTombstone(
    Instant now, const AttemptId& id, Instant deadline, RequestKind kind, RefusalReason reason)
{
    if (!hasRoom() || m_tombstones >= m_options.maximumTombstones) {
        m_refused.insert(now, id, deadline + m_options.clockSlack);
        return;
    }
    LedgerEntry& entry = addEntry(id, deadline, kind);
    entry.state = AttemptRefused { .reason = reason };
    m_expiry.emplace(entry.retainUntil, id);
    m_tombstones++;
}

void CallLedger::addRequester(LedgerEntry& entry, Requester requester)
{
    if (std::ranges::find(entry.requesters, requester) != entry.requesters.end())
        return;
    entry.requesters.push_back(requester);
    m_attemptsByLink[requester.link].insert(entry.id);
}

std::vector<AttemptId> CallLedger::removeLink(LinkId link)
{
    std::vector<AttemptId> abandoned;
    auto attempts = m_attemptsByLink.extract(link);
    if (attempts.empty())
        return abandoned;
    for (auto& id : attempts.mapped()) {
        LedgerEntry& entry = m_entries.at(id);
        std::erase_if(entry.requesters, [&](auto& it) { return it.link == link; });
        if (entry.requesters.empty())
            abandoned.push_back(id);
    }
    // The set's order differs between libraries; callers rely on the same order in every run.
    std::ranges::sort(abandoned);
    return abandoned;
}

void CallLedger::start(LedgerEntry& entry, Instant now)
{
    entry.state = AttemptRunning { .startedAt = now };
    CallIndex& index = m_calls[entry.id.call];
    index.started = entry.id.attempt;
    index.running = entry.id.attempt;
    if (index.queued == entry.id.attempt)
        index.queued.reset();
}

// Makes a live entry evictable and returns its requesters.
std::vector<Requester> CallLedger::complete(LedgerEntry& entry)
{
    m_expiry.emplace(entry.retainUntil, entry.id);
    m_liveSuspects -= entry.isSuspect;
    auto it = m_calls.find(entry.id.call);
    if (it != m_calls.end() && it->second.running == entry.id.attempt)
        it->second.running.reset();
    for (auto& requester : entry.requesters) {
        auto attempts = m_attemptsByLink.find(requester.link);
        if (attempts == m_attemptsByLink.end())
            continue;
        attempts->second.erase(entry.id);
        if (attempts->second.empty())
            m_attemptsByLink.erase(attempts);
    }
    return std::exchange(entry.requesters, {});
}

std::vector<Requester> CallLedger::finish(LedgerEntry& entry, HttpResponse answer)
{
    auto waiting = complete(entry);
    retainAnswer(entry, std::move(answer));
    return waiting;
}

std::vector<Requester> CallLedger::lose(LedgerEntry& entry, const AttemptLost& loss)
{
    entry.state = loss;
    return complete(entry);
}

std::vector<Requester> CallLedger::refuse(Instant now, LedgerEntry& entry, RefusalReason reason)
{
    entry.state = AttemptRefused { .reason = reason };
    auto waiting = complete(entry);
    removeFromIndex(entry.id);
    m_tombstones++;
    if (m_tombstones > m_options.maximumTombstones) {
        m_refused.insert(now, entry.id, entry.deadline + m_options.clockSlack);
        erase(AttemptId(entry.id));
    }
    return waiting;
}

void CallLedger::removeFromIndex(const AttemptId& id)
{
    auto it = m_calls.find(id.call);
    if (it == m_calls.end())
        return;
    for (auto* attempt : { &it->second.queued, &it->second.started, &it->second.running }) {
        if (*attempt == id.attempt)
            attempt->reset();
    }
    if (it->second.isEmpty())
        m_calls.erase(it);
}

void CallLedger::extendRetention(LedgerEntry& entry, Instant until)
{
    if (until <= entry.retainUntil)
        return;
    if (m_expiry.erase({ entry.retainUntil, entry.id }))
        m_expiry.emplace(until, entry.id);
    entry.retainUntil = until;
}

void CallLedger::retainAnswer(LedgerEntry& entry, HttpResponse answer)
{
    m_retainedBytes += countBytes(answer);
    auto position = m_retained.insert(m_retained.end(), entry.id);
    entry.state = AttemptFinished {
        .answer = std::move(answer),
        .retryTokensUsed = entry.retryTokens - entry.retryTokensLeft,
        .retainedPosition = position,
    };
    evictOldestAnswers();
}

// Always keeps the newest answer, as its requesters have not received it yet.
void CallLedger::evictOldestAnswers()
{
    while (m_retainedBytes > m_options.maximumRetainedBytes && m_retained.size() > 1) {
        LedgerEntry& oldest = m_entries.at(m_retained.front());
        releaseAnswer(oldest);
        oldest.state = AttemptLost { .reason = LossReason::AnswerDropped };
    }
}

void CallLedger::releaseAnswer(LedgerEntry& entry)
{
    auto* finished = std::get_if<AttemptFinished>(&entry.state);
    if (!finished)
        return;
    m_retainedBytes -= countBytes(finished->answer);
    m_retained.erase(finished->retainedPosition);
}

void CallLedger::erase(const AttemptId& id)
{
    auto it = m_entries.find(id);
    LedgerEntry& entry = it->second;
    releaseAnswer(entry);
    if (entry.is<AttemptRefused>())
        m_tombstones--;
    m_expiry.erase({ entry.retainUntil, id });
    removeFromIndex(id);
    m_entries.erase(it);
}

// A requester may still wait under the joined attempt's id; a repeated request must not get a second reply.
bool CallLedger::isJoinedToLive(const LedgerEntry& entry)
{
    auto* joined = std::get_if<AttemptJoined>(&entry.state);
    LedgerEntry* original = joined ? find(joined->original) : nullptr;
    return original && original->isLive();
}

void CallLedger::evictExpired(Instant now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < now) {
        AttemptId id = m_expiry.begin()->second;
        LedgerEntry& entry = m_entries.at(id);
        if (isJoinedToLive(entry)) {
            extendRetention(entry, now + m_options.retention);
            continue;
        }
        if (!entry.is<AttemptRefused>())
            m_evictedDeadline = std::max(m_evictedDeadline, entry.deadline);
        erase(id);
    }
}

} // namespace Berylport
