// ObjectClient over HTTP with JSON bodies.
#pragma once

#include "Store/HttpClientOptions.h"
#include "Store/ObjectClient.h"

#include <memory>

struct event_base;

namespace Berylport {

class HttpStoreClient;

// Never sends a request twice. Without an answer a write fails as Timeout and a read as Unavailable or Timeout.
class HttpObjectClient final : public ObjectClient {
public:
    HttpObjectClient(event_base*, HttpClientOptions);
    ~HttpObjectClient() override;
    void put(std::string name, std::string bytes, Completion<Done>) override;
    void get(std::string name, Completion<std::string>) override;
    void remove(std::string name, Completion<Done>) override;

private:
    std::unique_ptr<HttpStoreClient> m_http;
};

} // namespace Berylport
