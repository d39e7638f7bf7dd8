// Header access for whole HTTP messages.
#include "Base/HttpMessage.h"

#include <algorithm>

namespace Berylport {

namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, toLower, toLower);
}

std::optional<std::string_view> findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (auto& it : headers) {
        if (equalsIgnoringCase(it.name, name))
            return it.value;
    }
    return std::nullopt;
}

void removeHeader(std::vector<HttpHeader>& headers, std::string_view name)
{
    std::erase_if(headers, [&](auto& it) { return equalsIgnoringCase(it.name, name); });
}

void setHeader(std::vector<HttpHeader>& headers, std::string_view name, std::string_view value)
{
    removeHeader(headers, name);
    headers.push_back({ .name = std::string(name), .value = std::string(value) });
}

} // namespace Berylport
