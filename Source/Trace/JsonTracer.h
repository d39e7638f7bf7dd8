// An OpenTracing tracer that writes each finished span as one JSON object a line.
#pragma once

#include "Base/Random.h"
#include "Trace/TraceParent.h"

#include <functional>
#include <memory>
#include <opentracing/tracer.h>
#include <string>
#include <string_view>

namespace Berylport {

// Gets one line without its end.
using SpanSink = std::function<void(std::string_view line)>;

// "none" gives no sink, "stderr" standard error, anything else a file that is appended to; nullopt if it cannot be
// opened.
std::optional<SpanSink> openSpanSink(const std::string& output);

// Spans are dropped when the sink is empty or the trace is not sampled.
std::shared_ptr<opentracing::Tracer> makeJsonTracer(SpanSink, uint64_t seed, std::string processName);

// The header value that makes the next hop's span a child of this one.
std::string traceParentText(const opentracing::SpanContext&);

// Starts a span below the one named in a traceparent header, or a new trace when the header is absent or malformed.
std::unique_ptr<opentracing::Span> startSpan(
    opentracing::Tracer&, std::string_view operation, std::string_view traceParent);

} // namespace Berylport
