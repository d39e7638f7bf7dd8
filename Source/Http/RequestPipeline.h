// Order of the requests of one caller's connection: which may begin, whose answer is written next, and how much may be
// held for a caller that sends further requests before it has its answers. No sockets, no clock.
//
// Answers are written in the order of the requests. Idempotent requests run side by side; any other one begins only
// when it is the oldest, and nothing behind it begins before its answer has been written, so requests of one caller
// never overtake a change that it has asked for.
#pragma once

#include "Base/HttpMessage.h"
#include "Base/Time.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace Berylport {

class HttpExchange;

// One connection's bounds, beyond its oldest request, which is always served. Above them reading stops.
struct PipelineLimits {
    // Requests behind the oldest one, begun or not.
    uint32_t requests { 16 };
    // Bytes of requests that have not begun.
    size_t requestBytes { 64 * 1024 };
    // Bytes of answers that wait for earlier ones. No further request begins above it, so it is exceeded at most by the
    // answers to those that have begun.
    size_t answerBytes { 1024 * 1024 };
};

// What all connections of a server hold together, beyond the oldest request of each.
struct PipelineBudget {
    uint32_t maximumRequests { 4096 };
    size_t maximumBytes { 32 * 1024 * 1024 };
    // Sums over the pipelines that refer to this budget.
    uint32_t requests { 0 };
    size_t bytes { 0 };

    bool hasRoom() const { return requests < maximumRequests && bytes < maximumBytes; }
};

struct PipelinedRequest {
    // Counts the requests of the connection; never used twice.
    uint64_t sequence { 0 };
    // Until it has begun.
    std::optional<HttpRequest> request;
    // Until it is written.
    std::optional<HttpResponse> answer;
    // Bytes of the request as received.
    size_t bytes { 0 };
    // When its last byte was read.
    Instant readAt;
    bool isHead { false };
    // The connection ends with its answer.
    bool closesConnection { false };
    bool runsBesideOthers { false };
    // Weak, so that an exchange which the handler drops is answered.
    std::weak_ptr<HttpExchange> exchange {};

    bool hasBegun() const { return !request; }
};

class RequestPipeline {
public:
    // The budget must outlive the pipeline.
    RequestPipeline(PipelineLimits, PipelineBudget&);
    ~RequestPipeline();
    RequestPipeline(const RequestPipeline&) = delete;
    RequestPipeline& operator=(const RequestPipeline&) = delete;

    bool isEmpty() const { return m_requests.empty(); }
    size_t size() const { return m_requests.size(); }
    // Of requests that have not begun and answers that are not written yet.
    size_t heldBytes() const { return answerBytes() + waitingBytes(); }
    // Whether more may be read, with so many bytes of an unfinished request read already.
    bool takesMore(size_t unfinishedBytes) const;
    // Gives the request its sequence number.
    void push(PipelinedRequest);
    // The request that may begin now, with its request taken out; nothing while the next one has to wait.
    std::optional<HttpRequest> beginNext(uint64_t& sequence);
    // Null when the request has left the pipeline.
    PipelinedRequest* find(uint64_t sequence);
    // Keeps the answer until its turn. Without effect when the request has left the pipeline.
    void answer(uint64_t sequence, HttpResponse);
    // The oldest request; the pipeline must not be empty.
    PipelinedRequest& front() { return m_requests.front(); }
    void pop();
    // Drops the first request behind the oldest one that has not begun, and all after it.
    void dropWaiting();

private:
    PipelinedRequest* next();
    size_t answerBytes() const;
    size_t waitingBytes() const;
    void updateBudget();

    PipelineLimits m_limits;
    PipelineBudget& m_budget;
    // In the order of arrival. Those that have begun stand in front of those that have not; only a refusal, which the
    // server answers itself, may follow the latter.
    std::deque<PipelinedRequest> m_requests;
    uint64_t m_lastSequence { 0 };
    // This pipeline's part of the budget's sums.
    uint32_t m_countedRequests { 0 };
    size_t m_countedBytes { 0 };
};

} // namespace Berylport
