// Requests of this node, its stock of tokens, and its leases to the owners.
#include "Quota/QuotaLimiter.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Berylport {

namespace {

// Time in which arrivals are forgotten but for 1/e.
constexpr double arrivalDecaySeconds = 1;
// Weight of an owner that issues less than this, as it may issue more by now.
constexpr double minimumWeight = 0.02;
// Retry-After values differ by up to this share, so that callers refused together do not return together.
constexpr double retrySpread = 0.25;

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

uint16_t toCount(double n)
{
    return static_cast<uint16_t>(std::clamp<double>(n, 0, std::numeric_limits<uint16_t>::max()));
}

// Rendezvous hashing: each node ranks the owners of a slot in the same order.
uint64_t rankOf(size_t slot, NodeId node)
{
    uint64_t n = node.value ^ (slot + 1) * 0x9E3779B97F4A7C15ull;
    n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ull;
    n = (n ^ (n >> 27)) * 0x94D049BB133111EBull;
    return n ^ (n >> 31);
}

size_t unitOf(size_t slot, size_t half) { return half * quotaSlotCount + slot; }

size_t otherHalf(size_t half) { return (half + 1) % quotaHalves; }

} // namespace

QuotaLimiter::QuotaLimiter(const Options& options, Instant now)
    : m_options(options)
    , m_random(options.seed)
    , m_own(options.seed ^ 0x0153, now)
    , m_members { options.self }
{
    m_owners[m_options.self].clock.recordExchange(now, Instant(), now);
    chooseOwners(now);
}

// --- configuration and members

void QuotaLimiter::setAccounts(std::span<const AccountQuota> accounts, Instant now, QuotaActions& actions)
{
    std::unordered_map<uint64_t, Account> held = std::exchange(m_accounts, {});
    for (auto& it : m_bySlot)
        it.clear();
    for (auto& it : accounts) {
        auto found = held.find(it.account);
        Account account = found == held.end() ? Account {} : std::move(found->second);
        if (found != held.end())
            held.erase(found);
        if (account.quota.rate > it.rate)
            account.stock.reduce(it.rate / account.quota.rate, now + it.lifetime);
        account.quota = it;
        if (m_accounts.emplace(it.account, std::move(account)).second)
            m_bySlot[quotaSlotOf(it.account)].push_back(it.account);
    }
    // These have no limit any more.
    for (auto& [key, account] : held) {
        for (auto& half : account.halves) {
            for (auto& it : half.waiting)
                actions.push_back(DecideQuota { .ticket = it.ticket, .decision = QuotaAdmitted {} });
            m_waitingCount -= half.waiting.size();
        }
    }
    m_own.setAccounts(accounts, now);
    m_nextTick = now;
}

void QuotaLimiter::setMembers(std::span<const NodeId> members, size_t knownVms, Instant now, QuotaActions& actions)
{
    m_members.assign(members.begin(), members.end());
    if (std::ranges::find(m_members, m_options.self) == m_members.end())
        m_members.push_back(m_options.self);
    std::ranges::sort(m_members);
    m_knownVms = knownVms;
    m_own.setKnownVms(knownVms);
    std::erase_if(m_owners, [&](auto& entry) {
        // One that leaves still issues tokens by the leases that it holds.
        bool isHolder = std::ranges::any_of(
            m_units, [&](auto& it) { return it.leasedTo == entry.first && now < it.leasedUntil; });
        return !isHolder && !std::ranges::binary_search(m_members, entry.first);
    });
    chooseOwners(now);
    forgetLostMessages();
    askForWaiting(now, actions);
    m_nextTick = std::min(m_nextTick, now);
}

