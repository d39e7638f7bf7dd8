// Sequence of reads and writes of rows, with retries.
#include "Node/NodeRegistrar.h"

#include <algorithm>

namespace Berylport {

NodeRegistrar::NodeRegistrar(const Options& options, std::string key, NodeRow self)
    : m_options(options)
    , m_random(options.seed)
    , m_key(std::move(key))
    , m_row(std::move(self))
{
    if (options.isFirstStart)
        m_storedVersion = 0;
}

bool NodeRegistrar::isDurable() const
{
    return m_storedVersion && m_stored && m_stored->gossip == m_row.gossip && m_stored->departed == m_row.departed
        && m_stored->refused == m_row.refused;
}

void NodeRegistrar::tick(Instant now, std::vector<RowAction>& actions)
{
    if (m_isReading || m_pendingWrite || now < m_nextAttempt)
        return;
    m_eraAtCall = m_era;
    if (m_storedVersion && !isDurable()) {
        bool isNewRow = !*m_storedVersion && !m_isFirstWriteDelayed && !m_row.departed;
        if (isNewRow) {
            m_isFirstWriteDelayed = true;
            m_nextAttempt = now
                + Duration(
                    static_cast<int64_t>(m_random.unit() * static_cast<double>(m_options.firstWriteSpread.count())));
            if (now < m_nextAttempt)
                return;
        }
        m_pendingWrite = m_row;
        actions.push_back(WriteRow { .row = m_row, .expectedVersion = *m_storedVersion });
        return;
    }
    if (m_storedVersion && m_isPeerListComplete)
        return;
    m_isReading = true;
    if (m_isPeerListComplete)
        actions.push_back(ReadOwnRow {});
    else
        actions.push_back(ReadRows {});
}

void NodeRegistrar::eraSeen(uint64_t era, Instant now)
{
    if (era <= m_era)
        return;
    bool isRestored = m_era != 0;
    m_era = era;
    if (!isRestored)
        return;
    m_stored.reset();
    m_storedVersion.reset();
    auto spread = static_cast<double>(m_options.restoredReadSpread.count());
    m_nextAttempt = std::max(m_nextAttempt, now + Duration(static_cast<int64_t>(m_random.unit() * spread)));
}

std::optional<RowsRead> NodeRegistrar::rowsRead(std::span<const StoredRow> rows, uint64_t era, Instant now)
{
    eraSeen(era, now);
    if (isStale(era)) {
        readFailed(now);
        return std::nullopt;
    }
    m_isReading = false;
    m_failures = 0;
    m_stored.reset();
    m_storedVersion = 0;
    RowsRead result;
    for (auto& it : rows) {
        if (it.key != m_key) {
            result.peers.push_back(it.row.gossip);
            result.refused.insert(result.refused.end(), it.row.refused.begin(), it.row.refused.end());
            continue;
        }
        m_stored = it.row;
        m_storedVersion = it.version;
        // Earlier processes on this VM have found them.
        result.ownRefused = it.row.refused;
        if (m_row.refused.empty())
            m_row.refused = it.row.refused;
        if (it.row.departed && !m_row.departed) {
            m_row.departed = it.row.departed;
            result.departed = it.row.departed;
        }
    }
    m_isPeerListComplete = m_isPeerListComplete || (m_stored && m_stored->gossip == m_row.gossip);
    return result;
}

void NodeRegistrar::readFailed(Instant now)
{
    m_isReading = false;
    retryLater(now);
}

void NodeRegistrar::written(uint64_t version, uint64_t era, Instant now)
{
    eraSeen(era, now);
    // The write may be lost.
    if (isStale(era)) {
        writeFailed(WriteFailure::Unknown, now);
        return;
    }
    m_failures = 0;
    m_stored = std::move(m_pendingWrite);
    m_pendingWrite.reset();
    m_storedVersion = version;
}

void NodeRegistrar::writeFailed(WriteFailure failure, Instant now)
{
    m_pendingWrite.reset();
    m_storedVersion.reset();
    if (failure != WriteFailure::Conflict)
        retryLater(now);
}

void NodeRegistrar::storeAnswered(Instant now)
{
    bool isStored = m_stored && m_stored->departed == m_row.departed;
    if (m_row.departed && !isStored)
        m_nextAttempt = std::min(m_nextAttempt, now);
}

void NodeRegistrar::setDeparted(const TargetIncarnation& departed, Instant now)
{
    m_row.departed = departed;
    m_nextAttempt = now;
}

void NodeRegistrar::setRefused(std::vector<RequestFingerprint> refused, Instant now)
{
    if (m_row.refused == refused)
        return;
    m_row.refused = std::move(refused);
    m_nextAttempt = now;
}

void NodeRegistrar::retryLater(Instant now)
{
    Duration wait = std::min(m_options.firstRetry * (1 << std::min<uint32_t>(m_failures, 8)), m_options.maximumRetry);
    ++m_failures;
    // Exponential backoff with jitter of half the delay, so that the nodes do not retry at the same time.
    m_nextAttempt
        = now + wait / 2 + Duration(static_cast<int64_t>(m_random.unit() * static_cast<double>(wait.count()) / 2));
}

} // namespace Berylport
