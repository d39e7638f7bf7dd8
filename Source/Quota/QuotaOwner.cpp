// Issue and distribution of tokens.
#include "Quota/QuotaOwner.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

// A claim to a longer lease is not believed.
constexpr Duration maximumLease = std::chrono::minutes(2);
// Replies to one lender that are kept; more than it awaits at a time.
constexpr size_t maximumReplies = 16;
// Tokens are issued in steps of at least and at most these times; those of a step expire with the first of them.
constexpr Duration advanceInterval = std::chrono::milliseconds(10);
constexpr Duration maximumStep = std::chrono::milliseconds(50);
constexpr Duration lenderRetention = std::chrono::minutes(3);
constexpr Duration cleanupInterval = std::chrono::seconds(10);
// Time in which unmet requests are forgotten but for 1/e.
constexpr double unmetDecaySeconds = 0.3;
// Without a rate to compute it from.
constexpr Duration unknownRetryAfter = std::chrono::milliseconds(500);
constexpr Duration minimumRetryAfter = std::chrono::milliseconds(20);
constexpr Duration maximumRetryAfter = std::chrono::seconds(10);

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

uint16_t toLifetime(Duration duration)
{
    return static_cast<uint16_t>(std::clamp<int64_t>(toMilliseconds(duration), 0, UINT16_MAX));
}

} // namespace

void QuotaOwner::setAccounts(std::span<const AccountQuota> accounts, Instant now)
{
    advance(now);
    std::unordered_map<uint64_t, Pool> pools;
    for (auto& it : accounts) {
        auto held = m_pools.find(it.account);
        Pool pool = held == m_pools.end() ? Pool {} : std::move(held->second);
        if (pool.quota.rate > it.rate)
            pool.tokens.reduce(it.rate / pool.quota.rate, now + it.lifetime);
        pool.quota = it;
        pools.emplace(it.account, std::move(pool));
    }
    m_pools = std::move(pools);
}

void QuotaOwner::advance(Instant now)
{
    // What was issued longer ago has expired.
    m_advancedAt = std::max(m_advancedAt, now - maximumLease);
    while (m_advancedAt < now)
        issueUntil(std::min(now, m_advancedAt + maximumStep));
}

void QuotaOwner::issueUntil(Instant now)
{
    // Share of each limit that was leased, times seconds.
    std::array<double, quotaSlotCount> issued {};
    size_t largest = m_ownKnownVms;
    for (auto& [node, lender] : m_lenders) {
        bool isHeld = false;
        for (size_t unit = 0; unit < quotaUnitCount; ++unit) {
            Instant until = std::min(lender.leasedUntil[unit], now);
            isHeld |= lender.leasedUntil[unit] > now;
            if (until > m_advancedAt)
                issued[unit % quotaSlotCount] += toSeconds(until - m_advancedAt) / quotaHalves;
        }
        if (isHeld)
            largest = std::max<size_t>(largest, lender.knownVms);
    }
    for (auto& [account, pool] : m_pools) {
        double seconds = issued[quotaSlotOf(account)];
        if (seconds > 0)
            pool.tokens.add(
                pool.quota.rate * seconds / static_cast<double>(m_knownVms), m_advancedAt + pool.quota.lifetime);
    }
    m_knownVms = std::max<size_t>(largest, 1);
    m_advancedAt = now;
}

bool QuotaOwner::beginsLease(const Lender& lender, const QuotaRequest& request, Instant now)
{
    for (size_t unit = 0; unit < quotaUnitCount; ++unit) {
        if ((request.leasedUnits >> unit & 1) && lender.leasedUntil[unit] < now)
            return true;
    }
    return false;
}

void QuotaOwner::applyLease(Lender& lender, const QuotaRequest& request, Instant now)
{
    lender.knownVms = request.knownVms;
    m_knownVms = std::max<size_t>(m_knownVms, request.knownVms);
    Instant until = std::min(m_startedAt + request.leasedUntil, now + maximumLease);
    for (size_t unit = 0; unit < quotaUnitCount; ++unit) {
        if (request.leasedUnits >> unit & 1)
            lender.leasedUntil[unit] = std::max(lender.leasedUntil[unit], until);
    }
}

