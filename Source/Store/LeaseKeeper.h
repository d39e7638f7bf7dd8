// Keeps one lease with a fencing token. Pure: it says what to read and write and is told the results.
#pragma once

#include "Store/LeaseRecord.h"
#include "Store/TableClient.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Berylport {

struct LeaseOptions {
    std::string name {};
    NodeId holder {};
    // Random number drawn for each keeper. Without it the request tokens of a keeper that a restarted task creates
    // would be those of its predecessor, and it would get the predecessor's results.
    uint64_t instance { 0 };
    Duration duration { std::chrono::seconds(10) };
    Duration renewEvery { std::chrono::seconds(3) };
    // The holder stops this much earlier than the others may take over, against clocks of different rates (5 % here)
    // and for the way of what it has just sent.
    Duration safetyMargin { std::chrono::milliseconds(500) };
    // How often others read the row.
    Duration pollEvery { std::chrono::seconds(5) };
    // Pause after a failed read or write.
    Duration retryPause { std::chrono::milliseconds(500) };
};

struct ReadLease {
    std::string key;
};
struct WriteLease {
    Transaction transaction;
};
using LeaseAction = std::variant<ReadLease, WriteLease>;

enum class LeaseWriteKind : uint8_t {
    Acquire,
    Renew,
    Release,
};
// A write whose result is not known yet.
struct LeaseWriteState {
    LeaseWriteKind kind { LeaseWriteKind::Acquire };
    Transaction transaction;
    Instant firstSentAt;
    uint64_t fencingToken { 0 };
    // Unset while a sending is outstanding.
    std::optional<Instant> sendAt;
    bool mayHaveApplied { false };
};
// The lease row as last read.
struct LeaseObservation {
    uint64_t version { 0 };
    std::optional<LeaseRecord> record;
    // When this version was first known here.
    Instant since;
};

// Time is only compared with this node's own clock. The holder counts its validity from before the request was sent;
// the others count the same duration from after they received the row version that is still there at the end.
class LeaseKeeper {
public:
    explicit LeaseKeeper(LeaseOptions);

    // Tries to get and keep the lease from now on.
    void acquire(Instant now);
    // Stops holding at once and frees the lease for others.
    void release(Instant now);
    // Stops trying without a write, as when the node no longer is a candidate. Has no effect on a held lease.
    void standDown();

    void tick(Instant now, std::vector<LeaseAction>&);
    // Results of the last ReadLease and WriteLease. A write's result is named by its request token.
    void readFinished(Instant now, const StoreResult<TableRow>&);
    void writeFinished(Instant now, std::string_view requestToken, const StoreResult<TransactionResult>&);
    // Time of the next `tick`. After `readFinished` and `writeFinished` it may be earlier than before.
    std::optional<Instant> nextWake() const;

    // Ask before each act under the lease, with the time of the act: a paused holder learns of the loss only here.
    bool holds(Instant now) const { return m_isHolding && now < m_validUntil; }
    // The same for work that was begun under a certain fencing token.
    bool holds(Instant now, uint64_t fencingToken) const { return holds(now) && m_fencingToken == fencingToken; }
    // Meaningful only while the lease is held.
    uint64_t fencingToken() const { return m_fencingToken; }
    const LeaseOptions& options() const { return m_options; }

private:
    void loseWhenLapsed(Instant now);
    void lose(Instant now);
    void noteWritten(Instant now, const LeaseWriteState&, const TransactionResult&);
    bool mayTake(Instant now) const;
    Instant takeoverTime() const;
    void startWrite(Instant now, LeaseWriteKind);
    std::string nextRequestToken();

    LeaseOptions m_options;
    bool m_isWanted { false };
    bool m_mustRelease { false };
    bool m_isHolding { false };
    uint64_t m_fencingToken { 0 };
    // Version of the lease row that this node wrote last.
    uint64_t m_leaseVersion { 0 };
    Instant m_validUntil {};
    Instant m_nextRenewal {};

    std::optional<LeaseWriteState> m_write;
    std::optional<LeaseObservation> m_observation;
    // The observation is from a read after the last change of plans.
    bool m_isFresh { false };
    bool m_isReading { false };
    Instant m_nextRead {};
    uint64_t m_requests { 0 };
};

} // namespace Berylport
