// Guards against a table stand-in whose conditions, versions or request tokens differ from the service's contract.
#include "StandIns/Table/TableState.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Berylport;

namespace {

const Instant start {};

Transaction put(std::string token, std::string key, std::string value)
{
    return { .token = std::move(token), .checks = {}, .puts = { { std::move(key), std::move(value) } }, .deletes = {} };
}

} // namespace

TEST(TableState, VersionsStartAtOneAndGrow)
{
    TableState table;
    StoreCounters counters;
    EXPECT_EQ(table.get("a").error().code, StoreErrorCode::NotFound);
    EXPECT_EQ(table.transact(start, put("1", "a", "x"), counters).value().versions, std::vector<uint64_t> { 1 });
    EXPECT_EQ(table.transact(start, put("2", "a", "y"), counters).value().versions, std::vector<uint64_t> { 2 });
    EXPECT_EQ(table.get("a").value(), (TableRow { .key = "a", .value = "y", .version = 2 }));
}

TEST(TableState, ConflictNamesTheRowAndVersionFoundAndChangesNothing)
{
    TableState table;
    StoreCounters counters;
    ASSERT_TRUE(table.transact(start, put("1", "a", "x"), counters));
    Transaction second { .token = "2",
        .checks = { { "b", RowAbsent {} }, { "a", RowVersionEquals { 7 } } },
        .puts = { { "b", "z" } },
        .deletes = { "a" } };
    auto result = table.transact(start, second, counters);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().code, StoreErrorCode::Conflict);
    EXPECT_EQ(result.error().key, "a");
    EXPECT_EQ(result.error().versionFound, 1u);
    EXPECT_EQ(table.get("b").error().code, StoreErrorCode::NotFound);
    EXPECT_TRUE(table.get("a"));
}

TEST(TableState, VersionConditionFailsOnAnAbsentRow)
{
    TableState table;
    StoreCounters counters;
    Transaction transaction { .token = "1", .checks = { { "a", RowVersionEquals { 0 } } }, .puts = {}, .deletes = {} };
    EXPECT_EQ(table.transact(start, transaction, counters).error().code, StoreErrorCode::Conflict);
}

TEST(TableState, RepeatedTokenGetsTheFirstResultForTenMinutes)
{
    TableState table;
    StoreCounters counters;
    auto first = put("1", "a", "x");
    ASSERT_TRUE(table.transact(start, first, counters));
    ASSERT_TRUE(table.transact(start, put("2", "a", "y"), counters));
    auto again = table.transact(start + std::chrono::minutes(10), first, counters);
    EXPECT_EQ(again.value().versions, std::vector<uint64_t> { 1 });
    EXPECT_EQ(table.get("a").value().value, "y");
}

TEST(TableState, RepeatedTokenGetsTheFirstConflict)
{
    // Otherwise a transaction that was reported as failed could take effect later.
    TableState table;
    StoreCounters counters;
    ASSERT_TRUE(table.transact(start, put("1", "a", "x"), counters));
    Transaction create { .token = "2", .checks = { { "a", RowAbsent {} } }, .puts = { { "a", "z" } }, .deletes = {} };
    EXPECT_FALSE(table.transact(start, create, counters));
    Transaction erase { .token = "3", .checks = {}, .puts = {}, .deletes = { "a" } };
    ASSERT_TRUE(table.transact(start, erase, counters));
    EXPECT_EQ(table.transact(start, create, counters).error().code, StoreErrorCode::Conflict);
    EXPECT_FALSE(table.get("a"));
}

TEST(TableState, UsedTokenWithAnotherTransactionIsRejected)
{
    TableState table;
    StoreCounters counters;
    ASSERT_TRUE(table.transact(start, put("1", "a", "x"), counters));
    EXPECT_EQ(table.transact(start, put("1", "a", "y"), counters).error().code, StoreErrorCode::Malformed);
    EXPECT_EQ(table.get("a").value().value, "x");
}

TEST(TableState, OldTokensAreForgotten)
{
    // Guards against a stand-in that grows without bound.
    TableState table;
    StoreCounters counters;
    ASSERT_TRUE(table.transact(start, put("1", "a", "x"), counters));
    ASSERT_TRUE(table.transact(start + std::chrono::hours(1), put("2", "a", "x"), counters));
    EXPECT_EQ(table.tokenCount(), 1u);
}

TEST(TableState, LimitsAreEnforced)
{
    TableState table;
    StoreCounters counters;
    Transaction large { .token = "1", .checks = {}, .puts = {}, .deletes = {} };
    for (size_t n = 0; n <= maxTransactionRows; ++n)
        large.puts.push_back({ std::to_string(n), "" });
    EXPECT_EQ(table.transact(start, large, counters).error().code, StoreErrorCode::Malformed);
    auto twice = put("2", "a", "x");
    twice.deletes.push_back("a");
    EXPECT_EQ(table.transact(start, twice, counters).error().code, StoreErrorCode::Malformed);
    EXPECT_EQ(table.transact(start, put("", "a", "x"), counters).error().code, StoreErrorCode::Malformed);
    EXPECT_EQ(table.scan("", 0, "").error().code, StoreErrorCode::Malformed);
}

