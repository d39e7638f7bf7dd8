// berylport-load: open-loop load generator.
#include "Load/LoadRunner.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

namespace {

using namespace Berylport;

// 5 minutes, the longest wait that a node accepts.
constexpr uint32_t maximumTimeoutMilliseconds = 300'000;
constexpr uint32_t maximumBodyBytes = 16 * 1024 * 1024;
// Arrivals and records are kept in memory until the end.
constexpr double maximumCalls = 20'000'000;

enum ExitCode : int {
    AllAnswered = 0,
    SomeLost = 1,
    WrongUsage = 2,
};

struct Arguments {
    LoadOptions load;
    ArrivalOptions arrivals;
    uint64_t seed { 1 };
    bool isJson { false };
};

struct UsageError {
    std::string text;
};

std::vector<Endpoint> readEndpoints(const cxxopts::ParseResult& given)
{
    bool isDirect = given.count("direct") > 0;
    bool hasNode = given.count("node") > 0;
    if (isDirect == hasNode)
        throw UsageError { "give either --node or --direct" };
    std::vector<Endpoint> endpoints;
    for (auto& it : given[isDirect ? "direct" : "node"].as<std::vector<std::string>>()) {
        auto endpoint = parseEndpoint(it);
        if (!endpoint)
            throw UsageError { "not an address and port: " + it };
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

void checkNames(const LoadOptions& load)
{
    if (!isValidName(load.service) || (!load.tenant.empty() && !isValidName(load.tenant)))
        throw UsageError { "--service and --tenant must be valid names, and --service is required" };
    if (load.path.empty() || load.path.front() != '/')
        throw UsageError { "--path must begin with /" };
}

void checkNumbers(const Arguments& arguments)
{
    auto& arrivals = arguments.arrivals;
    if (!(arrivals.rate > 0) || arrivals.duration.count() <= 0)
        throw UsageError { "--rate and --duration-s must be above 0" };
    if (!(arrivals.burstFactor >= 0) || arrivals.burstLength > burstPeriod)
        throw UsageError { "--burst-factor must not be below 0 and --burst-ms not above 1000" };
    double seconds = static_cast<double>(arrivals.duration.count()) / 1'000'000;
    if (arrivals.rate * std::max(1.0, arrivals.burstFactor) * seconds > maximumCalls)
        throw UsageError { "more than 20 million calls" };
    auto timeout = toMilliseconds(arguments.load.timeout);
    if (timeout < 1 || timeout > maximumTimeoutMilliseconds)
        throw UsageError { "--timeout-ms must be 1 to 300000" };
    if (arguments.load.bodyBytes > maximumBodyBytes)
        throw UsageError { "--body-bytes must not be above 16777216" };
}

Arguments readArguments(const cxxopts::ParseResult& given)
{
    Arguments arguments;
    auto& load = arguments.load;
    load.endpoints = readEndpoints(given);
    load.isDirect = given.count("direct") > 0;
    load.service = given["service"].as<std::string>();
    load.tenant = given["tenant"].as<std::string>();
    load.method = given["method"].as<std::string>();
    load.path = given["path"].as<std::string>();
    load.bodyBytes = given["body-bytes"].as<uint32_t>();
    load.timeout = std::chrono::milliseconds(given["timeout-ms"].as<uint32_t>());
    auto& arrivals = arguments.arrivals;
    arrivals.rate = given["rate"].as<double>();
    arrivals.duration = Duration(static_cast<int64_t>(given["duration-s"].as<double>() * 1'000'000));
    arrivals.burstFactor = given["burst-factor"].as<double>();
    arrivals.burstLength = std::chrono::milliseconds(given["burst-ms"].as<uint32_t>());
    arguments.seed = given["seed"].as<uint64_t>();
    arguments.isJson = given["json"].as<bool>();
    checkNames(load);
    checkNumbers(arguments);
    return arguments;
}

int run(const Arguments& arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    Random random(arguments.seed);
    auto base = makeEventBase();
    LoadRunner runner(base.get(), arguments.load, makeArrivals(arguments.arrivals, random));
    runner.run();
    auto report = makeReport(runner.records(), arguments.arrivals.duration, runner.maximumSendDelay());
    std::cout << (arguments.isJson ? reportJson(report) : reportText(report));
    return report.outcomes.count(CallOutcome::TransportError) ? SomeLost : AllAnswered;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("berylport-load", "Open-loop load generator for Berylport");
    auto add = options.add_options();
    add("n,node", "address:port of a node's callers' port; may be given more than once",
        cxxopts::value<std::vector<std::string>>());
    add("direct", "address:port of a target, called without a node", cxxopts::value<std::vector<std::string>>());
    add("s,service", "service to call", cxxopts::value<std::string>()->default_value(""));
    add("path", "path and query", cxxopts::value<std::string>()->default_value("/"));
    add("method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"));
    add("body-bytes", "size of the body", cxxopts::value<uint32_t>()->default_value("0"));
    add("r,rate", "calls a second outside of bursts", cxxopts::value<double>()->default_value("100"));
    add("d,duration-s", "length of the load in seconds", cxxopts::value<double>()->default_value("10"));
    add("burst-factor", "rate in bursts, as a multiple of --rate", cxxopts::value<double>()->default_value("1"));
    add("burst-ms", "length of the burst in each second", cxxopts::value<uint32_t>()->default_value("0"));
    add("tenant", "tenant name", cxxopts::value<std::string>()->default_value(""));
    add("timeout-ms", "wait for an answer", cxxopts::value<uint32_t>()->default_value("10000"));
    add("seed", "seed of the arrival times", cxxopts::value<uint64_t>()->default_value("1"));
    add("json", "print one JSON object", cxxopts::value<bool>()->default_value("false"));
    add("h,help", "show this text");
    try {
        auto given = options.parse(argc, argv);
        if (given.count("help")) {
            std::cout << options.help()
                      << "\nLatency is counted from the scheduled time of a call. Exit code: 0 when every call got an\n"
                         "answer, 1 when one did not, 2 for wrong usage.\n";
            return AllAnswered;
        }
        if (!given.unmatched().empty())
            throw UsageError { "unknown argument: " + given.unmatched().front() };
        return run(readArguments(given));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
    } catch (const UsageError& error) {
        std::cerr << error.text << "\n";
    }
    return WrongUsage;
}
