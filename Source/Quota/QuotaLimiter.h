// Decides for each request of a limited client account whether it may start. One for each node; owns no clock and no
// socket.
//
// A request needs a token of its account. The accounts are divided into slots, and each slot has two owners among the
// nodes, which issue half of the tokens each (QuotaOwner). A node asks one of them when a request arrives and it holds
// no token, and the other one if the first has none left or does not reply. It holds a small stock for accounts that it
// serves often. An owner that stays silent is replaced, by each node for itself; the shares that were leased to it stay
// unused until the leases end.
//
// See docs/design/quota.md for the ways that were weighed.
#pragma once

#include "Base/ClockOffset.h"
#include "Base/QuotaMessages.h"
#include "Base/Random.h"
#include "Quota/AccountQuota.h"
#include "Quota/QuotaOwner.h"
#include "Quota/TokenBuffer.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Berylport {

// Names a request that waits for its decision.
using QuotaTicket = uint64_t;

// The permission of one request. It can be given back if the request has not run.
struct QuotaToken {
    // Zero if the account has no limit.
    uint64_t account { 0 };
    Instant expiresAt;
};

struct QuotaAdmitted {
    QuotaToken token;
};
// Over the limit, or no owner replied in time.
struct QuotaRefused {
    Duration retryAfter {};
    bool isUnanswered { false };
};
// The decision comes as a DecideQuota action.
struct QuotaPending { };

using QuotaDecision = std::variant<QuotaAdmitted, QuotaRefused, QuotaPending>;

struct SendQuota {
    NodeId to;
    QuotaMessage message;
};

struct DecideQuota {
    QuotaTicket ticket { 0 };
    std::variant<QuotaAdmitted, QuotaRefused> decision;
};

// A member is silent and owns nothing for some time.
struct QuotaOwnerReplaced {
    NodeId owner;
    Duration avoidance {};
};

using QuotaAction = std::variant<SendQuota, DecideQuota, QuotaOwnerReplaced>;
using QuotaActions = std::vector<QuotaAction>;

class QuotaLimiter {
public:
    struct Options {
        NodeId self;
        uint64_t seed { 1 };
        // A request is repeated after this time without a reply, or after half as long again as the latest reply took,
        // as a datagram may be lost.
        Duration resendInterval { std::chrono::milliseconds(60) };
        // Without a reply for this long the requests that a message asks for turn to the other owner, if another node
        // has replied to a later message. Otherwise the link of this node is as likely to be the cause.
        Duration hedgeTime { std::chrono::milliseconds(120) };
        // The same until the owner is replaced. The next one holds few shares if the others still reach this one.
        Duration replyTimeout { std::chrono::seconds(2) };
        // Messages to one owner whose replies are awaited.
        size_t maximumOutstanding { 8 };
        // Requests that wait for longer are refused.
        Duration maximumWait { std::chrono::seconds(1) };
        // An owner that was replaced is not asked again for this long; doubles each time, and halves with each reply
        // that comes in time.
        Duration initialAvoidance { std::chrono::seconds(3) };
        Duration maximumAvoidance { std::chrono::minutes(1) };
        // The longer of the two; an owner of a large fleet has many leases to renew.
        Duration minimumLease { std::chrono::seconds(2) };
        Duration leasePerVm { std::chrono::milliseconds(10) };
        // A share is leased to another owner this long after its lease has ended.
        Duration leaseMargin { std::chrono::milliseconds(20) };
        // Tokens are stocked for the requests expected in this time, or in a third of their lifetime.
        Duration stockTime { std::chrono::milliseconds(500) };
        // After a refusal further requests are refused at once for this long at most, and for no longer than a quarter
        // of the tokens' lifetime, as tokens would expire unused.
        Duration maximumBlock { std::chrono::milliseconds(250) };
    };

    QuotaLimiter(const Options&, Instant now);

    // The accounts that have a limit.
    void setAccounts(std::span<const AccountQuota>, Instant now, QuotaActions&);
    // Nodes that may own slots, this one included, and the number of VMs that share each limit: all that may be
    // running, whether they can be reached or not. Zero while that is unknown; then nothing is issued.
    void setMembers(std::span<const NodeId>, size_t knownVms, Instant now, QuotaActions&);

    QuotaDecision request(QuotaTicket, std::string_view accountName, Instant now, QuotaActions&);
    // The request needs no decision any more.
    void cancel(QuotaTicket);
    // The request did not run and never will.
    void giveBack(const QuotaToken&, Instant now);

    void receive(const QuotaMessage&, Instant now, QuotaActions&);
    void tick(Instant now, QuotaActions&);
    // Time at which tick() is due; the largest instant while no account has a limit.
    Instant nextWake() const;

