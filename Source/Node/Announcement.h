// What a target says of itself to the node beside it.
#pragma once

#include "Base/Base.h"

#include <string>
#include <string_view>

namespace Berylport {

struct TargetAnnouncement {
    ServiceName service;
    Endpoint endpoint;
    uint16_t slots { 0 };
    TargetState state { TargetState::Ready };
    // The target's own id; a restart mostly brings another one. Empty when it gives none.
    std::string instance {};
    // Milliseconds since the Unix epoch at which the target started, on its own clock. Zero when it does not say.
    uint64_t startedAtMilliseconds { 0 };
    // Grows with each announcement of one start. Zero when the target does not number them.
    uint64_t sequence { 0 };
    // For how much longer it is slow after its start.
    Duration coldFor {};
};

enum class AnnouncementError : uint8_t {
    NotJson,
    InvalidService,
    InvalidPort,
    InvalidSlots,
    InvalidState,
    InvalidInstance,
    WrongMethod,
};

std::string_view toText(AnnouncementError);

// Body of POST /announce. Slots default to 10 and the state to ready.
Result<TargetAnnouncement, AnnouncementError> parseAnnouncement(std::string_view json);

} // namespace Berylport
