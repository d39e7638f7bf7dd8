// Compares the selection policies with an oracle on the same calls; prints one Markdown table per customer.
#include "PolicySimulation.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace Berylport::PolicyBenchmark {
namespace {

struct NamedContestant {
    std::string name;
    Contestant contestant;
};

// Means over the seeds.
struct Row {
    std::string name;
    double p50 { 0 };
    double p99 { 0 };
    double p999 { 0 };
    // Worst p99 of any seed.
    double worstP99 { 0 };
    double usefulShare { 0 };
    double refusalsPerCall { 0 };
    double refusedShare { 0 };
    double failedShare { 0 };
    double bytesPerCall { 0 };
    double messagesPerCall { 0 };
    double bytesShare { 0 };
};

std::vector<NamedContestant> contestants()
{
    std::vector<NamedContestant> all { { "oracle", std::nullopt } };
    for (const SelectionPolicy& policy : { SelectionPolicy(FreshLoad {}), SelectionPolicy(RandomChoice {}),
             SelectionPolicy(RoundRobin {}), SelectionPolicy(LeastReported {}), SelectionPolicy(TwoChoices {}) })
        all.push_back({ std::string(toText(policy)), policy });
    return all;
}

double quantile(const std::vector<Duration>& sorted, double share)
{
    auto index = static_cast<size_t>(share * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[index].count()) / 1000;
}

void addRun(Row& row, SimulationResult run, double seeds)
{
    std::sort(run.latencies.begin(), run.latencies.end());
    auto calls = static_cast<double>(run.calls);
    double p99 = quantile(run.latencies, 0.99);
    row.p50 += quantile(run.latencies, 0.5) / seeds;
    row.p99 += p99 / seeds;
    row.p999 += quantile(run.latencies, 0.999) / seeds;
    row.worstP99 = std::max(row.worstP99, p99);
    row.usefulShare += run.usefulWeight / run.offeredWeight / seeds;
    row.refusalsPerCall += static_cast<double>(run.refusals) / calls / seeds;
    row.refusedShare += static_cast<double>(run.refusedCalls) / calls / seeds;
    row.failedShare += static_cast<double>(run.failedCalls) / calls / seeds;
    row.bytesPerCall += static_cast<double>(run.measuringBytes) / calls / seeds;
    row.messagesPerCall += static_cast<double>(run.measuringMessages) / calls / seeds;
    row.bytesShare += static_cast<double>(run.measuringBytes) / static_cast<double>(run.callBytes) / seeds;
}

std::vector<Row> measure(const FleetShape& fleet, const WorkloadOptions& options, uint64_t firstSeed, uint64_t seeds)
{
    auto all = contestants();
    std::vector<Row> rows(all.size());
    for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        auto workload = makeWorkload(fleet, options, seed);
        for (size_t n = 0; n < all.size(); ++n) {
            rows[n].name = all[n].name;
            Simulation simulation(fleet, options, workload, all[n].contestant, seed);
            addRun(rows[n], simulation.run(), static_cast<double>(seeds));
        }
    }
    return rows;
}

void printMarkdown(const FleetShape& fleet, const std::vector<Row>& rows, uint64_t seeds)
{
    std::printf("%s, %zu entry nodes, mean of %llu seeds\n\n", fleet.name.c_str(), size_t(entryCount(fleet)),
        static_cast<unsigned long long>(seeds));
    std::printf(
        "| policy | p50 ms | p99 ms | p99.9 ms | worst p99 ms | p99 / oracle | useful, weighted | refusals a call "
        "| refused calls | failed calls | bytes a call | messages a call | bytes share |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& row : rows) {
        std::printf(
            "| %s | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f %% | %.4f | %.3f %% | %.3f %% | %.1f | %.1f | %.2f %% |\n",
            row.name.c_str(), row.p50, row.p99, row.p999, row.worstP99, row.p99 / rows[0].p99, 100 * row.usefulShare,
            row.refusalsPerCall, 100 * row.refusedShare, 100 * row.failedShare, row.bytesPerCall, row.messagesPerCall,
            100 * row.bytesShare);
    }
    std::printf("\n");
}

void printJson(const FleetShape& fleet, const std::vector<Row>& rows)
{
    for (const auto& row : rows) {
        std::printf(R"({"fleet":"%s","policy":"%s","p50_ms":%.3f,"p99_ms":%.3f,"p999_ms":%.3f,"worst_p99_ms":%.3f,)",
            fleet.name.c_str(), row.name.c_str(), row.p50, row.p99, row.p999, row.worstP99);
        std::printf(R"("useful":%.6f,"refusals_per_call":%.6f,"refused":%.6f,"failed":%.6f,)", row.usefulShare,
            row.refusalsPerCall, row.refusedShare, row.failedShare);
        std::printf(R"("bytes_per_call":%.3f,"messages_per_call":%.3f,"bytes_share":%.6f})", row.bytesPerCall,
            row.messagesPerCall, row.bytesShare);
        std::printf("\n");
    }
}

int run(int argc, char** argv)
{
    cxxopts::Options options("policy-benchmark", "Compares the selection policies with an oracle");
    options.add_options()("seeds", "number of seeds", cxxopts::value<uint64_t>()->default_value("10"))(
        "first-seed", "first seed", cxxopts::value<uint64_t>()->default_value("1"))(
        "utilisation", "mean share of occupied slots", cxxopts::value<double>()->default_value("0.6"))(
        "json", "one JSON object a line instead of tables")("help", "print this text");
    auto parsed = options.parse(argc, argv);
    if (parsed.count("help")) {
        std::cout << options.help();
        return 0;
    }
    auto seeds = parsed["seeds"].as<uint64_t>();
    if (!seeds) {
        std::cerr << "--seeds must be at least 1\n";
        return 2;
    }
    WorkloadOptions workload;
    workload.utilisation = parsed["utilisation"].as<double>();
    for (const auto& fleet : customerFleets()) {
        auto rows = measure(fleet, workload, parsed["first-seed"].as<uint64_t>(), seeds);
        if (parsed.count("json"))
            printJson(fleet, rows);
        else
            printMarkdown(fleet, rows, seeds);
    }
    return 0;
}

} // namespace
} // namespace Berylport::PolicyBenchmark

int main(int argc, char** argv)
{
    try {
        return Berylport::PolicyBenchmark::run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