void QuotaLimiter::chooseOwners(Instant now)
{
    std::vector<NodeId> candidates;
    m_nextOwnerChoice = Instant::max();
    for (NodeId it : m_members) {
        auto owner = m_owners.find(it);
        if (owner == m_owners.end() || now >= owner->second.avoidedUntil)
            candidates.push_back(it);
        else
            m_nextOwnerChoice = std::min(m_nextOwnerChoice, owner->second.avoidedUntil);
    }
    for (size_t slot = 0; slot < quotaSlotCount; ++slot) {
        NodeId best = m_options.self;
        NodeId second = m_options.self;
        for (NodeId it : candidates) {
            if (rankOf(slot, it) > rankOf(slot, best))
                second = std::exchange(best, it);
            else if (it != best && (second == best || rankOf(slot, it) > rankOf(slot, second)))
                second = it;
        }
        m_units[unitOf(slot, 0)].owner = best;
        m_units[unitOf(slot, 1)].owner = second;
    }
}

Duration QuotaLimiter::leaseTime() const
{
    return std::max(m_options.minimumLease, m_options.leasePerVm * static_cast<int64_t>(m_knownVms));
}

NodeId QuotaLimiter::holderOf(const Unit& unit, Instant now) const
{
    if (now >= unit.leasedUntil)
        return unit.owner;
    auto it = m_owners.find(unit.leasedTo);
    bool isUsable = it != m_owners.end() && now >= it->second.avoidedUntil;
    return isUsable ? unit.leasedTo : unit.owner;
}

NodeId QuotaLimiter::holderOf(const Account& account, size_t half, Instant now) const
{
    return holderOf(m_units[unitOf(quotaSlotOf(account.quota.account), half)], now);
}

bool QuotaLimiter::isWaitingFor(NodeId owner, Instant now) const
{
    for (size_t unit = 0; unit < quotaUnitCount; ++unit) {
        if (holderOf(m_units[unit], now) != owner)
            continue;
        for (uint64_t key : m_bySlot[unit % quotaSlotCount]) {
            auto& waiting = m_accounts.at(key).halves[unit / quotaSlotCount].waiting;
            if (std::ranges::any_of(waiting, [](auto& it) { return !it.askedBy; }))
                return true;
        }
    }
    return false;
}

template <typename Function> void QuotaLimiter::forEachWaiting(Function&& function)
{
    if (!m_waitingCount)
        return;
    for (auto& [key, account] : m_accounts) {
        for (auto& half : account.halves)
            std::ranges::for_each(half.waiting, function);
    }
}

void QuotaLimiter::forgetLostMessages()
{
    forEachWaiting([this](Waiting& waiting) {
        bool isAwaited = std::ranges::any_of(m_owners, [&](auto& entry) {
            return std::ranges::any_of(
                entry.second.outstanding, [&](auto& it) { return it.request.sequence == waiting.askedBy; });
        });
        if (!isAwaited)
            waiting.askedBy = 0;
    });
    m_isAskDue = true;
}

// --- requests of this node

double QuotaLimiter::arrivalRate(Account& account, Instant now) const
{
    account.arrivals *= std::exp(-toSeconds(now - account.arrivalsAt) / arrivalDecaySeconds);
    account.arrivalsAt = now;
    return account.arrivals / arrivalDecaySeconds;
}

uint16_t QuotaLimiter::stockNeeded(Account& account, Duration replyTime, Instant now) const
{
    Duration stockTime = std::min(m_options.stockTime, account.quota.lifetime / 3);
    stockTime = std::min(stockTime + replyTime, account.quota.lifetime);
    double target = std::floor(arrivalRate(account, now) * toSeconds(stockTime) + 0.25);
    return toCount(target - account.stock.available(now));
}

std::optional<size_t> QuotaLimiter::chooseHalf(const Account& account, Instant now)
{
    size_t slot = quotaSlotOf(account.quota.account);
    for (bool areSlowUsed : { false, true }) {
        std::array<double, quotaHalves> weights {};
        for (size_t half = 0; half < quotaHalves; ++half) {
            auto& owner = m_owners[holderOf(account, half, now)];
            if (now >= account.halves[half].blockedUntil && (areSlowUsed || !owner.isSlow))
                weights[half] = std::max(owner.issued[slot], minimumWeight);
        }
        double sum = weights[0] + weights[1];
        if (sum > 0)
            return m_random.unit() * sum < weights[0] ? 0 : 1;
    }
    return std::nullopt;
}

