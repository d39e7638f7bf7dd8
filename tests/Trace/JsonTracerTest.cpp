// Guards against spans that cannot be joined to one trace across hops.
#include "Trace/Trace.h"

#include <gtest/gtest.h>

using namespace Berylport;

TEST(TraceParent, ReadsBackFromItsText)
{
    TraceParent parent { .traceHigh = 1, .traceLow = 2, .span = 3, .isSampled = true };
    EXPECT_EQ(toText(parent), "00-00000000000000010000000000000002-0000000000000003-01");
    EXPECT_EQ(parseTraceParent(toText(parent)), parent);
}

TEST(TraceParent, MalformedHeadersAreRefused)
{
    EXPECT_FALSE(parseTraceParent(""));
    EXPECT_FALSE(parseTraceParent("00-00000000000000000000000000000000-0000000000000003-01"));
    EXPECT_FALSE(parseTraceParent("00-00000000000000010000000000000002-0000000000000000-01"));
    EXPECT_FALSE(parseTraceParent("00-0000000000000001000000000000000G-0000000000000003-01"));
    EXPECT_FALSE(parseTraceParent("01-00000000000000010000000000000002-0000000000000003-01"));
}

TEST(JsonTracer, NextHopIsAChildInTheSameTrace)
{
    std::vector<std::string> lines;
    auto tracer = makeJsonTracer([&](std::string_view line) { lines.emplace_back(line); }, 1, "node");
    auto first = startSpan(*tracer, "call", "");
    std::string header = traceParentText(first->context());
    auto second = startSpan(*tracer, "attempt", header);
    second->SetTag("service", "bookings\"");
    second->Finish();
    second->Finish();
    first->Finish();
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(first->context().ToTraceID(), second->context().ToTraceID());
    EXPECT_NE(lines[0].find("\"parent\":\"" + first->context().ToSpanID() + "\""), std::string::npos);
    EXPECT_NE(lines[0].find("\"service\":\"bookings\\\"\""), std::string::npos);
    EXPECT_EQ(lines[1].find("\"parent\""), std::string::npos);
}

TEST(JsonTracer, UnsampledTraceWritesNothing)
{
    bool isWritten = false;
    auto tracer = makeJsonTracer([&](std::string_view) { isWritten = true; }, 1, "node");
    startSpan(*tracer, "call", "00-00000000000000010000000000000002-0000000000000003-00")->Finish();
    EXPECT_FALSE(isWritten);
}