    // --- for metrics
    bool isActive() const { return !m_accounts.empty(); }
    size_t waitingCount() const { return m_waitingCount; }
    // Share of all limits that this node issues now, on average over the slots.
    double issuedShare(Instant now) const;

private:
    struct Waiting {
        QuotaTicket ticket { 0 };
        Instant since;
        // Message that asks for its token; zero if none does yet.
        uint32_t askedBy { 0 };
        // One bit for each half that had no token for it.
        uint8_t refusedBy { 0 };
    };
    // What is known of the tokens of an account at one of its owners.
    struct Half {
        std::deque<Waiting> waiting;
        Instant blockedUntil;
        // When there may be tokens for refused requests.
        Instant retryAt;
    };
    struct Account {
        AccountQuota quota;
        TokenBuffer stock;
        std::array<Half, quotaHalves> halves;
        // Requests that arrived, decaying.
        double arrivals { 0 };
        Instant arrivalsAt;
        uint16_t refused { 0 };
    };
    // Request to an owner whose reply is awaited.
    struct Outstanding {
        QuotaRequest request;
        Instant firstSentAt;
        Instant sentAt;
        bool isOverdue { false };
    };
    struct Owner {
        // Without a bound before the first reply.
        ClockOffset clock;
        // In the order of sending. Requests that arrive while a reply is slow do not wait for it.
        std::vector<Outstanding> outstanding;
        Instant lastRequestAt;
        // Of the latest reply.
        Duration replyTime {};
        // Its reply to a message is late, though others reply. The other half is asked first.
        bool isSlow { false };
        // Share of the limits that it issues, for each slot, by its latest reply.
        std::array<double, quotaSlotCount> issued;
        Instant avoidedUntil;
        Duration avoidance {};
    };
    // One half of this node's shares in one slot.
    struct Unit {
        NodeId owner;
        // The node to which it is leased, which may be a former owner, and until when.
        NodeId leasedTo;
        Instant leasedUntil;
    };

    void chooseOwners(Instant now);
    // The node that holds the lease, even if another one has become the owner; the owner if no lease runs.
    NodeId holderOf(const Unit&, Instant now) const;
    NodeId holderOf(const Account&, size_t half, Instant now) const;
    // Whether a request waits for a token of this holder that no message asks for.
    bool isWaitingFor(NodeId holder, Instant now) const;
    template <typename Function> void forEachWaiting(Function&&);
    // Has requests whose messages are not awaited any more be asked for again.
    void forgetLostMessages();
    // The half to be asked next, in proportion to what they issue; none if both have no tokens at present.
    std::optional<size_t> chooseHalf(const Account&, Instant now);
    void ask(NodeId, Instant now, QuotaActions&);
    void askForWaiting(Instant now, QuotaActions&);
    void addLease(QuotaRequest&, const Owner&, Instant now);
    void addWants(QuotaRequest&, Instant now);
    QuotaWant wantOf(Account&, const QuotaRequest&, Instant now);
    // Tokens for the requests that are expected until the reply and for some time after it.
    uint16_t stockNeeded(Account&, Duration replyTime, Instant now) const;
    void handle(const QuotaRequest&, Instant now, QuotaActions&);
    void handle(const QuotaReply&, Instant now, QuotaActions&);
    // The owner sent the reply at `repliedAt` or later, so the tokens expire here no later than there.
    void applyShare(const QuotaShare&, const QuotaRequest&, Instant repliedAt, Instant now, QuotaActions&);
    void admitWaiting(Account&, uint32_t sequence, uint32_t count, Instant expiresAt, QuotaActions&);
    // Has the requests that the message asked for wait for the other half, as there is no reply.
    void turnFromSilentHalf(Account&, size_t half, uint32_t sequence, Instant now);
    // The same, as there is no token for them; refuses those that the other half had none for.
    void turnFromEmptyHalf(Account&, size_t half, uint32_t sequence, Instant now, QuotaActions&);
    void refuse(Account&, const Waiting&, bool isUnanswered, Instant now, QuotaActions&);
    Duration retryAfter(const Account&, Instant now);
    void turnFromOwner(const QuotaRequest&, Instant now);
    void replaceOwner(NodeId, Instant now, QuotaActions&);
    void resendRequests(Instant now, QuotaActions&);
    void renewLeases(Instant now, QuotaActions&);
    void refuseOverdue(Instant now, QuotaActions&);
    double arrivalRate(Account&, Instant now) const;
    Duration leaseTime() const;

    Options m_options;
    Random m_random;
    QuotaOwner m_own;
    std::unordered_map<uint64_t, Account> m_accounts;
    // Accounts of each slot, so that a request to an owner looks at its own ones only.
    std::array<std::vector<uint64_t>, quotaSlotCount> m_bySlot;
    std::array<Unit, quotaUnitCount> m_units;
    // In ascending order.
    std::vector<NodeId> m_members;
    // When an owner that is avoided may be chosen again.
    Instant m_nextOwnerChoice;
    size_t m_knownVms { 0 };
    std::map<NodeId, Owner> m_owners;
    uint32_t m_lastSequence { 0 };
    // When the latest message was sent that another node has replied to.
    Instant m_lastRepliedSentAt;
    size_t m_waitingCount { 0 };
    // Requests may wait for owners that have not been asked for them.
    bool m_isAskDue { false };
    Instant m_nextTick;
};

} // namespace Berylport
