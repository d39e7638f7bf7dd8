// Issues tokens for accounts by the shares of their limits that nodes have leased to this one. Owns no clock and no
// socket.
//
// Each VM has the same share of every limit and leases each half of it, slot by slot, to one owner at a time. An owner
// issues tokens by the leases that it holds, so the sum over all owners never exceeds the limit, also while nodes
// disagree on who owns a slot or cannot reach each other. Leases end by the owner's clock: each names a time that the
// lender computes from the owner's own replies, so a delayed message prolongs none.
#pragma once

#include "Base/QuotaMessages.h"
#include "Base/Random.h"
#include "Quota/AccountQuota.h"
#include "Quota/TokenBuffer.h"

#include <array>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace Berylport {

class QuotaOwner {
public:
    QuotaOwner(uint64_t seed, Instant now)
        : m_random(seed)
        , m_startedAt(now)
        , m_advancedAt(now)
    {
    }

    // The accounts that have a limit. A lower limit takes its part of the tokens away at once.
    void setAccounts(std::span<const AccountQuota>, Instant now);
    // VMs that share each limit.
    void setKnownVms(size_t count) { m_ownKnownVms = count; }
    QuotaReply handle(const QuotaRequest&, NodeId self, Instant now);

    // --- for metrics
    // Share of the limit of the accounts in a slot that this node issues, from 0 to 1.
    double issuedShare(size_t slot, Instant now) const;

private:
    struct Pool {
        AccountQuota quota;
        TokenBuffer tokens;
        // Requests that got no token, decaying.
        double unmet { 0 };
        Instant unmetAt;
    };
    struct Lender {
        std::array<Instant, quotaUnitCount> leasedUntil {};
        uint32_t knownVms { 0 };
        Instant heardAt;
        // The latest ones. A repeated request gets the same reply, of the same time.
        std::deque<QuotaReply> replies;
    };

    // Issues the tokens since the last call.
    void advance(Instant now);
    void issueUntil(Instant now);
    static bool beginsLease(const Lender&, const QuotaRequest&, Instant now);
    void applyLease(Lender&, const QuotaRequest&, Instant now);
    void forgetSilentLenders(Instant now);
    QuotaShare share(const QuotaWant&, Instant now);

    Random m_random;
    Instant m_startedAt;
    Instant m_advancedAt;
    size_t m_ownKnownVms { 0 };
    // The largest number that this node or a lender knows.
    size_t m_knownVms { 1 };
    std::unordered_map<uint64_t, Pool> m_pools;
    std::map<NodeId, Lender> m_lenders;
    Instant m_nextCleanup;
};

} // namespace Berylport
