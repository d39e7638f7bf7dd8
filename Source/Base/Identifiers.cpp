// Text forms of the identifiers.
#include "Base/Identifiers.h"

#include <arpa/inet.h>
#include <charconv>

namespace Berylport {

namespace {

constexpr size_t nodeIdDigits = 16;
constexpr size_t maximumNameLength = 63;

template <typename Integer> std::optional<Integer> parseWhole(std::string_view text, int base)
{
    Integer n {};
    const char* end = text.data() + text.size();
    auto [position, ec] = std::from_chars(text.data(), end, n, base);
    if (ec != std::errc() || position != end || text.empty())
        return std::nullopt;
    return n;
}

bool isLetterOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

bool isIpNumber(const std::string& address)
{
    in6_addr buf;
    return inet_pton(AF_INET, address.c_str(), &buf) == 1 || inet_pton(AF_INET6, address.c_str(), &buf) == 1;
}

} // namespace

std::string toText(NodeId id)
{
    char digits[nodeIdDigits];
    auto [end, ec] = std::to_chars(digits, digits + nodeIdDigits, id.value, 16);
    std::string text(digits, end);
    return std::string(nodeIdDigits - text.size(), '0') + text;
}

std::string toText(const CallId& id) { return toText(id.origin) + "-" + std::to_string(id.sequence); }

std::string toText(const Endpoint& endpoint)
{
    bool isVersion6 = endpoint.address.find(':') != std::string::npos;
    std::string host = isVersion6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

std::optional<NodeId> parseNodeId(std::string_view text)
{
    if (text.size() != nodeIdDigits)
        return std::nullopt;
    auto n = parseWhole<uint64_t>(text, 16);
    if (!n)
        return std::nullopt;
    return NodeId { *n };
}

std::optional<CallId> parseCallId(std::string_view text)
{
    size_t dash = text.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    auto origin = parseNodeId(text.substr(0, dash));
    auto sequence = parseWhole<uint64_t>(text.substr(dash + 1), 10);
    if (!origin || !sequence)
        return std::nullopt;
    return CallId { .origin = *origin, .sequence = *sequence };
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    auto port = parseWhole<uint16_t>(text.substr(colon + 1), 10);
    std::string address(host);
    if (!port || !isIpNumber(address))
        return std::nullopt;
    return Endpoint { .address = address, .port = *port };
}

bool isValidName(std::string_view text)
{
    if (text.empty() || text.size() > maximumNameLength || !isLetterOrDigit(text.front()))
        return false;
    for (char c : text) {
        if (!isLetterOrDigit(c) && c != '-' && c != '_' && c != '.')
            return false;
    }
    return true;
}

} // namespace Berylport
