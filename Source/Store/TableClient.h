// The platform's transactional table service: rows with versions, conditional transactions with client request tokens.
#pragma once

#include "Store/StoreError.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Berylport {

// The version is 1 for a new row and grows by 1 with each put. A deleted row that is put again starts at 1, so a
// protocol that relies on growing versions must not delete its rows.
struct TableRow {
    std::string key;
    std::string value;
    uint64_t version { 0 };
    bool operator==(const TableRow&) const = default;
};

struct ScanPage {
    // In ascending order of keys.
    std::vector<TableRow> rows;
    bool hasMore { false };
    bool operator==(const ScanPage&) const = default;
};

struct AnyVersion {
    bool operator==(const AnyVersion&) const = default;
};
struct RowAbsent {
    bool operator==(const RowAbsent&) const = default;
};
struct RowVersionEquals {
    uint64_t version { 0 };
    bool operator==(const RowVersionEquals&) const = default;
};

struct TableCheck {
    std::string key;
    std::variant<AnyVersion, RowAbsent, RowVersionEquals> requirement;
    bool operator==(const TableCheck&) const = default;
};

struct TablePut {
    std::string key;
    std::string value;
    bool operator==(const TablePut&) const = default;
};

// All checks must hold, then all puts and deletes take effect together; otherwise nothing does.
struct Transaction {
    // Client request token. For at least 10 minutes a repeated transaction gets the result of the first one, a
    // conflict included, and changes nothing. Another transaction with a used token is rejected as malformed.
    std::string token;
    std::vector<TableCheck> checks;
    std::vector<TablePut> puts;
    std::vector<std::string> deletes;
    bool operator==(const Transaction&) const = default;
};

struct TransactionResult {
    // New version of each put row, in the order of the puts.
    std::vector<uint64_t> versions;
    bool operator==(const TransactionResult&) const = default;
};

// Limits of the service. A transaction may name this many rows in all.
constexpr size_t maxTransactionRows = 100;
constexpr size_t maxKeyBytes = 1024;
constexpr size_t maxValueBytes = 400 * 1024;
constexpr uint32_t maxScanRows = 1000;

class TableClient {
public:
    virtual ~TableClient() = default;
    virtual void get(std::string key, Completion<TableRow>) = 0;
    // Rows whose key starts with the prefix and is greater than `after`, at most `limit`.
    virtual void scan(std::string prefix, uint32_t limit, std::string after, Completion<ScanPage>) = 0;
    // Sends the transaction once. See WriteResolver for repeating it.
    virtual void transact(Transaction, Completion<TransactionResult>) = 0;
};

} // namespace Berylport