QuotaDecision QuotaLimiter::request(
    QuotaTicket ticket, std::string_view accountName, Instant now, QuotaActions& actions)
{
    auto it = m_accounts.find(quotaKey(accountName));
    if (it == m_accounts.end())
        return QuotaAdmitted {};
    auto& [key, account] = *it;
    arrivalRate(account, now);
    account.arrivals += 1;
    auto half = chooseHalf(account, now);
    TakenTokens taken = account.stock.takeOldest(1, now);
    if (taken.count) {
        uint16_t needed = stockNeeded(account, {}, now);
        if (half && needed && needed >= account.stock.available(now))
            ask(holderOf(account, *half, now), now, actions);
        return QuotaAdmitted { .token = { .account = key, .expiresAt = taken.expiresAt } };
    }
    if (!half) {
        ++account.refused;
        return QuotaRefused { .retryAfter = retryAfter(account, now) };
    }
    account.halves[*half].waiting.push_back({ .ticket = ticket, .since = now });
    ++m_waitingCount;
    size_t before = actions.size();
    ask(holderOf(account, *half, now), now, actions);
    m_nextTick = std::min(m_nextTick, now + m_options.resendInterval);
    // This node may be the owner itself.
    for (size_t n = before; n < actions.size(); ++n) {
        auto* decided = std::get_if<DecideQuota>(&actions[n]);
        if (!decided || decided->ticket != ticket)
            continue;
        QuotaDecision decision = std::visit([](auto& each) { return QuotaDecision(each); }, decided->decision);
        actions.erase(actions.begin() + static_cast<ptrdiff_t>(n));
        return decision;
    }
    return QuotaPending {};
}

void QuotaLimiter::cancel(QuotaTicket ticket)
{
    for (auto& [key, account] : m_accounts) {
        for (auto& half : account.halves)
            m_waitingCount -= std::erase_if(half.waiting, [&](auto& it) { return it.ticket == ticket; });
    }
}

void QuotaLimiter::giveBack(const QuotaToken& token, Instant now)
{
    auto it = m_accounts.find(token.account);
    if (it != m_accounts.end() && now < token.expiresAt)
        it->second.stock.add(1, token.expiresAt);
}

Duration QuotaLimiter::retryAfter(const Account& account, Instant now)
{
    Instant at = std::min(account.halves[0].retryAt, account.halves[1].retryAt);
    Duration wait = std::max(at - now, m_options.resendInterval);
    return wait + Duration(static_cast<int64_t>(m_random.unit() * retrySpread * static_cast<double>(wait.count())));
}

void QuotaLimiter::refuse(
    Account& account, const Waiting& waiting, bool isUnanswered, Instant now, QuotaActions& actions)
{
    QuotaRefused refused { .retryAfter = retryAfter(account, now), .isUnanswered = isUnanswered };
    actions.push_back(DecideQuota { .ticket = waiting.ticket, .decision = refused });
    --m_waitingCount;
}

void QuotaLimiter::admitWaiting(
    Account& account, uint32_t sequence, uint32_t count, Instant expiresAt, QuotaActions& actions)
{
    for (auto& half : account.halves) {
        std::erase_if(half.waiting, [&](auto& it) {
            if (!count || it.askedBy != sequence)
                return false;
            QuotaAdmitted admitted { .token = { .account = account.quota.account, .expiresAt = expiresAt } };
            actions.push_back(DecideQuota { .ticket = it.ticket, .decision = admitted });
            --m_waitingCount;
            --count;
            return true;
        });
    }
    // The requests that waited for these have turned to the other owner, or were cancelled.
    account.stock.add(count, expiresAt);
}

void QuotaLimiter::turnFromSilentHalf(Account& account, size_t half, uint32_t sequence, Instant now)
{
    size_t other = otherHalf(half);
    if (holderOf(account, other, now) == holderOf(account, half, now))
        return;
    std::erase_if(account.halves[half].waiting, [&](auto& it) {
        if (it.askedBy != sequence || it.refusedBy >> other & 1)
            return false;
        it.askedBy = 0;
        account.halves[other].waiting.push_back(it);
        return true;
    });
    m_isAskDue = true;
}

