// Rows, conditions and request tokens.
#include "StandIns/Table/TableState.h"

#include "Base/Overloaded.h"

#include <algorithm>
#include <set>

namespace Berylport {

namespace {

constexpr size_t maxTokenBytes = 256;

StoreError malformed(std::string text) { return { .code = StoreErrorCode::Malformed, .text = std::move(text) }; }

bool isKey(const std::string& key) { return !key.empty() && key.size() <= maxKeyBytes; }

// The first rule that the transaction breaks.
std::optional<std::string> findFault(const Transaction& transaction)
{
    if (transaction.token.empty() || transaction.token.size() > maxTokenBytes)
        return "request token of an invalid length";
    std::set<std::string> changed;
    std::set<std::string> named;
    for (auto& it : transaction.checks) {
        if (!isKey(it.key))
            return "key of an invalid length";
        named.insert(it.key);
    }
    for (auto& it : transaction.puts) {
        if (!isKey(it.key) || it.value.size() > maxValueBytes)
            return "key or value of an invalid length";
        if (!changed.insert(it.key).second)
            return "row changed twice";
    }
    for (auto& it : transaction.deletes) {
        if (!isKey(it))
            return "key of an invalid length";
        if (!changed.insert(it).second)
            return "row changed twice";
    }
    named.insert(changed.begin(), changed.end());
    if (named.size() > maxTransactionRows)
        return "too many rows";
    return std::nullopt;
}

} // namespace

StoreResult<TableRow> TableState::get(const std::string& key) const
{
    auto it = m_rows.find(key);
    if (it == m_rows.end())
        return StoreError { .code = StoreErrorCode::NotFound };
    return TableRow { .key = key, .value = it->second.value, .version = it->second.version };
}

StoreResult<ScanPage> TableState::scan(const std::string& prefix, uint32_t limit, const std::string& after) const
{
    if (!limit || limit > maxScanRows)
        return malformed("scan limit out of range");
    ScanPage page;
    for (auto it = after > prefix ? m_rows.upper_bound(after) : m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        if (it->first == after)
            continue;
        if (page.rows.size() == limit) {
            page.hasMore = true;
            break;
        }
        page.rows.push_back({ .key = it->first, .value = it->second.value, .version = it->second.version });
    }
    return page;
}

uint64_t TableState::versionOf(const std::string& key) const
{
    auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

std::optional<StoreError> TableState::findFailedCheck(const Transaction& transaction) const
{
    for (auto& check : transaction.checks) {
        auto found = versionOf(check.key);
        bool holds = std::visit(Overloaded {
                                    [](const AnyVersion&) { return true; },
                                    [&](const RowAbsent&) { return !found; },
                                    [&](const RowVersionEquals& it) { return found && found == it.version; },
                                },
            check.requirement);
        if (!holds)
            return StoreError { .code = StoreErrorCode::Conflict, .key = check.key, .versionFound = found };
    }
    return std::nullopt;
}

TransactionResult TableState::apply(const Transaction& transaction)
{
    TransactionResult result;
    for (auto& put : transaction.puts) {
        auto& row = m_rows[put.key];
        row.value = put.value;
        result.versions.push_back(++row.version);
    }
    for (auto& it : transaction.deletes)
        m_rows.erase(it);
    return result;
}

void TableState::forgetOldTokens(Instant now)
{
    while (!m_tokenTimes.empty() && now - m_tokenTimes.front().first > m_tokenRetention) {
        m_tokens.erase(m_tokenTimes.front().second);
        m_tokenTimes.pop_front();
    }
}

StoreResult<TransactionResult> TableState::transact(
    Instant now, const Transaction& transaction, StoreCounters& counters)
{
    if (auto fault = findFault(transaction)) {
        ++counters.malformed;
        return malformed(*fault);
    }
    forgetOldTokens(now);
    if (auto it = m_tokens.find(transaction.token); it != m_tokens.end()) {
        ++counters.repeatedTokens;
        if (it->second.transaction == transaction)
            return it->second.result;
        ++counters.malformed;
        return malformed("request token was used by another transaction");
    }
    auto conflict = findFailedCheck(transaction);
    counters.conflicts += conflict.has_value();
    if (!conflict)
        counters.rowsWritten += transaction.puts.size() + transaction.deletes.size();
    StoreResult<TransactionResult> result = TransactionResult {};
    if (conflict)
        result = *conflict;
    else
        result = apply(transaction);
    m_tokens.emplace(transaction.token, TokenEntry { .transaction = transaction, .result = result });
    m_tokenTimes.emplace_back(now, transaction.token);
    return result;
}

} // namespace Berylport
