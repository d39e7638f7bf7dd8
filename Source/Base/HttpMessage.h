// Whole HTTP requests and answers. A message is never passed on before all of it has been read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Berylport {

struct HttpHeader {
    std::string name;
    std::string value;
    bool operator==(const HttpHeader&) const = default;
};

struct HttpRequest {
    std::string method;
    // Path and query as received.
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse {
    uint16_t status { 0 };
    std::string reason;
    std::vector<HttpHeader> headers;
    std::string body;
    bool operator==(const HttpResponse&) const = default;
};

// The value of the first header of that name, compared without regard to case.
std::optional<std::string_view> findHeader(const std::vector<HttpHeader>&, std::string_view name);
void removeHeader(std::vector<HttpHeader>&, std::string_view name);
void setHeader(std::vector<HttpHeader>&, std::string_view name, std::string_view value);
bool equalsIgnoringCase(std::string_view, std::string_view);

} // namespace Berylport
