// HTTP transport shared by the clients of both stores: bounded, with a timeout and a circuit breaker.
#pragma once

#include "Base/HttpMessage.h"
#include "Store/HttpClientOptions.h"
#include "Store/StoreError.h"
#include "Store/StoreMessages.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

struct event_base;

namespace Berylport {

// Any answer with a status line and a complete body.
struct StoreAnswer {
    int status { 0 };
    std::string body;
    std::vector<HttpHeader> headers {};
};

// No answer.
struct StoreSilence {
    // The request never left this process.
    bool isUnsent { true };
    std::string text;
};

using StoreReply = std::variant<StoreAnswer, StoreSilence>;

enum class StoreMethod : uint8_t {
    Get,
    Post,
};

struct StoreRequest {
    StoreMethod method { StoreMethod::Post };
    // With its query.
    std::string path;
    std::string body {};
    // Instead of the client's own timeout.
    std::optional<Duration> timeout {};
};

class HttpStoreClient {
public:
    using Callback = std::function<void(Instant now, StoreReply)>;

    HttpStoreClient(event_base*, HttpClientOptions);
    ~HttpStoreClient();
    void send(StoreRequest, Callback);
    void post(const char* path, std::string body, Callback);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

enum class StoreOperation : uint8_t {
    Read,
    Write,
};

// The error of an unanswered or failed request.
StoreError storeError(StoreOperation, const StoreReply&);

// Posts and converts the answer with `decode(string_view) -> optional<T>`.
template <typename T, typename Decode>
void postAndDecode(HttpStoreClient& http, StoreOperation operation, const char* path, std::string body, Decode decode,
    Completion<T> completion)
{
    http.post(path, std::move(body), [=, completion = std::move(completion)](Instant now, StoreReply reply) {
        auto* answer = std::get_if<StoreAnswer>(&reply);
        std::optional<T> value;
        if (answer && answer->status == 200)
            value = decode(std::string_view(answer->body));
        if (value)
            completion(now, std::move(*value));
        else
            completion(now, storeError(operation, reply));
    });
}

} // namespace Berylport
