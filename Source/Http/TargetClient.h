// Client for one target on this VM: whole answers only, over a bounded pool of kept connections.
//
// evhttp connects, writes requests and keeps connections. As in the server, its reader of answers is replaced by the
// strict ResponseParser: evhttp 2.1.12 takes whatever follows an answer in the same read as the begin of the answer to
// the next request, and cannot tell a body that ends with the connection from a truncated one. A callback on the
// input buffer takes the target's bytes; once an answer is whole, evhttp gets a fixed "204" in its place, which makes
// it keep the connection.
//
// The client never sends a request twice. evhttp's retries are set to 0, and a connection carries one request at a
// time, so that evhttp has no queued request to send again after a failure.
#pragma once

#include "Base/CallMessages.h"
#include "Base/HttpMessage.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Http/MessageParser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

struct event_base;

namespace Berylport {

struct TargetClientOptions {
    ParseLimits limits { .headBytes = 16 * 1024, .bodyBytes = 4 * 1024 * 1024 };
    // The target is on this VM, where a connection is made in microseconds unless its listen queue is full.
    Duration connectTime { std::chrono::seconds(1) };
    // The number of connections that a target server accepts.
    uint32_t maxConnections { 250 };
    // Of all answers that are being read. Above it only the oldest request's answer is read on, up to its own limit,
    // until others have ended. Zero: no bound.
    size_t maximumHeldBytes { 0 };
    // Whether the kernel probes connections on which nothing is sent for a second, and ends those whose peer is gone.
    bool detectsDeadPeer { false };
    // A kept connection that is idle for longer is not used again.
    Duration idleTime { std::chrono::seconds(30) };
    // The same for a request that is not idempotent: a target may close an idle connection while the request is on its
    // way, which loses the outcome. Servers use idle timeouts of seconds, so one that answered less than this long ago
    // is not about to close for idleness.
    Duration freshTime { std::chrono::milliseconds(500) };
};

enum class NotSentReason : uint8_t {
    ConnectFailed,
    ConnectTimeout,
    DeadlinePassed,
    // Every connection is in use.
    PoolFull,
    // The request cannot be written as HTTP/1.1 without changing its meaning.
    InvalidRequest,
};

constexpr std::string_view toText(NotSentReason reason)
{
    switch (reason) {
    case NotSentReason::ConnectFailed:
        return "connect-failed";
    case NotSentReason::ConnectTimeout:
        return "connect-timeout";
    case NotSentReason::DeadlinePassed:
        return "deadline-passed";
    case NotSentReason::PoolFull:
        return "pool-full";
    case NotSentReason::InvalidRequest:
        return "invalid-request";
    }
    return "unknown";
}

// No byte of the request has left this process, and none will.
struct NotSent {
    NotSentReason reason { NotSentReason::ConnectFailed };
};

// The request may have run and its answer cannot be had.
struct Lost {
    LossReason reason { LossReason::TargetClosed };
};

using SendResult = std::variant<HttpResponse, NotSent, Lost>;

// Whose answer a target has sent, as far as it says so.
enum class AnswerOwner : uint8_t {
    // This request's.
    Own,
    // Another request's: a late or repeated answer.
    Other,
    // It names no request. Only on a connection that has carried no other request it cannot be another's.
    Unnamed,
};

struct SendOptions {
    Instant deadline;
    bool isIdempotent { false };
    // Whose an answer is; empty accepts any. Another request's answer is skipped and the next one on the connection is
    // taken. One that names no request is lost on a connection that was used before, and ends its connection otherwise.
    std::function<AnswerOwner(const HttpResponse&)> ownerOf {};
    // What the answer names the request by, if anything. No connection carries two requests with the same one, as a
    // repeated answer to the first could not be told from the answer to the second.
    std::string tag {};
};

struct TargetCall;

// Names one request that was sent. May outlive the client.
class SendHandle {
public:
    SendHandle() = default;
    explicit SendHandle(std::weak_ptr<TargetCall> call)
        : m_call(std::move(call))
    {
    }

    // Gives the request up: its connection is closed and no result is delivered, not even one that is already known.
    // Returns true when no byte of the request had left, so it has not run and will not.
    bool cancel();

private:
    std::weak_ptr<TargetCall> m_call;
};

class TargetClient {
public:
    // May send and cancel, but must not delete the client.
    using Done = std::function<void(SendResult)>;

    TargetClient(event_base*, Endpoint, TargetClientOptions = {});
    // Closes every connection; no result is delivered any more.
    ~TargetClient();
    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    // Sends one request. The result comes in a later turn of the loop, at the latest at the deadline. Headers are sent
    // as given, less the hop-by-hop ones; Content-Length is computed, and Host is added when absent.
    SendHandle send(HttpRequest, SendOptions, Done);
    size_t connectionCount() const;
    // What the answers that are being read take.
    size_t heldBytes() const;
    size_t idleConnectionCount() const;

    struct State;

private:
    std::unique_ptr<State> m_state;
};

} // namespace Berylport
