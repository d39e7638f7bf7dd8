// Lexical rules of HTTP/1.1 and the removal of hop-by-hop headers.
#include "Http/HttpSyntax.h"

#include <algorithm>
#include <array>

namespace Berylport {

namespace {

constexpr std::array<std::string_view, 7> knownMethods { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" };

// Expect belongs to the connection too: this hop has already asked for the body.
constexpr std::array<std::string_view, 10> hopByHopHeaders { "Connection", "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect" };

bool isAlphanumeric(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }

bool isTokenCharacter(char c)
{
    return isAlphanumeric(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
}

bool isSpace(char c) { return c == ' ' || c == '\t'; }

} // namespace

bool isToken(std::string_view text) { return !text.empty() && std::ranges::all_of(text, isTokenCharacter); }

bool isHeaderValue(std::string_view text) { return std::ranges::all_of(text, isValueCharacter); }

bool isValidHeader(const HttpHeader& header) { return isToken(header.name) && isHeaderValue(header.value); }

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c > 0x20 && c < 0x7F && c != '#'; });
}

bool isKnownMethod(std::string_view method) { return std::ranges::find(knownMethods, method) != knownMethods.end(); }

bool needsLength(std::string_view method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

std::string_view trimSpace(std::string_view text)
{
    while (!text.empty() && isSpace(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isSpace(text.back()))
        text.remove_suffix(1);
    return text;
}

void forEachElement(std::string_view list, const std::function<void(std::string_view)>& visit)
{
    while (!list.empty()) {
        auto end = std::min(list.find(','), list.size());
        auto element = trimSpace(list.substr(0, end));
        if (!element.empty())
            visit(element);
        list.remove_prefix(std::min(end + 1, list.size()));
    }
}

bool hasElement(const std::vector<HttpHeader>& headers, std::string_view name, std::string_view word)
{
    bool isFound = false;
    for (auto& it : headers) {
        if (equalsIgnoringCase(it.name, name))
            forEachElement(it.value, [&](auto element) { isFound = isFound || equalsIgnoringCase(element, word); });
    }
    return isFound;
}

void removeHopByHopHeaders(std::vector<HttpHeader>& headers)
{
    std::vector<std::string> named;
    for (auto& it : headers) {
        if (equalsIgnoringCase(it.name, "Connection"))
            forEachElement(it.value, [&](auto element) { named.emplace_back(element); });
    }
    for (auto& it : named)
        removeHeader(headers, it);
    for (auto it : hopByHopHeaders)
        removeHeader(headers, it);
}

std::string_view defaultReason(uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 417:
        return "Expectation Failed";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Status";
    }
}

} // namespace Berylport
