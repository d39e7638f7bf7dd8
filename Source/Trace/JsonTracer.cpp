// Implements the OpenTracing interface with spans that carry the W3C ids.
#include "Trace/JsonTracer.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>

namespace Berylport {

namespace {

constexpr std::string_view headerName = "traceparent";

void appendQuoted(std::string& json, std::string_view text)
{
    json += '"';
    for (char c : text) {
        auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            json += '\\';
            json += c;
        } else if (byte < 0x20) {
            char buf[8];
            std::snprintf(buf, sizeof(buf), "\\u%04x", byte);
            json += buf;
        } else
            json += c;
    }
    json += '"';
}

struct TagText {
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(double value) const { return std::to_string(value); }
    std::string operator()(int64_t value) const { return std::to_string(value); }
    std::string operator()(uint64_t value) const { return std::to_string(value); }
    std::string operator()(const std::string& value) const { return value; }
    std::string operator()(const char* value) const { return value; }
    template <typename Other> std::string operator()(const Other&) const { return {}; }
};

std::string valueText(const opentracing::Value& value) { return opentracing::Value::visit(value, TagText()); }

class JsonSpanContext : public opentracing::SpanContext {
public:
    explicit JsonSpanContext(const TraceParent& ids)
        : m_ids(ids)
    {
    }

    // Baggage is not carried.
    void ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const override { }
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<JsonSpanContext>(m_ids);
    }
    std::string ToTraceID() const noexcept override { return traceIdText(m_ids); }
    std::string ToSpanID() const noexcept override { return spanIdText(m_ids); }
    const TraceParent& ids() const { return m_ids; }

private:
    TraceParent m_ids;
};

// What a span and its tracer share, so that a span may outlive the tracer.
struct SpanOutput {
    SpanSink sink;
    std::string processName;
};

class JsonSpan : public opentracing::Span {
public:
    JsonSpan(std::shared_ptr<const opentracing::Tracer> tracer, std::shared_ptr<SpanOutput> output,
        const TraceParent& ids, uint64_t parentSpan, opentracing::string_view operation,
        const opentracing::StartSpanOptions& options)
        : m_tracer(std::move(tracer))
        , m_output(std::move(output))
        , m_context(ids)
        , m_parentSpan(parentSpan)
        , m_operation(operation)
        , m_systemStart(options.start_system_timestamp)
        , m_steadyStart(options.start_steady_timestamp)
    {
        if (m_systemStart == opentracing::SystemTime())
            m_systemStart = opentracing::SystemClock::now();
        if (m_steadyStart == opentracing::SteadyTime())
            m_steadyStart = opentracing::SteadyClock::now();
        for (auto& [key, value] : options.tags)
            m_tags[key] = valueText(value);
    }

    ~JsonSpan() override { Finish(); }

    void FinishWithOptions(const opentracing::FinishSpanOptions& options) noexcept override
    {
        if (m_isFinished)
            return;
        m_isFinished = true;
        if (m_output->sink && m_context.ids().isSampled)
            m_output->sink(toJson(options.finish_steady_timestamp));
    }

    void SetOperationName(opentracing::string_view name) noexcept override { m_operation = name; }
    void SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept override
    {
        m_tags[key] = valueText(value);
    }
    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }
    std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }

    using Fields = std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>;
    void Log(Fields fields) noexcept override { appendFields(fields); }
    void Log(opentracing::SystemTime, Fields fields) noexcept override { appendFields(fields); }
    void Log(opentracing::SystemTime,
        const std::vector<std::pair<opentracing::string_view, opentracing::Value>>& fields) noexcept override
    {
        appendFields(fields);
    }

    const opentracing::SpanContext& context() const noexcept override { return m_context; }
    const opentracing::Tracer& tracer() const noexcept override { return *m_tracer; }

private:
    void appendFields(const auto& fields)
    {
        for (auto& [key, value] : fields)
            m_tags["log." + std::string(key)] = valueText(value);
    }

    std::string toJson(opentracing::SteadyTime finish) const
    {
        using Microseconds = std::chrono::microseconds;
        auto start = std::chrono::duration_cast<Microseconds>(m_systemStart.time_since_epoch()).count();
        auto duration = std::chrono::duration_cast<Microseconds>(finish - m_steadyStart).count();
        std::string json = "{\"trace\":\"" + m_context.ToTraceID() + "\",\"span\":\"" + m_context.ToSpanID() + "\"";
        if (m_parentSpan)
            json += ",\"parent\":\"" + spanIdText({ .span = m_parentSpan }) + "\"";
        json += ",\"process\":";
        appendQuoted(json, m_output->processName);
        json += ",\"operation\":";
        appendQuoted(json, m_operation);
        json += ",\"start_us\":" + std::to_string(start) + ",\"duration_us\":" + std::to_string(duration);
        for (auto& [key, value] : m_tags) {
            json += ",";
            appendQuoted(json, key);
            json += ":";
            appendQuoted(json, value);
        }
        return json + "}";
    }

    std::shared_ptr<const opentracing::Tracer> m_tracer;
    std::shared_ptr<SpanOutput> m_output;
    JsonSpanContext m_context;
    uint64_t m_parentSpan;
    std::string m_operation;
    opentracing::SystemTime m_systemStart;
    opentracing::SteadyTime m_steadyStart;
    std::map<std::string, std::string> m_tags;
    bool m_isFinished { false };
};

