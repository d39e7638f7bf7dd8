// Merges the evidence of all nodes about requests under which targets ended.
#include "Suspects/SuspectTable.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace Berylport {

Suspicion SuspectTable::suspicion(const RequestScope& scope, const HttpRequest& request) const
{
    if (m_records.empty() || !hasKnownHead(hashHead(scope, request)))
        return Suspicion::None;
    return suspicion(hashRequest(scope, request));
}

Suspicion SuspectTable::suspicion(const RequestFingerprint& fingerprint) const
{
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return Suspicion::None;
    const SuspectRecord& record = it->second.record;
    if (record.isRefused)
        return Suspicion::Refused;
    if (record.ends.empty())
        return Suspicion::None;
    return record.ends.size() == 1 ? Suspicion::Suspect : Suspicion::Repeated;
}

bool SuspectTable::hasKnownHead(const RequestFingerprint::Part& head) const
{
    auto it = m_records.lower_bound({ .head = head, .body = {} });
    return it != m_records.end() && it->first.head == head;
}

bool SuspectTable::isCleared(const SuspectRecord& record) const
{
    return record.goodEndAt && *record.goodEndAt + m_options.goodEndLifetime >= record.lastEndAt;
}

void SuspectTable::normalize(SuspectRecord& record) const
{
    if (isCleared(record)) {
        record.ends.clear();
        record.isRefused = false;
        return;
    }
    record.goodEndAt.reset();
    record.isRefused |= record.ends.size() >= m_options.endsToRefuse;
    if (record.isRefused)
        record.ends.clear();
}

uint64_t SuspectTable::digestOf(const SuspectRecord& record)
{
    // Records that only tell of a good end are not compared: they are short-lived, and not needed by all.
    if (!record.isRefused && record.ends.empty())
        return 0;
    uint64_t n = std::hash<RequestFingerprint>()(record.fingerprint) + record.isRefused;
    for (uint64_t it : record.ends)
        n += it * 0x9E3779B97F4A7C15;
    return n * 0xFF51AFD7ED558CCD + 1;
}

void SuspectTable::changed(Entry& entry, const SuspectRecord& before)
{
    normalize(entry.record);
    const SuspectRecord& after = entry.record;
    // Times alone are not told on, as each node's clock would move them a little further.
    bool isSame = after.ends == before.ends && after.isRefused == before.isRefused
        && after.goodEndAt.has_value() == before.goodEndAt.has_value();
    if (isSame)
        return;
    m_digest ^= digestOf(before) ^ digestOf(entry.record);
    ++m_revision;
}

void SuspectTable::recordEnd(const RequestFingerprint& fingerprint, uint64_t targetEnd, Instant now)
{
    auto good = m_goodEnds.find(fingerprint);
    SuspectRecord record { .fingerprint = fingerprint,
        .ends = { targetEnd },
        .lastEndAt = now,
        .goodEndAt = good == m_goodEnds.end() ? std::nullopt : std::optional(good->second) };
    bool hasChanged = merge(record, now);
    auto it = m_records.find(fingerprint);
    if (it == m_records.end())
        return;
    if (hasChanged)
        m_changes.insert(fingerprint);
    m_revision += !std::exchange(it->second.isOwn, true);
}

void SuspectTable::recordGoodEnd(const RequestFingerprint& fingerprint, Instant now)
{
    auto [good, isNew] = m_goodEnds.insert_or_assign(fingerprint, now);
    if (isNew)
        m_goodEndOrder.push_back(fingerprint);
    if (m_goodEndOrder.size() > m_options.maximumGoodEnds) {
        m_goodEnds.erase(m_goodEndOrder.front());
        m_goodEndOrder.pop_front();
    }
    auto it = m_records.find(fingerprint);
    if (it == m_records.end() || (it->second.record.ends.empty() && !it->second.record.isRefused))
        return;
    SuspectRecord before = it->second.record;
    it->second.record.goodEndAt = now;
    changed(it->second, before);
    m_changes.insert(fingerprint);
}

void SuspectTable::recordRefusal(const RequestFingerprint& fingerprint, Instant now)
{
    auto it = m_records.find(fingerprint);
    if (it != m_records.end() && it->second.record.isRefused)
        it->second.record.lastEndAt = now;
}

