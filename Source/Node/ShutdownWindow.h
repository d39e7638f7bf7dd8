// Decides whether a request that arrives during a shutdown may still be started. Callers continue to send requests on
// open connections until the process has terminated.
#pragma once

#include "Base/Time.h"

#include <optional>

namespace Berylport {

struct ShutdownWindow {
    // The first half of the time before the process is killed. Callers that respect readiness have moved by its end.
    Instant noticedAt;
    // All requests end by then.
    Instant terminatesAt;
};

// Without a window the process waits for all started requests. Otherwise a request is started only if its whole timeout
// fits, or before noticedAt, if three times its latency objective does. Any other request could be aborted while it
// runs, leaving the caller with an unknown outcome; a refusal guarantees that it has not run.
bool mayStartRequest(const std::optional<ShutdownWindow>&, Instant now, Duration objective, Duration timeout);

} // namespace Berylport
