// Settings of the HTTP clients of the platform's stores.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>

namespace Berylport {

struct HttpClientOptions {
    Endpoint server {};
    // From the call to its completion, waiting in the queue included.
    Duration timeout { std::chrono::milliseconds(500) };
    // Requests sent and not answered, one connection each.
    uint32_t maxOutstanding { 32 };
    // Requests waiting for a connection; further ones fail as unavailable.
    uint32_t maxQueued { 256 };
    // The largest object (4 MiB) in base64, with room for the rest of the message.
    uint32_t maxAnswerBytes { 8 * 1024 * 1024 };
    // Of all answers that are being read, beyond the longest one.
    uint32_t maxHeldBytes { 8 * 1024 * 1024 };
    // Failures in a row after which the circuit breaker opens.
    uint32_t failuresToOpen { 5 };
    // Time that the breaker stays open; doubles with each failed probe. The longest is well below the 10 s of a lease,
    // so that a short outage does not cost the lease.
    Duration openTimeMin { std::chrono::milliseconds(100) };
    Duration openTimeMax { std::chrono::seconds(2) };
    // Spreads the probes of many nodes in time.
    uint64_t jitterSeed { 1 };
};

} // namespace Berylport
