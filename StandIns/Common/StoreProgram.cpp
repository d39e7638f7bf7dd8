// Options, event loop and clean end.
#include "StandIns/Common/StoreProgram.h"

#include <event2/event.h>

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <memory>

namespace Berylport {

namespace {

using EventBase = std::unique_ptr<event_base, decltype(&event_base_free)>;
using EventPointer = std::unique_ptr<event, decltype(&event_free)>;

void onSignal(evutil_socket_t, short, void* argument) { event_base_loopbreak(static_cast<event_base*>(argument)); }

int serve(const StoreServerOptions& options, const char* name, StoreService& service)
{
    EventBase base(event_base_new(), &event_base_free);
    StoreServer server(base.get(), service, options);
    if (!server.isListening()) {
        std::cerr << name << ": cannot listen on " << options.address << "\n";
        return 1;
    }
    EventPointer terminate(evsignal_new(base.get(), SIGTERM, &onSignal, base.get()), &event_free);
    EventPointer interrupt(evsignal_new(base.get(), SIGINT, &onSignal, base.get()), &event_free);
    event_add(terminate.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    // Whoever started this program reads the chosen ports from here.
    std::cout << "listening on " << options.address << " port " << server.port() << " control-port "
              << server.controlPort() << std::endl;
    event_base_dispatch(base.get());
    return 0;
}

} // namespace

int runStoreProgram(int argc, char** argv, const char* name, const char* summary, StoreService& service)
{
    cxxopts::Options options(name, summary);
    // clang-format off
    options.add_options()
        ("address", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))
        ("port", "port of the store; 0 lets the system choose", cxxopts::value<uint16_t>()->default_value("0"))
        ("control-port", "port of POST /control and GET /counters that stays open while the store refuses connections;"
                         " 0 lets the system choose", cxxopts::value<uint16_t>()->default_value("0"))
        ("seed", "seed of random faults", cxxopts::value<uint64_t>()->default_value("1"))
        ("h,help", "print this text");
    // clang-format on
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help")) {
            std::cout
                << options.help()
                << "\nFaults are set by POST /control with a JSON body, for example {\"down\": \"close\"},\n"
                   "{\"slowMs\": 200}, {\"dropNext\": 3} or {\"writesPerSecond\": 50}. Fields left out return to\n"
                   "their defaults. Fields: down (up, close, refuse), slowMs, dropNext, dropRate, lateRate, lateMs,\n"
                   "isAppliedLate, writesPerSecond, readsPerSecond. SIGTERM ends the program.\n";
            return 0;
        }
        return serve({ .address = parsed["address"].as<std::string>(),
                         .port = parsed["port"].as<uint16_t>(),
                         .controlPort = parsed["control-port"].as<uint16_t>(),
                         .seed = parsed["seed"].as<uint64_t>() },
            name, service);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << name << ": " << error.what() << "\n";
        return 2;
    }
}

} // namespace Berylport
