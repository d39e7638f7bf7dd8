// Token bucket that paces the starts at one target by the request limit that the target names in its answers: the
// requests per second that it takes from all nodes together. All calls to a target start at one node, so no node has to
// share the limit with others.
#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <optional>

namespace Berylport {

class RequestLimiter {
public:
    struct Options {
        // The requests of this time at the limit may start at once, at least one.
        Duration burstTime { std::chrono::milliseconds(500) };
    };

    RequestLimiter()
        : RequestLimiter(Options {})
    {
    }
    explicit RequestLimiter(const Options& options)
        : m_options(options)
    {
    }

    // The target named this limit in requests per second, or none, in its answer to a request sent at the given time.
    // An answer may overtake an earlier one, so only a request sent after the limit was last named can end it. Returns
    // whether the limit changed.
    bool recordAnswer(std::optional<double> limit, Instant sentAt, Instant now);
    // The target is another process.
    void reset();

    // Requests per second; empty if the target names none.
    std::optional<double> limit() const { return m_limit; }
    bool mayStart(Instant now) const;
    void recordStart(Instant now);
    // No byte of a started request has reached the target.
    void revokeStart(Instant now);
    // Earliest time of the next start; meaningful only with a limit.
    Instant nextStartAt() const;
    // Time until this many more requests may have started; zero without a limit, at most an hour.
    Duration waitFor(size_t requests, Instant now) const;
    // Mean time between starts; zero without a limit, at most an hour.
    Duration interval() const;

private:
    double capacity() const;
    double tokensAt(Instant now) const;
    void setTokens(double tokens, Instant now);

    Options m_options;
    std::optional<double> m_limit;
    // When the latest answer with a limit arrived.
    Instant m_namedAt;
    // Between minus one and the capacity, as of m_updatedAt. Negative after a start that could not wait.
    double m_tokens { 0 };
    Instant m_updatedAt;
};

} // namespace Berylport
