// Conversion of results to HTTP answers.
#pragma once

#include "StandIns/Common/StoreServer.h"
#include "Store/StoreMessages.h"

namespace Berylport {

template <typename T, typename Encode> ServiceAnswer toAnswer(const StoreResult<T>& result, Encode encode)
{
    if (result)
        return { .status = 200, .body = encode(result.value()) };
    return { .status = statusOf(result.error().code), .body = encodeError(result.error()) };
}

inline ServiceAnswer malformedAnswer(StoreCounters& counters)
{
    ++counters.malformed;
    StoreError error { .code = StoreErrorCode::Malformed, .text = "invalid request" };
    return { .status = statusOf(error.code), .body = encodeError(error) };
}

} // namespace Berylport
