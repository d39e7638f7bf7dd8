// The lease protocol.
#include "Store/LeaseKeeper.h"

#include <algorithm>

namespace Berylport {

LeaseKeeper::LeaseKeeper(LeaseOptions options)
    : m_options(std::move(options))
{
}

void LeaseKeeper::acquire(Instant now)
{
    if (m_isWanted)
        return;
    m_isWanted = true;
    m_mustRelease = false;
    m_isFresh = false;
    m_nextRead = now;
}

void LeaseKeeper::release(Instant now)
{
    loseWhenLapsed(now);
    m_isWanted = false;
    // A pending acquisition or renewal may take effect, so it is resolved first and then released.
    m_mustRelease = m_isHolding || m_write;
    m_isHolding = false;
}

void LeaseKeeper::standDown()
{
    if (!m_isHolding)
        m_isWanted = false;
}

std::string LeaseKeeper::nextRequestToken()
{
    return "lease-" + m_options.name + "-" + toText(m_options.holder) + "-" + std::to_string(m_options.instance) + "-"
        + std::to_string(++m_requests);
}

void LeaseKeeper::lose(Instant now)
{
    m_isHolding = false;
    m_isFresh = false;
    m_nextRead = now;
}

// A lapse is final: the lease is then acquired anew, under a higher fencing token.
void LeaseKeeper::loseWhenLapsed(Instant now)
{
    if (m_isHolding && now >= m_validUntil)
        lose(now);
}

Instant LeaseKeeper::takeoverTime() const
{
    auto& record = m_observation->record;
    return m_observation->since + std::max(record ? record->duration : Duration::zero(), m_options.duration);
}

bool LeaseKeeper::mayTake(Instant now) const
{
    if (!m_isFresh || !m_observation)
        return false;
    // No row yet.
    if (!m_observation->version)
        return true;
    // A row that cannot be read is left to the operator.
    if (!m_observation->record)
        return false;
    auto holder = m_observation->record->holder;
    if (holder.isNull() || holder == m_options.holder)
        return true;
    return now >= takeoverTime();
}

void LeaseKeeper::startWrite(Instant now, LeaseWriteKind kind)
{
    auto& write = m_write.emplace();
    write.kind = kind;
    write.firstSentAt = now;
    write.sendAt = now;
    write.transaction.token = nextRequestToken();
    auto lease = leaseKey(m_options.name);
    auto fence = fenceKey(m_options.name);
    LeaseRecord record { .holder = m_options.holder, .fencingToken = m_fencingToken, .duration = m_options.duration };
    if (kind == LeaseWriteKind::Acquire) {
        bool isNew = !m_observation->version;
        auto previous = isNew ? 0 : m_observation->record->fencingToken;
        record.fencingToken = previous + 1;
        if (isNew) {
            write.transaction.checks = { { lease, RowAbsent {} }, { fence, RowAbsent {} } };
        } else {
            write.transaction.checks
                = { { lease, RowVersionEquals { m_observation->version } }, { fence, RowVersionEquals { previous } } };
        }
        write.transaction.puts = { { lease, encodeLeaseRecord(record) }, { fence, toText(m_options.holder) } };
    } else {
        if (kind == LeaseWriteKind::Release)
            record.holder = {};
        write.transaction.checks = { { lease, RowVersionEquals { m_leaseVersion } } };
        write.transaction.puts = { { lease, encodeLeaseRecord(record) } };
    }
    write.fencingToken = record.fencingToken;
}

void LeaseKeeper::tick(Instant now, std::vector<LeaseAction>& actions)
{
    loseWhenLapsed(now);
    // The result of so old a write is of no use: the others may take over by now.
    if (m_write && now >= m_write->firstSentAt + m_options.duration) {
        m_write.reset();
        m_mustRelease = false;
        lose(now);
    }
    if (!m_write && m_mustRelease) {
        m_mustRelease = false;
        startWrite(now, LeaseWriteKind::Release);
    }
    if (!m_write && m_isHolding && now >= m_nextRenewal)
        startWrite(now, LeaseWriteKind::Renew);
    if (!m_write && m_isWanted && !m_isHolding) {
        if (mayTake(now)) {
            m_isFresh = false;
            startWrite(now, LeaseWriteKind::Acquire);
        } else if (!m_isReading && now >= m_nextRead) {
            m_isReading = true;
            m_isFresh = false;
            actions.push_back(ReadLease { leaseKey(m_options.name) });
        }
    }
    if (m_write && m_write->sendAt && now >= *m_write->sendAt) {
        m_write->sendAt.reset();
        actions.push_back(WriteLease { m_write->transaction });
    }
}

void LeaseKeeper::readFinished(Instant now, const StoreResult<TableRow>& result)
{
    m_isReading = false;
    if (!result && result.error().code != StoreErrorCode::NotFound) {
        m_nextRead = now + std::max(m_options.retryPause, result.error().retryAfter);
        return;
    }
    auto version = result ? result.value().version : 0;
    if (!m_observation || m_observation->version != version) {
        auto& observation = m_observation.emplace();
        observation.version = version;
        observation.since = now;
        if (result)
            observation.record = decodeLeaseRecord(result.value().value);
    }
    m_isFresh = true;
    m_nextRead = now + m_options.pollEvery;
    // The read that confirms the version when the wait is over.
    if (version && takeoverTime() > now)
        m_nextRead = std::min(m_nextRead, takeoverTime());
    // A wait that ends without a fresh read would only cost a write that fails.
    if (!mayTake(now))
        m_isFresh = false;
}

void LeaseKeeper::noteWritten(Instant now, const LeaseWriteState& write, const TransactionResult& result)
{
    m_leaseVersion = result.versions.empty() ? 0 : result.versions.front();
    if (write.kind == LeaseWriteKind::Release) {
        m_nextRead = now;
        return;
    }
    // A renewal that arrives after the lapse does not restore the lease.
    if (write.kind == LeaseWriteKind::Renew && !m_isHolding)
        return;
    m_fencingToken = write.fencingToken;
    if (!m_isWanted)
        return;
    m_isHolding = true;
    m_validUntil = write.firstSentAt + m_options.duration - m_options.safetyMargin;
    m_nextRenewal = write.firstSentAt + m_options.renewEvery;
    loseWhenLapsed(now);
}

void LeaseKeeper::writeFinished(
    Instant now, std::string_view requestToken, const StoreResult<TransactionResult>& result)
{
    loseWhenLapsed(now);
    // The result of a write that has been given up.
    if (!m_write || m_write->transaction.token != requestToken)
        return;
    if (result) {
        auto write = std::move(*m_write);
        m_write.reset();
        noteWritten(now, write, result.value());
        return;
    }
    auto& error = result.error();
    auto retryAt = now + std::max(m_options.retryPause, error.retryAfter);
    if (error.code == StoreErrorCode::Timeout)
        m_write->mayHaveApplied = true;
    bool isUncertain = error.code == StoreErrorCode::Timeout || error.code == StoreErrorCode::Unavailable
        || error.code == StoreErrorCode::Throttled;
    if (m_write->mayHaveApplied && isUncertain) {
        m_write->sendAt = retryAt;
        return;
    }
    m_write.reset();
    if (isUncertain) {
        m_nextRenewal = std::max(m_nextRenewal, retryAt);
        m_nextRead = std::max(m_nextRead, retryAt);
        // A release that was not carried out is left to the expiry.
        return;
    }
    // Another holder wrote the row, or it is unusable.
    m_mustRelease = false;
    lose(now);
    if (error.code != StoreErrorCode::Conflict)
        m_nextRead = retryAt;
}

std::optional<Instant> LeaseKeeper::nextWake() const
{
    std::optional<Instant> earliest;
    auto consider = [&](Instant at) { earliest = earliest ? std::min(*earliest, at) : at; };
    if (m_write) {
        consider(m_write->firstSentAt + m_options.duration);
        if (m_write->sendAt)
            consider(*m_write->sendAt);
    } else if (m_mustRelease) {
        consider(m_validUntil - m_options.duration);
    } else if (m_isHolding) {
        consider(m_nextRenewal);
    } else if (m_isWanted && m_isFresh) {
        // Taken at the next tick.
        consider(m_observation->since);
    } else if (m_isWanted && !m_isReading) {
        consider(m_nextRead);
    }
    if (m_isHolding)
        consider(m_validUntil);
    return earliest;
}

} // namespace Berylport
