// TableClient over HTTP with JSON bodies.
#pragma once

#include "Store/HttpClientOptions.h"
#include "Store/TableClient.h"

#include <memory>

struct event_base;

namespace Berylport {

class HttpStoreClient;

// Never sends a request twice. Without an answer a write fails as Timeout and a read as Unavailable or Timeout.
class HttpTableClient final : public TableClient {
public:
    HttpTableClient(event_base*, HttpClientOptions);
    ~HttpTableClient() override;
    void get(std::string key, Completion<TableRow>) override;
    void scan(std::string prefix, uint32_t limit, std::string after, Completion<ScanPage>) override;
    void transact(Transaction, Completion<TransactionResult>) override;

private:
    std::unique_ptr<HttpStoreClient> m_http;
};

} // namespace Berylport
