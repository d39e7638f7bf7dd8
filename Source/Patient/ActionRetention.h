// Removes ended actions of one partition, with their objects, after the retention time.
#pragma once

#include "Patient/ActionRecord.h"
#include "Store/Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Berylport {

struct ActionRetentionOptions {
    uint32_t partition { 0 };
    uint64_t fencingToken { 0 };
    NodeId node {};
    // Random number drawn for each instance; keeps its request tokens apart.
    uint64_t instance { 0 };
    Duration retention { std::chrono::hours(7 * 24) };
    // One page of rows at a time. At 16 partitions that is 1.6 reads a second for the fleet.
    Duration pageEvery { std::chrono::seconds(10) };
    // Rows of a page, all removed in one transaction.
    uint32_t pageRows { 50 };
};

// Wall clocks are compared here, between days, so their differences don't matter.
class ActionRetention {
public:
    ActionRetention(TableClient&, ObjectClient&, WriteBudget&, std::function<bool(Instant)> holds,
        std::function<int64_t()> unixMilliseconds, ActionRetentionOptions);
    void tick(Instant now);
    std::optional<Instant> nextWake() const;

private:
    struct Page;
    void readPage();
    void notePage(Instant now, ScanPage);
    void removeObjects(const std::shared_ptr<Page>&);
    void removeRows(Instant now, const std::shared_ptr<Page>&);
    void finishPage(Instant now);

    TableClient& m_table;
    ObjectClient& m_objects;
    WriteBudget& m_budget;
    std::function<bool(Instant)> m_holds;
    std::function<int64_t()> m_unixMilliseconds;
    ActionRetentionOptions m_options;
    std::string m_after;
    Instant m_nextPage {};
    bool m_isBusy { false };
    uint64_t m_requests { 0 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport
