// The W3C traceparent header, version 00.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

struct TraceParent {
    uint64_t traceHigh { 0 };
    uint64_t traceLow { 0 };
    uint64_t span { 0 };
    bool isSampled { true };
    bool operator==(const TraceParent&) const = default;
};

std::string toText(const TraceParent&);
std::string traceIdText(const TraceParent&);
std::string spanIdText(const TraceParent&);

// Nothing for a malformed header; the standard demands a new trace in that case.
std::optional<TraceParent> parseTraceParent(std::string_view);

} // namespace Berylport
