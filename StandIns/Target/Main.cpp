// berylport-target: stand-in application server.
#include "Target/StandInTarget.h"

#include "Http/EventPointers.h"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>

namespace {

using namespace Berylport;

struct Shutdown {
    event_base* base;
    StandInTarget* target;
    Duration limit;
    bool isDrained { false };
    TimerPointer timer;
};

std::chrono::milliseconds milliseconds(const cxxopts::ParseResult& given, const char* name)
{
    return std::chrono::milliseconds(given[name].as<uint32_t>());
}

std::optional<StandInTargetOptions> readOptions(const cxxopts::ParseResult& given)
{
    StandInTargetOptions options;
    options.listen = { .address = given["address"].as<std::string>(), .port = given["port"].as<uint16_t>() };
    options.service = ServiceName(given["service"].as<std::string>());
    options.slots = given["slots"].as<uint16_t>();
    options.serviceTime = milliseconds(given, "service-time-ms");
    options.startDelay = milliseconds(given, "start-delay-ms");
    options.announcePeriod = milliseconds(given, "announce-period-ms");
    if (given.count("node")) {
        options.node = parseEndpoint(given["node"].as<std::string>());
        if (!options.node) {
            std::cerr << "--node is not an address and port: " << given["node"].as<std::string>() << "\n";
            return std::nullopt;
        }
    }
    options.behaviour.deduplicates = given["deduplicate"].as<bool>();
    auto mode = given["error-mode"].as<std::string>();
    auto answer = parseAnswerMode(mode);
    if (answer)
        options.behaviour.answer = *answer;
    else if (mode == "fail")
        options.behaviour.failsFast = true;
    else if (mode == "freeze")
        options.behaviour.isFrozen = true;
    else if (mode != "none") {
        std::cerr << "--error-mode is unknown: " << mode << "\n";
        return std::nullopt;
    }
    if (!isValidName(options.service.text) || !options.slots) {
        std::cerr << "--service must be a service name and --slots at least 1\n";
        return std::nullopt;
    }
    return options;
}

void handleSignal(evutil_socket_t, short, void* argument)
{
    auto& shutdown = *static_cast<Shutdown*>(argument);
    startTimer(shutdown.timer.get(), shutdown.limit);
    shutdown.target->drain([&shutdown] {
        shutdown.isDrained = true;
        event_base_loopbreak(shutdown.base);
    });
}

int run(const StandInTargetOptions& options, Duration drainLimit)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto base = makeEventBase();
    StandInTarget target(base.get(), options);
    auto endpoint = target.listen();
    if (!endpoint) {
        std::cerr << "cannot listen on " << toText(options.listen) << "\n";
        return 1;
    }
    std::cout << "listening on " << toText(*endpoint) << std::endl;

    Shutdown shutdown { .base = base.get(), .target = &target, .limit = drainLimit, .isDrained = false, .timer = {} };
    shutdown.timer.reset(evtimer_new(
        base.get(), [](evutil_socket_t, short, void* it) { event_base_loopbreak(static_cast<event_base*>(it)); },
        base.get()));
    TimerPointer terminate(evsignal_new(base.get(), SIGTERM, handleSignal, &shutdown));
    TimerPointer interrupt(evsignal_new(base.get(), SIGINT, handleSignal, &shutdown));
    event_add(terminate.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    event_base_dispatch(base.get());
    if (!shutdown.isDrained)
        std::cerr << "requests were still running at the drain limit\n";
    return shutdown.isDrained ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("berylport-target", "Stand-in application server for Berylport's tests and demo");
    auto add = options.add_options();
    add("address", "IP address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("p,port", "port to listen on, 0 for any", cxxopts::value<uint16_t>()->default_value("0"));
    add("s,service", "service name to announce", cxxopts::value<std::string>()->default_value("service"));
    add("slots", "requests that run at the same time", cxxopts::value<uint16_t>()->default_value("10"));
    add("n,node", "address:port of the node to announce to", cxxopts::value<std::string>());
    add("announce-period-ms", "time between announcements", cxxopts::value<uint32_t>()->default_value("2000"));
    add("service-time-ms", "time that each request runs", cxxopts::value<uint32_t>()->default_value("0"));
    add("start-delay-ms", "time in state starting", cxxopts::value<uint32_t>()->default_value("0"));
    add("drain-limit-ms", "time to finish requests after SIGTERM", cxxopts::value<uint32_t>()->default_value("330000"));
    add("error-mode", "none, fail, freeze, close, truncate, chunked or whole; POST /behaviour changes it later",
        cxxopts::value<std::string>()->default_value("none"));
    add("deduplicate", "run each Idempotency-Key once", cxxopts::value<bool>()->default_value("false"));
    add("h,help", "show this text");
    try {
        auto given = options.parse(argc, argv);
        if (given.count("help")) {
            std::cout << options.help();
            return 0;
        }
        auto parsed = readOptions(given);
        return parsed ? run(*parsed, milliseconds(given, "drain-limit-ms")) : 2;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
