// HTTP server of a store stand-in: faults, POST /control, GET /counters.
#pragma once

#include "StandIns/Common/FaultInjector.h"

#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace Berylport {

struct ServiceAnswer {
    int status { 200 };
    std::string body;
};

// The store behind the server.
class StoreService {
public:
    virtual ~StoreService() = default;
    virtual bool isWrite(std::string_view path) const = 0;
    virtual ServiceAnswer serve(Instant now, std::string_view path, const std::string& body) = 0;
    StoreCounters counters;
};

struct StoreServerOptions {
    std::string address { "127.0.0.1" };
    // Zero lets the system choose.
    uint16_t port { 0 };
    // For /control and /counters while the store's port refuses connections. Zero lets the system choose.
    uint16_t controlPort { 0 };
    uint64_t seed { 1 };
};

class StoreServer {
public:
    StoreServer(event_base*, StoreService&, StoreServerOptions);
    ~StoreServer();
    // False when a port could not be opened.
    bool isListening() const;
    uint16_t port() const;
    uint16_t controlPort() const;
    FaultInjector& faults();
    // Sets faults and opens or closes the store's port accordingly.
    void setFaults(const FaultSettings&);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Berylport
