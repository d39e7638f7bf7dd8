// Errors of the platform's stores, and the form of every completion callback.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Berylport {

enum class StoreErrorCode : uint8_t {
    // The request was not carried out and will not be.
    Unavailable,
    // No answer came. A write may have taken effect or may still do so.
    Timeout,
    // A condition did not hold; the request changed nothing and will not.
    Conflict,
    NotFound,
    // The store rejected the request as invalid, or the answer to a read was unreadable.
    Malformed,
    // Over the store's rate. The request was not carried out and will not be.
    Throttled,
    // The store no longer knows what changed since the position asked for.
    HistoryLost,
};

constexpr std::string_view toText(StoreErrorCode code)
{
    switch (code) {
    case StoreErrorCode::Unavailable:
        return "unavailable";
    case StoreErrorCode::Timeout:
        return "timeout";
    case StoreErrorCode::Conflict:
        return "conflict";
    case StoreErrorCode::NotFound:
        return "not-found";
    case StoreErrorCode::Malformed:
        return "malformed";
    case StoreErrorCode::Throttled:
        return "throttled";
    case StoreErrorCode::HistoryLost:
        return "history-lost";
    }
    return "unknown";
}

struct StoreError {
    StoreErrorCode code { StoreErrorCode::Unavailable };
    // Conflict only: the row whose condition failed and the version found there, zero when the row is absent.
    std::string key {};
    uint64_t versionFound { 0 };
    // Throttled only.
    Duration retryAfter {};
    // For logs.
    std::string text {};
    bool operator==(const StoreError&) const = default;
};

template <typename T> using StoreResult = Result<T, StoreError>;

// Called once, later than the call that it completes and never from inside it, with the time of the completion. Not
// called when the client is destroyed first.
template <typename T> using Completion = std::function<void(Instant now, StoreResult<T>)>;

// Result of an operation that returns no data.
struct Done {
    bool operator==(const Done&) const = default;
};

} // namespace Berylport
