// Semantics of the table service, without network or clock. Shared by the stand-in and by the tests' fake.
#pragma once

#include "StandIns/Common/FaultInjector.h"
#include "Store/TableClient.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Berylport {

class TableState {
public:
    // Request tokens are kept for 10 minutes at least; the rest is a margin.
    explicit TableState(Duration tokenRetention = std::chrono::minutes(15))
        : m_tokenRetention(tokenRetention)
    {
    }
    StoreResult<TableRow> get(const std::string& key) const;
    StoreResult<ScanPage> scan(const std::string& prefix, uint32_t limit, const std::string& after) const;
    StoreResult<TransactionResult> transact(Instant now, const Transaction&, StoreCounters&);
    size_t rowCount() const { return m_rows.size(); }
    size_t tokenCount() const { return m_tokens.size(); }

private:
    struct Row {
        std::string value;
        uint64_t version { 0 };
    };
    struct TokenEntry {
        Transaction transaction;
        StoreResult<TransactionResult> result;
    };

    uint64_t versionOf(const std::string& key) const;
    std::optional<StoreError> findFailedCheck(const Transaction&) const;
    TransactionResult apply(const Transaction&);
    void forgetOldTokens(Instant now);

    Duration m_tokenRetention;
    std::map<std::string, Row> m_rows;
    std::unordered_map<std::string, TokenEntry> m_tokens;
    // In the order of their first use.
    std::deque<std::pair<Instant, std::string>> m_tokenTimes;
};

} // namespace Berylport