void QuotaLimiter::turnFromEmptyHalf(
    Account& account, size_t half, uint32_t sequence, Instant now, QuotaActions& actions)
{
    size_t other = otherHalf(half);
    bool isOtherEmpty
        = now < account.halves[other].blockedUntil || holderOf(account, other, now) == holderOf(account, half, now);
    std::erase_if(account.halves[half].waiting, [&](auto& it) {
        // Requests that no message has asked for yet would get the same reply.
        if (it.askedBy && it.askedBy != sequence)
            return false;
        it.refusedBy |= static_cast<uint8_t>(1u << half);
        if (isOtherEmpty || it.refusedBy >> other & 1)
            refuse(account, it, false, now, actions);
        else {
            it.askedBy = 0;
            account.halves[other].waiting.push_back(it);
        }
        return true;
    });
    m_isAskDue = true;
}

void QuotaLimiter::askForWaiting(Instant now, QuotaActions& actions)
{
    if (!std::exchange(m_isAskDue, false) || !m_waitingCount)
        return;
    for (size_t unit = 0; unit < quotaUnitCount; ++unit) {
        NodeId holder = holderOf(m_units[unit], now);
        if (isWaitingFor(holder, now))
            ask(holder, now, actions);
    }
}

// --- messages to owners

void QuotaLimiter::ask(NodeId id, Instant now, QuotaActions& actions)
{
    // Alone and before the other VMs are known this node issues nothing.
    if (id == m_options.self && !m_knownVms && m_members.size() == 1)
        return;
    Owner& owner = m_owners[id];
    bool mayWait = !owner.outstanding.empty() && !isWaitingFor(id, now);
    if (mayWait || owner.outstanding.size() >= m_options.maximumOutstanding)
        return;
    QuotaRequest request { .sequence = ++m_lastSequence,
        .sender = m_options.self,
        .owner = id,
        .knownVms = static_cast<uint32_t>(m_knownVms) };
    addLease(request, owner, now);
    addWants(request, now);
    owner.outstanding.push_back({ .request = request, .firstSentAt = now, .sentAt = now });
    owner.lastRequestAt = now;
    if (id == m_options.self)
        handle(m_own.handle(request, m_options.self, now), now, actions);
    else
        actions.push_back(SendQuota { .to = id, .message = std::move(request) });
}

void QuotaLimiter::addLease(QuotaRequest& request, const Owner& owner, Instant now)
{
    request.leasedUnits = 0;
    auto offset = owner.clock.lowerBound(now);
    if (!offset || !m_knownVms)
        return;
    for (size_t n = 0; n < quotaUnitCount; ++n) {
        Unit& unit = m_units[n];
        bool isFree = unit.leasedTo == request.owner || now >= unit.leasedUntil + m_options.leaseMargin;
        if (unit.owner != request.owner || !isFree)
            continue;
        unit.leasedTo = request.owner;
        unit.leasedUntil = now + leaseTime();
        request.leasedUnits |= QuotaUnitMask(1) << n;
    }
    request.leasedUntil = now.time_since_epoch() + *offset + leaseTime();
}

void QuotaLimiter::addWants(QuotaRequest& request, Instant now)
{
    for (size_t slot = 0; slot < quotaSlotCount; ++slot) {
        bool isHolder = holderOf(m_units[unitOf(slot, 0)], now) == request.owner
            || holderOf(m_units[unitOf(slot, 1)], now) == request.owner;
        if (!isHolder)
            continue;
        for (uint64_t key : m_bySlot[slot]) {
            if (request.wants.size() >= maximumQuotaItems)
                return;
            QuotaWant want = wantOf(m_accounts[key], request, now);
            if (!want.waiting && !want.expected)
                continue;
            m_accounts[key].refused = 0;
            request.wants.push_back(want);
        }
    }
}

QuotaWant QuotaLimiter::wantOf(Account& account, const QuotaRequest& request, Instant now)
{
    QuotaWant want { .account = account.quota.account, .refused = account.refused };
    bool isBlocked = false;
    for (size_t half = 0; half < quotaHalves; ++half) {
        if (holderOf(account, half, now) != request.owner)
            continue;
        for (auto& it : account.halves[half].waiting) {
            if (!it.askedBy) {
                it.askedBy = request.sequence;
                ++want.waiting;
            }
        }
        isBlocked |= now < account.halves[half].blockedUntil;
    }
    if (!isBlocked)
        want.expected = stockNeeded(account, m_owners[request.owner].replyTime, now);
    return want;
}

// --- messages received

void QuotaLimiter::receive(const QuotaMessage& message, Instant now, QuotaActions& actions)
{
    std::visit([&](auto& it) { handle(it, now, actions); }, message);
}

void QuotaLimiter::handle(const QuotaRequest& request, Instant now, QuotaActions& actions)
{
    // Another process may have had this address before.
    if (request.owner != m_options.self)
        return;
    actions.push_back(SendQuota { .to = request.sender, .message = m_own.handle(request, m_options.self, now) });
}

void QuotaLimiter::handle(const QuotaReply& reply, Instant now, QuotaActions& actions)
{
    auto it = m_owners.find(reply.sender);
    if (it == m_owners.end() || reply.receiver != m_options.self)
        return;
    Owner& owner = it->second;
    auto found
        = std::ranges::find_if(owner.outstanding, [&](auto& each) { return each.request.sequence == reply.sequence; });
    if (found == owner.outstanding.end())
        return;
    Outstanding outstanding = std::move(*found);
    owner.outstanding.erase(found);
    if (reply.sender != m_options.self)
        m_lastRepliedSentAt = std::max(m_lastRepliedSentAt, outstanding.firstSentAt);
    owner.replyTime = now - outstanding.firstSentAt;
    if (owner.replyTime < m_options.hedgeTime) {
        owner.avoidance /= 2;
        owner.isSlow = false;
    }
    for (size_t slot = 0; slot < quotaSlotCount; ++slot)
        owner.issued[slot] = reply.issuedPermille[slot] / 1000.0;
    Instant ownerTime { reply.clock };
    owner.clock.recordExchange(outstanding.firstSentAt, ownerTime, now);
    Instant repliedAt = owner.clock.toEarliestLocalTime(ownerTime, now).value_or(outstanding.firstSentAt);
    for (auto& share : reply.shares)
        applyShare(share, outstanding.request, repliedAt, now, actions);
    // Requests may have arrived since the last message.
    m_isAskDue = true;
    askForWaiting(now, actions);
}

void QuotaLimiter::applyShare(
    const QuotaShare& share, const QuotaRequest& request, Instant repliedAt, Instant now, QuotaActions& actions)
{
    auto asked = std::ranges::find(request.wants, share.account, &QuotaWant::account);
    auto it = m_accounts.find(share.account);
    if (asked == request.wants.end() || it == m_accounts.end())
        return;
    Account& account = it->second;
    auto expiry = [&](uint16_t ms) { return repliedAt + std::chrono::milliseconds(ms); };
    admitWaiting(account, request.sequence, share.granted, expiry(share.grantedLifetimeMs), actions);
    account.stock.add(share.stocked, expiry(share.stockedLifetimeMs));
    if (share.granted >= asked->waiting)
        return;
    auto isConcerned = [&](size_t half) {
        return holderOf(account, half, now) == request.owner
            || std::ranges::any_of(
                account.halves[half].waiting, [&](auto& each) { return each.askedBy == request.sequence; });
    };
    std::array<bool, quotaHalves> areConcerned { isConcerned(0), isConcerned(1) };
    Duration blockTime = std::min(m_options.maximumBlock, account.quota.lifetime / 4);
    for (size_t half = 0; half < quotaHalves; ++half) {
        if (!areConcerned[half])
            continue;
        account.halves[half].retryAt = now + std::chrono::milliseconds(share.retryAfterMs);
        account.halves[half].blockedUntil = std::min(account.halves[half].retryAt, now + blockTime);
    }
    for (size_t half = 0; half < quotaHalves; ++half) {
        if (areConcerned[half])
            turnFromEmptyHalf(account, half, request.sequence, now, actions);
    }
}

// --- time