class JsonTracer : public opentracing::Tracer, public std::enable_shared_from_this<JsonTracer> {
public:
    JsonTracer(SpanSink sink, uint64_t seed, std::string processName)
        : m_output(std::make_shared<SpanOutput>(SpanOutput { std::move(sink), std::move(processName) }))
        , m_random(seed)
    {
    }

    std::unique_ptr<opentracing::Span> StartSpanWithOptions(
        opentracing::string_view operation, const opentracing::StartSpanOptions& options) const noexcept override
    {
        const JsonSpanContext* parent = findParent(options);
        TraceParent ids = parent ? parent->ids() : newTrace();
        uint64_t parentSpan = ids.span;
        ids.span = nonZeroRandom();
        return std::make_unique<JsonSpan>(shared_from_this(), m_output, ids, parentSpan, operation, options);
    }

    using Tracer::Extract;
    using Tracer::Inject;

    opentracing::expected<void> Inject(const opentracing::SpanContext&, std::ostream&) const override
    {
        return opentracing::make_unexpected(opentracing::invalid_carrier_error);
    }
    opentracing::expected<void> Inject(
        const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const override
    {
        return writer.Set(std::string(headerName), traceParentText(context));
    }
    opentracing::expected<void> Inject(
        const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const override
    {
        return writer.Set(std::string(headerName), traceParentText(context));
    }
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream&) const override
    {
        return opentracing::make_unexpected(opentracing::invalid_carrier_error);
    }
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::TextMapReader& reader) const override
    {
        std::unique_ptr<opentracing::SpanContext> context;
        auto result = reader.ForeachKey([&](auto key, auto value) -> opentracing::expected<void> {
            auto ids = parseTraceParent(std::string(value));
            if (std::string(key) == headerName && ids)
                context = std::make_unique<JsonSpanContext>(*ids);
            return {};
        });
        if (!result)
            return opentracing::make_unexpected(result.error());
        return context;
    }
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::HTTPHeadersReader& reader) const override
    {
        return Extract(static_cast<const opentracing::TextMapReader&>(reader));
    }

private:
    static const JsonSpanContext* findParent(const opentracing::StartSpanOptions& options)
    {
        for (auto& [type, context] : options.references) {
            if (auto* parent = dynamic_cast<const JsonSpanContext*>(context))
                return parent;
        }
        return nullptr;
    }

    // A trace without a span, so that its first span has no parent.
    TraceParent newTrace() const { return { .traceHigh = nonZeroRandom(), .traceLow = m_random.next(), .span = 0 }; }

    uint64_t nonZeroRandom() const
    {
        uint64_t n = m_random.next();
        return n ? n : 1;
    }

    std::shared_ptr<SpanOutput> m_output;
    // StartSpanWithOptions is const in the interface.
    mutable Random m_random;
};

} // namespace

std::optional<SpanSink> openSpanSink(const std::string& output)
{
    if (output == "none")
        return SpanSink();
    if (output == "stderr")
        return SpanSink([](std::string_view line) { std::cerr << line << '\n'; });
    auto stream = std::make_shared<std::ofstream>(output, std::ios::app);
    if (!*stream)
        return std::nullopt;
    return SpanSink([stream](std::string_view line) { *stream << line << std::endl; });
}

std::shared_ptr<opentracing::Tracer> makeJsonTracer(SpanSink sink, uint64_t seed, std::string processName)
{
    return std::make_shared<JsonTracer>(std::move(sink), seed, std::move(processName));
}

std::string traceParentText(const opentracing::SpanContext& context)
{
    auto* own = dynamic_cast<const JsonSpanContext*>(&context);
    return own ? toText(own->ids()) : std::string();
}

std::unique_ptr<opentracing::Span> startSpan(
    opentracing::Tracer& tracer, std::string_view operation, std::string_view traceParent)
{
    opentracing::string_view name(operation.data(), operation.size());
    auto ids = parseTraceParent(traceParent);
    if (!ids)
        return tracer.StartSpan(name);
    JsonSpanContext parent(*ids);
    return tracer.StartSpan(name, { opentracing::ChildOf(&parent) });
}

} // namespace Berylport
