// Decides when a node writes its row in the shared store and when it reads the others' rows. Owns no socket.
//
// Every node reads all rows once after its own address has become durable. Of any two nodes the one that reads later
// finds the other's row, so no two nodes can miss each other for good, in whatever order they start.
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

struct ReadRows { };

struct WriteRow {
    NodeRow row;
    // Version that the row must have in the store; zero when it must not exist. A write that is carried out late cannot
    // replace a newer row.
    uint64_t expectedVersion { 0 };
};

using RowAction = std::variant<ReadRows, WriteRow>;

struct StoredRow {
    std::string key;
    NodeRow row;
    uint64_t version { 0 };
};

struct RowsRead {
    std::vector<Endpoint> others;
    // Found in the row of an earlier process of this VM.
    std::optional<TargetIncarnation> departed;
};

enum class WriteFailure : uint8_t {
    // The row in the store has another version.
    Conflict,
    // The write may have been carried out, or may be later.
    Unknown,
};

class RowKeeper {
public:
    struct Options {
        Duration firstRetry { std::chrono::milliseconds(500) };
        Duration maximumRetry { std::chrono::seconds(4) };
        // The first write of a new VM comes within this time, as the rows of a fleet that starts share one part of the
        // store.
        Duration firstWriteSpread { std::chrono::seconds(1) };
        // There is no row of this VM: it is written without a look before. A row that is there after all is a conflict.
        bool isFirstStart { false };
        uint64_t seed { 1 };
    };

    RowKeeper(const Options&, std::string key, NodeRow self);

    void tick(Instant now, std::vector<RowAction>&);
    RowsRead rowsRead(std::span<const StoredRow>, Instant now);
    void readFailed(Instant now);
    void written(uint64_t version);
    void writeFailed(WriteFailure, Instant now);

    // Written at once.
    void setDeparted(const TargetIncarnation&, Instant now);
    // The row in the store says what this node says, the departure included.
    bool isDurable() const;
    // The others' rows were read after the own address was durable.
    bool areOthersKnown() const { return m_areOthersKnown; }

private:
    void retryLater(Instant now);

    Options m_options;
    Random m_random;
    std::string m_key;
    NodeRow m_row;
    // What the store holds under the key; meaningful while the version is known.
    std::optional<NodeRow> m_stored;
    // Zero: there is no row. Unknown before the first read and after a write without an answer.
    std::optional<uint64_t> m_storedVersion;
    // In the call under way.
    std::optional<NodeRow> m_writing;
    bool m_isReading { false };
    bool m_areOthersKnown { false };
    bool m_isFirstWriteDelayed { false };
    uint32_t m_failures { 0 };
    Instant m_next;
};

} // namespace Berylport
