// Collects measures and writes the page that a scraper reads.
#include "Metrics/MetricRegistry.h"

#include <cstdio>
#include <set>

namespace Berylport {

namespace {

MetricKey unlabelled(std::string_view name) { return { .name = std::string(name), .labelName = {}, .labelValue = {} }; }

std::string numberText(double value)
{
    char buf[32];
    int n = std::snprintf(buf, sizeof(buf), "%.9g", value);
    return std::string(buf, static_cast<size_t>(n));
}

std::string escapeLabel(std::string_view text)
{
    std::string escaped;
    for (char c : text) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

std::string labelText(const MetricKey& key, std::string_view quantile = {})
{
    std::string text;
    if (!key.labelName.empty())
        text = key.labelName + "=\"" + escapeLabel(key.labelValue) + "\"";
    if (!quantile.empty())
        text += (text.empty() ? "" : ",") + ("quantile=\"" + std::string(quantile) + "\"");
    return text.empty() ? text : "{" + text + "}";
}

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Writes the TYPE line in front of the first row of a name, as the format demands one of each.
class PageWriter {
public:
    void appendType(const std::string& name, std::string_view type)
    {
        if (m_typed.insert(name).second)
            m_page += "# TYPE " + name + " " + std::string(type) + "\n";
    }

    void appendRow(const std::string& name, const std::string& labels, double value)
    {
        m_page += name + labels + " " + numberText(value) + "\n";
    }

    std::string take() { return std::move(m_page); }

private:
    std::set<std::string> m_typed;
    std::string m_page;
};

} // namespace

void MetricRegistry::add(std::string_view name, uint64_t n) { add(unlabelled(name), n); }

void MetricRegistry::add(const MetricKey& key, uint64_t n) { m_counters[key] += n; }

void MetricRegistry::set(std::string_view name, double value) { set(unlabelled(name), value); }

void MetricRegistry::set(const MetricKey& key, double value) { m_gauges[key] = value; }

void MetricRegistry::record(const MetricKey& key, Duration sample, Instant now) { m_latencies[key].add(sample, now); }

uint64_t MetricRegistry::counter(const MetricKey& key) const
{
    auto it = m_counters.find(key);
    return it == m_counters.end() ? 0 : it->second;
}

uint64_t MetricRegistry::counter(std::string_view name) const { return counter(unlabelled(name)); }

std::vector<MetricRow> MetricRegistry::rows(Instant now)
{
    std::vector<MetricRow> result;
    for (auto& [key, value] : m_counters)
        result.push_back({ .key = key, .value = static_cast<double>(value) });
    for (auto& [key, value] : m_gauges)
        result.push_back({ .key = key, .value = value });
    for (auto& [key, distribution] : m_latencies) {
        LatencySummary summary = distribution.summary(now);
        auto append = [&result, &base = key](std::string_view suffix, double value) {
            MetricKey row = base;
            row.name += suffix;
            result.push_back({ .key = row, .value = value });
        };
        append("_count", static_cast<double>(distribution.totalCount()));
        append("_p50", toSeconds(summary.p50));
        append("_p99", toSeconds(summary.p99));
        append("_p999", toSeconds(summary.p999));
    }
    return result;
}

std::string MetricRegistry::textPage(Instant now)
{
    PageWriter writer;
    for (auto& [key, value] : m_counters) {
        writer.appendType(key.name, "counter");
        writer.appendRow(key.name, labelText(key), static_cast<double>(value));
    }
    for (auto& [key, value] : m_gauges) {
        writer.appendType(key.name, "gauge");
        writer.appendRow(key.name, labelText(key), value);
    }
    for (auto& [key, distribution] : m_latencies) {
        LatencySummary summary = distribution.summary(now);
        writer.appendType(key.name, "summary");
        writer.appendRow(key.name, labelText(key, "0.5"), toSeconds(summary.p50));
        writer.appendRow(key.name, labelText(key, "0.99"), toSeconds(summary.p99));
        writer.appendRow(key.name, labelText(key, "0.999"), toSeconds(summary.p999));
        writer.appendRow(key.name + "_sum", labelText(key), toSeconds(distribution.totalSum()));
        writer.appendRow(key.name + "_count", labelText(key), static_cast<double>(distribution.totalCount()));
    }
    return writer.take();
}

} // namespace Berylport
