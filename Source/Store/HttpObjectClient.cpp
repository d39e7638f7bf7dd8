// Requests to the object store.
#include "Store/HttpObjectClient.h"

#include "Store/HttpStoreClient.h"

namespace Berylport {

HttpObjectClient::HttpObjectClient(event_base* base, HttpClientOptions options)
    : m_http(std::make_unique<HttpStoreClient>(base, std::move(options)))
{
}

HttpObjectClient::~HttpObjectClient() = default;

void HttpObjectClient::put(std::string name, std::string bytes, Completion<Done> completion)
{
    auto body = encodeObjectPut({ .name = std::move(name), .bytes = std::move(bytes) });
    postAndDecode<Done>(
        *m_http, StoreOperation::Write, StorePath::objectPut, std::move(body), decodeDone, std::move(completion));
}

void HttpObjectClient::get(std::string name, Completion<std::string> completion)
{
    postAndDecode<std::string>(
        *m_http, StoreOperation::Read, StorePath::objectGet, encodeKey(name), decodeObjectBytes, std::move(completion));
}

void HttpObjectClient::remove(std::string name, Completion<Done> completion)
{
    postAndDecode<Done>(
        *m_http, StoreOperation::Write, StorePath::objectRemove, encodeKey(name), decodeDone, std::move(completion));
}

} // namespace Berylport
