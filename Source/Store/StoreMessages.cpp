// Conversion between the plain types and the schema's messages.
#include "Store/StoreMessages.h"

#include "Base/Overloaded.h"
#include "Store.capnp.h"
#include "Store/JsonCodec.h"

#include <algorithm>

namespace Berylport {

namespace {

using Json::toData;
using Json::toString;

void fillRow(StoreSchema::Row::Builder out, const TableRow& row)
{
    out.setKey(row.key);
    out.setValue(toData(row.value));
    out.setVersion(row.version);
}

TableRow readRow(StoreSchema::Row::Reader in)
{
    return { .key = toString(in.getKey()), .value = toString(in.getValue()), .version = in.getVersion() };
}

void fillCheck(StoreSchema::Check::Builder out, const TableCheck& check)
{
    using Requirement = StoreSchema::Check::Requirement;
    out.setKey(check.key);
    std::visit(Overloaded {
                   [&](const AnyVersion&) { out.setRequirement(Requirement::ANY); },
                   [&](const RowAbsent&) { out.setRequirement(Requirement::ABSENT); },
                   [&](const RowVersionEquals& it) {
                       out.setRequirement(Requirement::VERSION_EQUALS);
                       out.setVersion(it.version);
                   },
               },
        check.requirement);
}

TableCheck readCheck(StoreSchema::Check::Reader in)
{
    using Requirement = StoreSchema::Check::Requirement;
    TableCheck check { .key = toString(in.getKey()), .requirement = AnyVersion {} };
    if (in.getRequirement() == Requirement::ABSENT)
        check.requirement = RowAbsent {};
    else if (in.getRequirement() == Requirement::VERSION_EQUALS)
        check.requirement = RowVersionEquals { in.getVersion() };
    return check;
}

template <typename T, typename Plain, typename Read> std::optional<Plain> decodeAs(std::string_view text, Read&& read)
{
    std::optional<Plain> plain;
    if (!Json::decode<T>(text, [&](auto in) { plain = read(in); }))
        return std::nullopt;
    return plain;
}

} // namespace

std::string encodeKey(std::string_view key)
{
    return Json::encode<StoreSchema::KeyRequest>([&](auto out) { out.setKey(std::string(key)); });
}

std::optional<std::string> decodeKey(std::string_view text)
{
    return decodeAs<StoreSchema::KeyRequest, std::string>(text, [](auto in) { return toString(in.getKey()); });
}

std::string encodeScan(const ScanRequest& request)
{
    return Json::encode<StoreSchema::ScanRequest>([&](auto out) {
        out.setPrefix(request.prefix);
        out.setLimit(request.limit);
        out.setAfter(request.after);
    });
}

std::optional<ScanRequest> decodeScan(std::string_view text)
{
    return decodeAs<StoreSchema::ScanRequest, ScanRequest>(text, [](auto in) {
        return ScanRequest {
            .prefix = toString(in.getPrefix()), .limit = in.getLimit(), .after = toString(in.getAfter())
        };
    });
}

std::string encodeTransaction(const Transaction& transaction)
{
    return Json::encode<StoreSchema::TransactRequest>([&](auto out) {
        out.setToken(transaction.token);
        auto checks = out.initChecks(transaction.checks.size());
        for (unsigned n = 0; n < checks.size(); ++n)
            fillCheck(checks[n], transaction.checks[n]);
        auto puts = out.initPuts(transaction.puts.size());
        for (unsigned n = 0; n < puts.size(); ++n) {
            puts[n].setKey(transaction.puts[n].key);
            puts[n].setValue(toData(transaction.puts[n].value));
        }
        auto deletes = out.initDeletes(transaction.deletes.size());
        for (unsigned n = 0; n < deletes.size(); ++n)
            deletes.set(n, transaction.deletes[n]);
    });
}

std::optional<Transaction> decodeTransaction(std::string_view text)
{
    return decodeAs<StoreSchema::TransactRequest, Transaction>(text, [](auto in) {
        Transaction transaction { .token = toString(in.getToken()), .checks = {}, .puts = {}, .deletes = {} };
        for (auto it : in.getChecks())
            transaction.checks.push_back(readCheck(it));
        for (auto it : in.getPuts())
            transaction.puts.push_back({ .key = toString(it.getKey()), .value = toString(it.getValue()) });
        for (auto it : in.getDeletes())
            transaction.deletes.push_back(toString(it));
        return transaction;
    });
}

std::string encodeObjectPut(const ObjectPutRequest& request)
{
    return Json::encode<StoreSchema::ObjectPut>([&](auto out) {
        out.setName(request.name);
        out.setBytes(toData(request.bytes));
    });
}

std::optional<ObjectPutRequest> decodeObjectPut(std::string_view text)
{
    return decodeAs<StoreSchema::ObjectPut, ObjectPutRequest>(text,
        [](auto in) { return ObjectPutRequest { .name = toString(in.getName()), .bytes = toString(in.getBytes()) }; });
}

std::string encodeRow(const TableRow& row)
{
    return Json::encode<StoreSchema::Row>([&](auto out) { fillRow(out, row); });
}

std::optional<TableRow> decodeRow(std::string_view text)
{
    return decodeAs<StoreSchema::Row, TableRow>(text, [](auto in) { return readRow(in); });
}

std::string encodeScanPage(const ScanPage& page)
{
    return Json::encode<StoreSchema::ScanReply>([&](auto out) {
        auto rows = out.initRows(page.rows.size());
        for (unsigned n = 0; n < rows.size(); ++n)
            fillRow(rows[n], page.rows[n]);
        out.setHasMore(page.hasMore);
    });
}

std::optional<ScanPage> decodeScanPage(std::string_view text)
{
    return decodeAs<StoreSchema::ScanReply, ScanPage>(text, [](auto in) {
        ScanPage page { .rows = {}, .hasMore = in.getHasMore() };
        for (auto it : in.getRows())
            page.rows.push_back(readRow(it));
        return page;
    });
}

std::string encodeTransactionResult(const TransactionResult& result)
{
    return Json::encode<StoreSchema::TransactReply>([&](auto out) {
        auto versions = out.initVersions(result.versions.size());
        for (unsigned n = 0; n < versions.size(); ++n)
            versions.set(n, result.versions[n]);
    });
}

std::optional<TransactionResult> decodeTransactionResult(std::string_view text)
{
    return decodeAs<StoreSchema::TransactReply, TransactionResult>(text, [](auto in) {
        TransactionResult result;
        for (auto it : in.getVersions())
            result.versions.push_back(it);
        return result;
    });
}

std::string encodeObjectBytes(std::string_view bytes)
{
    return Json::encode<StoreSchema::ObjectBytes>([&](auto out) { out.setBytes(toData(bytes)); });
}

std::optional<std::string> decodeObjectBytes(std::string_view text)
{
    return decodeAs<StoreSchema::ObjectBytes, std::string>(text, [](auto in) { return toString(in.getBytes()); });
}

std::string encodeDone() { return "{}"; }

std::optional<Done> decodeDone(std::string_view text)
{
    return decodeAs<StoreSchema::Empty, Done>(text, [](auto) { return Done {}; });
}

std::string encodeError(const StoreError& error)
{
    return Json::encode<StoreSchema::Failure>([&](auto out) {
        out.setCode(static_cast<StoreSchema::Failure::Code>(error.code));
        out.setKey(error.key);
        out.setVersionFound(error.versionFound);
        out.setRetryAfterMs(static_cast<uint32_t>(std::max<int64_t>(0, toMilliseconds(error.retryAfter))));
        out.setText(error.text);
    });
}

std::optional<StoreError> decodeError(std::string_view text)
{
    return decodeAs<StoreSchema::Failure, StoreError>(text, [](auto in) {
        return StoreError { .code = static_cast<StoreErrorCode>(in.getCode()),
            .key = toString(in.getKey()),
            .versionFound = in.getVersionFound(),
            .retryAfter = std::chrono::milliseconds(in.getRetryAfterMs()),
            .text = toString(in.getText()) };
    });
}

int statusOf(StoreErrorCode code)
{
    switch (code) {
    case StoreErrorCode::Unavailable:
        return 503;
    case StoreErrorCode::Timeout:
        return 504;
    case StoreErrorCode::Conflict:
        return 409;
    case StoreErrorCode::NotFound:
        return 404;
    case StoreErrorCode::Malformed:
        return 400;
    case StoreErrorCode::Throttled:
        return 429;
    case StoreErrorCode::HistoryLost:
        return 410;
    }
    return 500;
}

} // namespace Berylport
