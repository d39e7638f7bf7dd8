// Text form of the traceparent header.
#include "Trace/TraceParent.h"

#include <charconv>
#include <cstdio>

namespace Berylport {

namespace {

// "00-" trace (32) "-" span (16) "-" flags (2).
constexpr size_t headerLength = 55;
constexpr size_t wordDigits = 16;

std::string hexadecimal(uint64_t n)
{
    char buf[wordDigits + 1];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(n));
    return buf;
}

std::optional<uint64_t> parseHexadecimal(std::string_view text)
{
    uint64_t n = 0;
    for (char c : text) {
        bool isDigit = c >= '0' && c <= '9';
        bool isLetter = c >= 'a' && c <= 'f';
        if (!isDigit && !isLetter)
            return std::nullopt;
        n = n << 4 | static_cast<uint64_t>(isDigit ? c - '0' : c - 'a' + 10);
    }
    return n;
}

} // namespace

std::string traceIdText(const TraceParent& parent)
{
    return hexadecimal(parent.traceHigh) + hexadecimal(parent.traceLow);
}

std::string spanIdText(const TraceParent& parent) { return hexadecimal(parent.span); }

std::string toText(const TraceParent& parent)
{
    return "00-" + traceIdText(parent) + "-" + spanIdText(parent) + (parent.isSampled ? "-01" : "-00");
}

std::optional<TraceParent> parseTraceParent(std::string_view text)
{
    if (text.size() != headerLength || text.substr(0, 3) != "00-" || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    auto high = parseHexadecimal(text.substr(3, wordDigits));
    auto low = parseHexadecimal(text.substr(19, wordDigits));
    auto span = parseHexadecimal(text.substr(36, wordDigits));
    auto flags = parseHexadecimal(text.substr(53));
    if (!high || !low || !span || !flags || !(*high | *low) || !*span)
        return std::nullopt;
    return TraceParent { .traceHigh = *high, .traceLow = *low, .span = *span, .isSampled = (*flags & 1) != 0 };
}

} // namespace Berylport
