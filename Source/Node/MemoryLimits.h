// Parts of the process memory for what callers and targets can make a node hold. The rest is for the program itself and
// links.
#pragma once

#include "Settings/Settings.h"

#include <cstddef>

namespace Berylport {

struct MemoryLimits {
    // Connections of callers: requests, and answers until they are taken.
    size_t callerBytes { 0 };
    // Requests that callers have sent ahead.
    size_t pipelinedBytes { 0 };
    // Requests that wait for a slot of the target.
    size_t queuedBytes { 0 };
    // Answers that the ledger keeps for senders that ask again.
    size_t retainedBytes { 0 };
    // Answers that are being read from a target, beyond the longest one.
    size_t answerBytes { 0 };
    // Connections of each of the other HTTP servers: announcements, readiness, metrics.
    size_t otherServerBytes { 0 };
};

// By the setting, or by the memory of the VM.
MemoryLimits memoryLimits(const MemorySection&);
// Has large buffers returned to the system as soon as they are freed. By default the C library keeps more and more of
// them for later use, once some were freed.
void returnFreedMemory();

} // namespace Berylport
