// Requests to the table service.
#include "Store/HttpTableClient.h"

#include "Store/HttpStoreClient.h"

namespace Berylport {

HttpTableClient::HttpTableClient(event_base* base, HttpClientOptions options)
    : m_http(std::make_unique<HttpStoreClient>(base, std::move(options)))
{
}

HttpTableClient::~HttpTableClient() = default;

void HttpTableClient::get(std::string key, Completion<TableRow> completion)
{
    postAndDecode<TableRow>(
        *m_http, StoreOperation::Read, StorePath::tableGet, encodeKey(key), decodeRow, std::move(completion));
}

void HttpTableClient::scan(std::string prefix, uint32_t limit, std::string after, Completion<ScanPage> completion)
{
    auto body = encodeScan({ .prefix = std::move(prefix), .limit = limit, .after = std::move(after) });
    postAndDecode<ScanPage>(
        *m_http, StoreOperation::Read, StorePath::tableScan, std::move(body), decodeScanPage, std::move(completion));
}

void HttpTableClient::transact(Transaction transaction, Completion<TransactionResult> completion)
{
    postAndDecode<TransactionResult>(*m_http, StoreOperation::Write, StorePath::tableTransact,
        encodeTransaction(transaction), decodeTransactionResult, std::move(completion));
}

} // namespace Berylport