void QuotaLimiter::turnFromOwner(const QuotaRequest& request, Instant now)
{
    for (auto& want : request.wants) {
        auto it = m_accounts.find(want.account);
        for (size_t half = 0; half < quotaHalves && it != m_accounts.end(); ++half)
            turnFromSilentHalf(it->second, half, request.sequence, now);
    }
}

void QuotaLimiter::replaceOwner(NodeId id, Instant now, QuotaActions& actions)
{
    Owner& owner = m_owners[id];
    owner.outstanding.clear();
    owner.avoidance = std::clamp(2 * owner.avoidance, m_options.initialAvoidance, m_options.maximumAvoidance);
    owner.avoidedUntil = now + owner.avoidance;
    chooseOwners(now);
    forgetLostMessages();
    actions.push_back(QuotaOwnerReplaced { .owner = id, .avoidance = owner.avoidance });
}

void QuotaLimiter::resendRequests(Instant now, QuotaActions& actions)
{
    std::vector<NodeId> silent;
    for (auto& [id, owner] : m_owners) {
        Duration interval = std::max(m_options.resendInterval, owner.replyTime + owner.replyTime / 2);
        for (auto& it : owner.outstanding) {
            bool isLate = now - it.firstSentAt >= m_options.hedgeTime && m_lastRepliedSentAt > it.firstSentAt;
            if (isLate && now - it.firstSentAt >= m_options.replyTimeout) {
                silent.push_back(id);
                break;
            }
            if (isLate && !std::exchange(it.isOverdue, true)) {
                owner.isSlow = true;
                turnFromOwner(it.request, now);
            }
            if (now - it.sentAt < interval)
                continue;
            it.sentAt = now;
            addLease(it.request, owner, now);
            actions.push_back(SendQuota { .to = id, .message = it.request });
        }
    }
    for (NodeId it : silent)
        replaceOwner(it, now, actions);
    askForWaiting(now, actions);
}

void QuotaLimiter::renewLeases(Instant now, QuotaActions& actions)
{
    for (auto& unit : m_units) {
        Owner& owner = m_owners[unit.owner];
        bool isHeld = unit.leasedTo == unit.owner;
        bool isFree = isHeld || now >= unit.leasedUntil + m_options.leaseMargin;
        // The first message only gets the owner's clock.
        bool isDue = !isHeld || now - owner.lastRequestAt >= leaseTime() / 2;
        if (!owner.clock.lowerBound(now) || (isDue && isFree))
            ask(unit.owner, now, actions);
        if (!isHeld && !isFree)
            m_nextTick = std::min(m_nextTick, unit.leasedUntil + m_options.leaseMargin);
    }
}

void QuotaLimiter::refuseOverdue(Instant now, QuotaActions& actions)
{
    if (!m_waitingCount)
        return;
    for (auto& entry : m_accounts) {
        Account& account = entry.second;
        for (auto& half : account.halves) {
            std::erase_if(half.waiting, [&](auto& it) {
                bool isOverdue = now - it.since >= m_options.maximumWait;
                if (isOverdue)
                    refuse(account, it, true, now, actions);
                return isOverdue;
            });
        }
    }
}

void QuotaLimiter::tick(Instant now, QuotaActions& actions)
{
    if (now < nextWake())
        return;
    if (now >= m_nextOwnerChoice)
        chooseOwners(now);
    m_nextTick = now + leaseTime() / 10;
    resendRequests(now, actions);
    renewLeases(now, actions);
    refuseOverdue(now, actions);
    bool isAwaiting
        = m_waitingCount || std::ranges::any_of(m_owners, [](auto& it) { return !it.second.outstanding.empty(); });
    if (isAwaiting)
        m_nextTick = std::min(m_nextTick, now + m_options.resendInterval / 2);
}

Instant QuotaLimiter::nextWake() const { return isActive() ? m_nextTick : Instant::max(); }

double QuotaLimiter::issuedShare(Instant now) const
{
    double sum = 0;
    for (size_t slot = 0; slot < quotaSlotCount; ++slot)
        sum += m_own.issuedShare(slot, now);
    return sum / quotaSlotCount;
}

} // namespace Berylport
