// Stand-in application server for tests and the demo: runs requests with a chosen service time on a number of slots,
// records what it ran, announces itself to its node, and misbehaves on request.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct event_base;

namespace Berylport {

enum class AnswerMode : uint8_t {
    // Content-Length and all of the body.
    Whole,
    // Chunked, with its last chunk.
    Chunked,
    // Content-Length, half of the body, then the connection is closed.
    CloseInBody,
    // Chunked without its last chunk, then the connection is closed.
    TruncateChunks,
};

constexpr std::string_view toText(AnswerMode mode)
{
    switch (mode) {
    case AnswerMode::Whole:
        return "whole";
    case AnswerMode::Chunked:
        return "chunked";
    case AnswerMode::CloseInBody:
        return "close";
    case AnswerMode::TruncateChunks:
        return "truncate";
    }
    return "unknown";
}

std::optional<AnswerMode> parseAnswerMode(std::string_view);

// How requests are answered. Set by POST /behaviour?name=value&... for all later requests (without parameters: as at
// the start) and by the same query parameters for one request.
struct TargetBehaviour {
    // delay=<ms>: added to the service time.
    Duration delay {};
    // status=<code>. fail=1 means status 500 without any service time.
    uint16_t status { 200 };
    bool failsFast { false };
    // freeze=1: requests run and are never answered.
    bool isFrozen { false };
    // end=<ms>: in place of an answer all connections are closed, and new ones refused for this long, as if the process
    // had ended and started again.
    Duration awayTime {};
    // answer=whole|chunked|close|truncate
    AnswerMode answer { AnswerMode::Whole };
    // size=<bytes>: padding added to the body.
    size_t padding { 0 };
    // health=good|bad: what GET /health claims, true or not; without it the claim is true.
    std::optional<bool> claimedHealth;
    // load=<n>: what GET /load claims to be running, true or not.
    std::optional<uint32_t> claimedLoad;
    // request-limit=<number>: named in all answers as the requests per second that the target takes. Nothing enforces
    // it here.
    std::string requestLimit;
    // leaving=1: all answers say that the target shuts down; its announcements do not.
    bool isLeaving { false };
    // deduplicate=1: a request with a known Idempotency-Key gets the first one's answer and does not run.
    bool deduplicates { false };
    // nested-port=<port>, nested-service=<name>, nested-path=<path>: calls this service through the node before it
    // answers.
    uint16_t nestedPort { 0 };
    std::string nestedService;
    std::string nestedPath { "/" };
};

struct StandInTargetOptions {
    Endpoint listen { .address = "127.0.0.1", .port = 0 };
    ServiceName service { "service" };
    uint16_t slots { 10 };
    // Where POST /announce goes; nothing is announced without it.
    std::optional<Endpoint> node {};
    Duration announcePeriod { std::chrono::seconds(2) };
    Duration serviceTime {};
    // Announced as starting, and answers 503 without running anything, for this long.
    Duration startDelay {};
    TargetBehaviour behaviour {};
    // A draining target waits for this long without a request before it ends.
    Duration drainQuietTime { std::chrono::milliseconds(200) };
};

class StandInTarget {
public:
    StandInTarget(event_base*, StandInTargetOptions);
    ~StandInTarget();
    StandInTarget(const StandInTarget&) = delete;
    StandInTarget& operator=(const StandInTarget&) = delete;

    // Empty when the address cannot be bound.
    std::optional<Endpoint> listen();
    // Announces draining, finishes what runs, and then calls the function.
    void drain(std::function<void()> onDrained);
    uint32_t executionCount(std::string_view tag) const;
    uint64_t totalExecutions() const;

    struct State;

private:
    std::unique_ptr<State> m_state;
};

// Hash of a body as the X-Body-Hash header shows it (64-bit FNV-1a in hexadecimal).
std::string hashBody(std::string_view);

} // namespace Berylport
