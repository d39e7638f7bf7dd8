// State machine for the registration of a node in the shared store: decides when to write the row of this node and when
// to read the rows of the others. Does no I/O itself.
//
// Every node reads all rows once after its own address has become durable. Of any two nodes the one that reads later
// finds the row of the other, so two nodes always discover each other, whatever the order of their starts.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"
#include "Node/NodeRow.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Berylport {

// Read the rows of all nodes.
struct ReadRows { };

// Read only the row of this node.
struct ReadOwnRow { };

struct WriteRow {
    NodeRow row;
    // Version that the row must have in the store; zero if it must not exist. Prevents a delayed write from replacing a
    // newer row.
    uint64_t expectedVersion { 0 };
};

using RowAction = std::variant<ReadRows, ReadOwnRow, WriteRow>;

struct StoredRow {
    std::string key;
    NodeRow row;
    uint64_t version { 0 };
};

struct RowsRead {
    std::vector<Endpoint> peers;
    // Departure recorded by an earlier process on this VM.
    std::optional<TargetIncarnation> departed;
    // Requests to be refused, in the rows of the other nodes and in that of this one.
    std::vector<RequestFingerprint> refused {};
    std::vector<RequestFingerprint> ownRefused {};
};

enum class WriteFailure : uint8_t {
    // The row in the store has another version.
    Conflict,
    // The write may have been executed, or may still be executed later.
    Unknown,
};

class NodeRegistrar {
public:
    struct Options {
        Duration firstRetry { std::chrono::milliseconds(500) };
        Duration maximumRetry { std::chrono::seconds(4) };
        // The first write of a new VM is delayed by a random time up to this limit, as the rows of all nodes are in the
        // same store partition and a whole fleet may start at once.
        Duration firstWriteSpread { std::chrono::seconds(1) };
        // After the store was restored the row is read again with a random delay up to this limit, as all nodes do so.
        Duration restoredReadSpread { std::chrono::seconds(4) };
        // There is no row of this VM yet, so it is written without a read. If it exists after all, the write fails with
        // a conflict.
        bool isFirstStart { false };
        uint64_t seed { 1 };
    };

    NodeRegistrar(const Options&, std::string key, NodeRow self);

    void tick(Instant now, std::vector<RowAction>&);
    // Results of reads and writes, with the era of the store in which they were carried out. All rows, or only the one
    // of this node. Returns nothing if the store has been restored since.
    std::optional<RowsRead> rowsRead(std::span<const StoredRow>, uint64_t era, Instant now);
    void readFailed(Instant now);
    void written(uint64_t version, uint64_t era, Instant now);
    void writeFailed(WriteFailure, Instant now);
    // The store has answered another call, so a departure that is not stored yet is written without a further delay.
    void storeAnswered(Instant now);
    // The store has told its era in any response. After a new one the row is read again, as it may have been lost.
    void eraSeen(uint64_t era, Instant now);

    // Updates the row of this node; written at the next tick, without waiting for a retry delay.
    void setDeparted(const TargetIncarnation&, Instant now);
    // The same for the requests that this node found to end targets.
    void setRefused(std::vector<RequestFingerprint>, Instant now);
    // The stored row has the present address and departure of this node.
    bool isDurable() const;
    // The rows were read after the address of this node had become durable.
    bool isPeerListComplete() const { return m_isPeerListComplete; }

private:
    // The store was restored while the call that returned this era was in flight.
    bool isStale(uint64_t era) const { return era < m_era && m_eraAtCall < m_era; }
    void retryLater(Instant now);

    Options m_options;
    Random m_random;
    std::string m_key;
    NodeRow m_row;
    // Latest era of the store; zero while it has not told any.
    uint64_t m_era { 0 };
    // The same when the call in flight was made.
    uint64_t m_eraAtCall { 0 };
    // Row in the store; valid only while its version is known.
    std::optional<NodeRow> m_stored;
    // Zero if there is no row. Unknown before the first read and after a failed write.
    std::optional<uint64_t> m_storedVersion;
    // Row of the write in progress.
    std::optional<NodeRow> m_pendingWrite;
    bool m_isReading { false };
    bool m_isPeerListComplete { false };
    bool m_isFirstWriteDelayed { false };
    uint32_t m_failures { 0 };
    Instant m_nextAttempt;
};

} // namespace Berylport