bool SuspectTable::merge(const SuspectRecord& offered, Instant now)
{
    bool isUseful = offered.goodEndAt || offered.isRefused || !offered.ends.empty();
    if (!isUseful || now - std::max(offered.lastEndAt, offered.goodEndAt.value_or(Instant())) >= m_options.lifetime)
        return false;
    auto found = m_records.find(offered.fingerprint);
    if (found == m_records.end()) {
        if (!makeRoomFor(offered))
            return false;
        found
            = m_records.emplace(offered.fingerprint, Entry { .record = { .fingerprint = offered.fingerprint } }).first;
    }
    Entry& entry = found->second;
    SuspectRecord before = entry.record;
    SuspectRecord& record = entry.record;
    uint64_t revision = m_revision;
    auto good = m_goodEnds.find(offered.fingerprint);
    for (auto& it : { offered.goodEndAt, good == m_goodEnds.end() ? std::nullopt : std::optional(good->second) }) {
        if (it)
            record.goodEndAt = std::max(record.goodEndAt.value_or(*it), *it);
    }
    record.lastEndAt = std::max(record.lastEndAt, offered.lastEndAt);
    record.isRefused |= offered.isRefused;
    if (!record.isRefused) {
        std::vector<uint64_t> ends;
        std::ranges::set_union(record.ends, offered.ends, std::back_inserter(ends));
        record.ends = std::move(ends);
    }
    changed(entry, before);
    if (record.ends.empty() && !record.isRefused && !record.goodEndAt)
        remove(offered.fingerprint);
    else if (!offered.goodEndAt && isCleared(record))
        // The other node has not heard that the request ended well.
        m_changes.insert(offered.fingerprint);
    return m_revision != revision;
}

void SuspectTable::remove(const RequestFingerprint& fingerprint)
{
    auto it = m_records.find(fingerprint);
    m_digest ^= digestOf(it->second.record);
    m_changes.erase(fingerprint);
    m_records.erase(it);
    ++m_revision;
}

bool SuspectTable::makeRoomFor(const SuspectRecord& offered)
{
    if (m_records.size() < m_options.maximumRecords)
        return true;
    // Refused requests are kept longest.
    auto oldest = std::ranges::min_element(
        m_records, {}, [](auto& it) { return std::pair(it.second.record.isRefused, it.second.record.lastEndAt); });
    const SuspectRecord& record = oldest->second.record;
    bool isPreferred = offered.isRefused != record.isRefused
        ? offered.isRefused
        : offered.lastEndAt > record.lastEndAt + m_options.evictionMargin;
    if (isPreferred)
        remove(RequestFingerprint(oldest->first));
    return isPreferred;
}

void SuspectTable::expire(Instant now)
{
    std::vector<RequestFingerprint> expired;
    for (auto& [fingerprint, entry] : m_records) {
        const SuspectRecord& record = entry.record;
        bool isSuspected = record.isRefused || !record.ends.empty();
        Instant end = isSuspected ? record.lastEndAt + m_options.lifetime
                                  : record.goodEndAt.value_or(Instant()) + m_options.clearedLifetime;
        if (now >= end)
            expired.push_back(fingerprint);
    }
    for (auto& it : expired)
        remove(it);
}

std::vector<SuspectRecord> SuspectTable::records() const
{
    std::vector<SuspectRecord> records;
    for (auto& [fingerprint, entry] : m_records)
        records.push_back(entry.record);
    return records;
}

std::vector<SuspectRecord> SuspectTable::takeChanges()
{
    std::vector<SuspectRecord> records;
    for (auto& it : std::exchange(m_changes, {}))
        records.push_back(m_records.at(it).record);
    return records;
}

std::vector<RequestFingerprint> SuspectTable::ownRefused() const
{
    std::vector<const SuspectRecord*> own;
    for (auto& [fingerprint, entry] : m_records) {
        if (entry.isOwn && entry.record.isRefused)
            own.push_back(&entry.record);
    }
    std::ranges::sort(own, std::greater {}, &SuspectRecord::lastEndAt);
    std::vector<RequestFingerprint> fingerprints;
    for (auto* it : own)
        fingerprints.push_back(it->fingerprint);
    return fingerprints;
}

void SuspectTable::restoreRefused(std::span<const RequestFingerprint> fingerprints, bool areOwn, Instant now)
{
    for (auto& it : fingerprints) {
        merge({ .fingerprint = it, .ends = {}, .isRefused = true, .lastEndAt = now, .goodEndAt = {} }, now);
        auto found = m_records.find(it);
        if (found == m_records.end() || !areOwn || found->second.isOwn)
            continue;
        found->second.isOwn = true;
        ++m_revision;
    }
}

} // namespace Berylport