void QuotaOwner::forgetSilentLenders(Instant now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    std::erase_if(m_lenders, [&](auto& entry) { return now - entry.second.heardAt > lenderRetention; });
}

double QuotaOwner::issuedShare(size_t slot, Instant now) const
{
    size_t count = 0;
    for (auto& [node, lender] : m_lenders) {
        for (size_t half = 0; half < quotaHalves; ++half)
            count += lender.leasedUntil[half * quotaSlotCount + slot] > now;
    }
    return static_cast<double>(count) / static_cast<double>(quotaHalves * m_knownVms);
}

QuotaReply QuotaOwner::handle(const QuotaRequest& request, NodeId self, Instant now)
{
    forgetSilentLenders(now);
    Lender& lender = m_lenders[request.sender];
    // A lease that begins now must not count for the time before.
    if (beginsLease(lender, request, now) || now - m_advancedAt >= advanceInterval)
        advance(now);
    lender.heardAt = now;
    applyLease(lender, request, now);
    auto known = std::ranges::find(lender.replies, request.sequence, &QuotaReply::sequence);
    if (known != lender.replies.end())
        return *known;
    QuotaReply reply { .sequence = request.sequence,
        .sender = self,
        .receiver = request.sender,
        .clock = now - m_startedAt,
        .shares = {} };
    for (size_t slot = 0; slot < quotaSlotCount; ++slot)
        reply.issuedPermille[slot] = static_cast<uint16_t>(std::min(1.0, issuedShare(slot, now)) * 1000);
    for (auto& it : request.wants)
        reply.shares.push_back(share(it, now));
    lender.replies.push_front(reply);
    lender.replies.resize(std::min(lender.replies.size(), maximumReplies));
    return reply;
}

QuotaShare QuotaOwner::share(const QuotaWant& want, Instant now)
{
    QuotaShare result { .account = want.account };
    auto it = m_pools.find(want.account);
    if (it == m_pools.end()) {
        result.retryAfterMs = toLifetime(unknownRetryAfter);
        return result;
    }
    Pool& pool = it->second;
    pool.unmet *= std::exp(-toSeconds(now - pool.unmetAt) / unmetDecaySeconds);
    pool.unmetAt = now;
    double available = pool.tokens.available(now);
    double wanted = want.waiting + want.expected;
    // Requests at other nodes that got no token have the same right to one.
    double part = available;
    if (pool.unmet >= 1)
        part *= wanted / (wanted + pool.unmet);
    double whole = std::floor(part);
    whole += m_random.chance(part - whole) ? 1 : 0;
    auto limit = static_cast<uint32_t>(whole);
    TakenTokens granted = pool.tokens.takeOldest(std::min<uint32_t>(want.waiting, limit), now);
    TakenTokens stocked;
    if (granted.count == want.waiting)
        stocked = pool.tokens.takeNewest(std::min<uint32_t>(want.expected, limit - granted.count), now);
    result.granted = static_cast<uint16_t>(granted.count);
    result.stocked = static_cast<uint16_t>(stocked.count);
    if (granted.count)
        result.grantedLifetimeMs = toLifetime(granted.expiresAt - now);
    if (stocked.count)
        result.stockedLifetimeMs = toLifetime(stocked.expiresAt - now);
    pool.unmet += want.refused + want.waiting - granted.count;
    if (granted.count == want.waiting)
        return result;
    double rate = pool.quota.rate * issuedShare(quotaSlotOf(pool.quota.account), now);
    double missing = std::max(pool.unmet + 1 - pool.tokens.available(now), 0.0);
    double wait = rate > 0 ? missing / rate : toSeconds(unknownRetryAfter);
    auto bounded = std::clamp(wait, toSeconds(minimumRetryAfter), toSeconds(maximumRetryAfter));
    result.retryAfterMs = toLifetime(fromSeconds(bounded));
    return result;
}

} // namespace Berylport
