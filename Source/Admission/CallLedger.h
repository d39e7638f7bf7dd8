// Deduplication table of one target's attempts. Keeps a request from running twice and makes every "not run" final.
#pragma once

#include "Admission/RefusedFilter.h"
#include "Base/Base.h"

#include <list>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Berylport {

struct LedgerOptions {
    size_t maximumEntries { 65'536 };
    // Refusals above this number are kept in the filter, so that an overload, which refuses thousands of calls a
    // second, cannot fill the ledger and cause refusals for another hold time after it has ended.
    size_t maximumTombstones { 16'384 };
    size_t maximumRetainedBytes { 64 * 1024 * 1024 };
    Duration retention { std::chrono::seconds(30) };
    Duration patientRetention { std::chrono::minutes(10) };
    // The link translates the deadline of a request and of a later query apart; they may differ by its clock error.
    // A query's deadline may be translated up to this much later than that of the call it asks about.
    Duration clockSlack { std::chrono::seconds(5) };
    // Later deadlines are rejected, as an attempt must not be kept or awaited for days.
    Duration maximumLifetime { std::chrono::hours(1) };
};

// A recipient of one reply when the attempt ends. The requested id differs from the attempt's own when a further
// attempt of a non-idempotent call has joined it.
struct Requester {
    LinkId link;
    AttemptId requestedId;
    bool operator==(const Requester&) const = default;
};

struct AttemptQueued { };

struct AttemptRunning {
    Instant startedAt;
    bool isCancelSent { false };
};

struct AttemptFinished {
    HttpResponse answer;
    uint32_t retryTokensUsed { 0 };
    std::list<AttemptId>::iterator retainedPosition;
};

struct AttemptRefused {
    RefusalReason reason { RefusalReason::QueueFull };
};

struct AttemptLost {
    LossReason reason { LossReason::TargetClosed };
    // As in CallLost.
    uint64_t targetEnd { 0 };
};

// A further attempt of a non-idempotent call; its outcome is that of the original.
struct AttemptJoined {
    AttemptId original;
};

using AttemptState
    = std::variant<AttemptQueued, AttemptRunning, AttemptFinished, AttemptRefused, AttemptLost, AttemptJoined>;

struct LedgerEntry {
    AttemptId id;
    RequestKind kind { RequestKind::AtMostOnce };
    TenantName tenant;
    Instant deadline;
    // Not evicted before this time; always later than deadline plus retention.
    Instant retainUntil;
    uint32_t depth { 0 };
    bool isSuspect { false };
    uint32_t retryTokens { 0 };
    // Part of retryTokens that no nested call has taken.
    uint32_t retryTokensLeft { 0 };
    AttemptState state;
    std::vector<Requester> requesters;

    template <typename State> bool is() const { return std::holds_alternative<State>(state); }
    bool isLive() const { return is<AttemptQueued>() || is<AttemptRunning>(); }
};

enum class LedgerMatch : uint8_t {
    // Not seen before; within the retention time.
    Unknown,
    Known,
    // Has a tombstone, as an entry or in the filter.
    RefusedBefore,
    // It may have been evicted, or cannot be stored, so its outcome is unknown.
    OutcomeUnknown,
};

struct LedgerLookup {
    LedgerMatch match { LedgerMatch::Unknown };
    // Set for Known only; never a joined entry. Valid until the next change of the ledger.
    LedgerEntry* entry { nullptr };
};

class CallLedger {
public:
    explicit CallLedger(LedgerOptions options)
        : m_options(options)
    {
    }

    // Looks an attempt up for a request (kind given) or a query (kind unknown). A further attempt of a call that may
    // run only once is joined to the earlier one. retentionKind decides the hold time of an attempt that is not found.
    LedgerLookup lookUp(
        Instant now, const AttemptId&, Instant deadline, std::optional<RequestKind> kind, RequestKind retentionKind);
    LedgerEntry* find(const AttemptId&);
    // The running attempt of the call, if any.
    LedgerEntry* findRunning(const CallId&);
    const LedgerEntry* findRunning(const CallId&) const;

    // Visits every entry; only for the end of the node.
    std::vector<AttemptId> findAllRunning() const;

    bool hasRoom() const { return m_entries.size() < m_options.maximumEntries; }
    // Adds a queued attempt. There must be room.
    LedgerEntry& insert(const CallRequest&, RequestKind);
    void insertTombstone(Instant now, const AttemptId&, Instant deadline, RequestKind, RefusalReason);
    void addRequester(LedgerEntry&, Requester);
    // Removes the link's requesters; returns the attempts that have no requester left.
    std::vector<AttemptId> removeLink(LinkId);

    // State transitions of an attempt; those that end it return its requesters. A refused entry may be
    // moved to the filter, so the reference is not valid afterwards.
    void start(LedgerEntry&, Instant now);
    std::vector<Requester> finish(LedgerEntry&, HttpResponse);
    std::vector<Requester> refuse(Instant now, LedgerEntry&, RefusalReason);
    std::vector<Requester> lose(LedgerEntry&, const AttemptLost&);

    void evictExpired(Instant now);

    // Queued and running attempts of requests under which targets ended.
    size_t liveSuspects() const { return m_liveSuspects; }
    size_t size() const { return m_entries.size(); }
    size_t retainedBytes() const { return m_retainedBytes; }
    size_t tombstones() const { return m_tombstones; }

private:
    // What is known about all attempts of a call; unset numbers are absent.
    struct CallIndex {
        std::optional<uint32_t> queued;
        // Last attempt that was started and may have run.
        std::optional<uint32_t> started;
        std::optional<uint32_t> running;
        bool isEmpty() const { return !queued && !started && !running; }
    };

    Duration retentionOf(RequestKind) const;
    bool isBeyondRetention(Instant now, Instant deadline, RequestKind) const;
    LedgerEntry* findOriginal(const CallId&, std::optional<RequestKind>);
    LedgerLookup resolve(LedgerEntry&);
    LedgerEntry& addEntry(const AttemptId&, Instant deadline, RequestKind);
    LedgerLookup join(const AttemptId&, Instant deadline, LedgerEntry& original);
    void removeFromIndex(const AttemptId&);
    std::vector<Requester> complete(LedgerEntry&);
    bool isJoinedToLive(const LedgerEntry&);
    void extendRetention(LedgerEntry&, Instant until);
    void retainAnswer(LedgerEntry&, HttpResponse);
    void evictOldestAnswers();
    void releaseAnswer(LedgerEntry&);
    void erase(const AttemptId&);

    LedgerOptions m_options;
    std::unordered_map<AttemptId, LedgerEntry> m_entries;
    std::unordered_map<CallId, CallIndex> m_calls;
    std::unordered_map<LinkId, std::unordered_set<AttemptId>> m_attemptsByLink;
    // Every entry that is neither queued nor running, by keepUntil.
    std::set<std::pair<Instant, AttemptId>> m_expiry;
    // Finished entries with an answer, oldest first.
    std::list<AttemptId> m_retained;
    size_t m_retainedBytes { 0 };
    size_t m_tombstones { 0 };
    size_t m_liveSuspects { 0 };
    // Refusals that have no entry. None of them was ever started.
    RefusedFilter m_refused;
    // Latest deadline among evicted attempts that may have run. Guards queries when a service's kind, and with it
    // the hold time, changes.
    Instant m_evictedDeadline { Instant::min() + std::chrono::hours(1) };
};

} // namespace Berylport
