// Sends the calls of one load at their scheduled times and records what became of each.
#pragma once

#include "Base/Identifiers.h"
#include "Http/EventPointers.h"
#include "Http/Http.h"
#include "Load/ArrivalSchedule.h"
#include "Load/CallReport.h"

#include <memory>
#include <string>
#include <vector>

namespace Berylport {

struct LoadOptions {
    // Calls go to them in turn.
    std::vector<Endpoint> endpoints;
    // The endpoints are targets, whose answers carry no outcome.
    bool isDirect { false };
    std::string service;
    std::string tenant;
    std::string method { "GET" };
    std::string path { "/" };
    size_t bodyBytes { 0 };
    Duration timeout { std::chrono::seconds(10) };
};

class LoadRunner {
public:
    LoadRunner(event_base*, LoadOptions, std::vector<Duration> arrivals);
    // Returns when every call has its record.
    void run();
    const std::vector<CallRecord>& records() const { return m_records; }
    Duration maximumSendDelay() const { return m_maximumSendDelay; }

private:
    void sendDue();
    void send(size_t index, Instant now);
    void finish(size_t index, const SendResult&);
    HttpRequest makeRequest(size_t index) const;

    event_base* m_base;
    LoadOptions m_options;
    std::string m_body;
    std::vector<Duration> m_arrivals;
    std::vector<CallRecord> m_records;
    std::vector<std::unique_ptr<TargetClient>> m_clients;
    TimerPointer m_timer;
    Instant m_start;
    Duration m_maximumSendDelay {};
    size_t m_next { 0 };
    size_t m_finished { 0 };
};

} // namespace Berylport