RC_GTEST_PROP(TableState, ScanPagesReturnEveryRowOfThePrefixOnce, (std::set<uint8_t> names, uint8_t limitSeed))
{
    TableState table;
    StoreCounters counters;
    std::vector<std::string> expected;
    for (auto name : names) {
        auto key = "p/" + std::to_string(name);
        ASSERT_TRUE(table.transact(start, put(key, key, "v"), counters));
        ASSERT_TRUE(table.transact(start, put("q" + key, "q" + key, "v"), counters));
        expected.push_back(key);
    }
    std::ranges::sort(expected);
    uint32_t limit = 1 + limitSeed % 5;
    std::vector<std::string> found;
    std::string after;
    for (bool hasMore = true; hasMore;) {
        auto page = table.scan("p/", limit, after).value();
        hasMore = page.hasMore;
        for (auto& row : page.rows)
            found.push_back(after = row.key);
    }
    RC_ASSERT(found == expected);
}

namespace {

// Naive model: the whole map is copied, and a history of all transactions replaces the token table.
class NaiveTable {
public:
    StoreResult<TransactionResult> transact(const Transaction& transaction)
    {
        for (auto& [past, result] : m_history) {
            if (past.token != transaction.token)
                continue;
            if (past == transaction)
                return result;
            return StoreError { .code = StoreErrorCode::Malformed };
        }
        auto result = evaluate(transaction);
        m_history.emplace_back(transaction, result);
        return result;
    }
    std::map<std::string, std::pair<std::string, uint64_t>> rows;

private:
    StoreResult<TransactionResult> evaluate(const Transaction& transaction)
    {
        for (auto& check : transaction.checks) {
            uint64_t version = rows.count(check.key) ? rows.at(check.key).second : 0;
            bool isAbsentFailure = std::holds_alternative<RowAbsent>(check.requirement) && version;
            auto* equals = std::get_if<RowVersionEquals>(&check.requirement);
            if (isAbsentFailure || (equals && (equals->version != version || !version)))
                return StoreError { .code = StoreErrorCode::Conflict, .key = check.key, .versionFound = version };
        }
        auto copy = rows;
        TransactionResult result;
        for (auto& put : transaction.puts) {
            uint64_t version = copy.count(put.key) ? copy[put.key].second + 1 : 1;
            copy[put.key] = { put.value, version };
            result.versions.push_back(version);
        }
        for (auto& key : transaction.deletes)
            copy.erase(key);
        rows = copy;
        return result;
    }

    std::vector<std::pair<Transaction, StoreResult<TransactionResult>>> m_history;
};

rc::Gen<Transaction> randomTransaction()
{
    return rc::gen::exec([] {
        // Few keys, versions and tokens, so that writers race and tokens repeat.
        auto key = [] { return std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))); };
        Transaction transaction {
            .token = std::to_string(*rc::gen::inRange(0, 40)), .checks = {}, .puts = {}, .deletes = {}
        };
        auto checks = *rc::gen::inRange(0, 3);
        for (int n = 0; n < checks; ++n) {
            TableCheck check { .key = key(), .requirement = AnyVersion {} };
            auto kind = *rc::gen::inRange(0, 3);
            if (kind == 1)
                check.requirement = RowAbsent {};
            else if (kind == 2)
                check.requirement = RowVersionEquals { *rc::gen::inRange<uint64_t>(0, 4) };
            transaction.checks.push_back(check);
        }
        std::set<std::string> changed;
        auto changes = *rc::gen::inRange(0, 3);
        for (int n = 0; n < changes; ++n) {
            auto name = key();
            if (!changed.insert(name).second)
                continue;
            if (*rc::gen::inRange(0, 3))
                transaction.puts.push_back({ name, std::to_string(*rc::gen::inRange(0, 100)) });
            else
                transaction.deletes.push_back(name);
        }
        return transaction;
    });
}

} // namespace

RC_GTEST_PROP(TableState, RacingWritersSeeTheSameAsInTheNaiveModel, ())
{
    TableState table;
    NaiveTable naive;
    StoreCounters counters;
    auto transactions = *rc::gen::container<std::vector<Transaction>>(randomTransaction());
    std::vector<Transaction> sent;
    for (auto& it : transactions) {
        auto transaction = it;
        // A writer that lost its confirmation repeats an earlier transaction.
        if (!sent.empty() && *rc::gen::inRange(0, 4) == 0)
            transaction = sent[*rc::gen::inRange<size_t>(0, sent.size())];
        sent.push_back(transaction);
        auto found = table.transact(start, transaction, counters);
        auto expected = naive.transact(transaction);
        RC_ASSERT(found.has_value() == expected.has_value());
        if (expected) {
            RC_ASSERT(found.value() == expected.value());
        } else {
            RC_ASSERT(found.error().code == expected.error().code);
            RC_ASSERT(found.error().key == expected.error().key);
            RC_ASSERT(found.error().versionFound == expected.error().versionFound);
        }
        RC_ASSERT(table.rowCount() == naive.rows.size());
        for (auto& [key, row] : naive.rows)
            RC_ASSERT(table.get(key).value() == (TableRow { key, row.first, row.second }));
    }
}
