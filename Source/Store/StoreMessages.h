// JSON bodies of requests to the stores and of their answers, as plain types. Shared with the stand-ins.
#pragma once

#include "Store/ObjectClient.h"
#include "Store/TableClient.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

namespace StorePath {
constexpr const char* tableGet = "/table/get";
constexpr const char* tableScan = "/table/scan";
constexpr const char* tableTransact = "/table/transact";
constexpr const char* objectPut = "/objects/put";
constexpr const char* objectGet = "/objects/get";
constexpr const char* objectRemove = "/objects/remove";
} // namespace StorePath

struct ScanRequest {
    std::string prefix;
    uint32_t limit { 0 };
    std::string after;
};

struct ObjectPutRequest {
    std::string name;
    std::string bytes;
};

std::string encodeKey(std::string_view key);
std::optional<std::string> decodeKey(std::string_view);
std::string encodeScan(const ScanRequest&);
std::optional<ScanRequest> decodeScan(std::string_view);
std::string encodeTransaction(const Transaction&);
std::optional<Transaction> decodeTransaction(std::string_view);
std::string encodeObjectPut(const ObjectPutRequest&);
std::optional<ObjectPutRequest> decodeObjectPut(std::string_view);

std::string encodeRow(const TableRow&);
std::optional<TableRow> decodeRow(std::string_view);
std::string encodeScanPage(const ScanPage&);
std::optional<ScanPage> decodeScanPage(std::string_view);
std::string encodeTransactionResult(const TransactionResult&);
std::optional<TransactionResult> decodeTransactionResult(std::string_view);
std::string encodeObjectBytes(std::string_view);
std::optional<std::string> decodeObjectBytes(std::string_view);
std::string encodeDone();
std::optional<Done> decodeDone(std::string_view);
std::string encodeError(const StoreError&);
std::optional<StoreError> decodeError(std::string_view);

// HTTP status of an answer that carries this error.
int statusOf(StoreErrorCode);

} // namespace Berylport
