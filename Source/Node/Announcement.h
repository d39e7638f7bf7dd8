// Announcement that a target sends to the node on its VM, and its parser.
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
    // Instance id chosen by the target; usually changes when it restarts. Empty if the target sends none.
    std::string instance {};
    // Start time by the target's clock, in milliseconds since the Unix epoch. Zero if not sent.
    uint64_t startedAtMilliseconds { 0 };
    // Increases with each announcement of one incarnation. Zero if the target does not number its announcements.
    uint64_t sequence { 0 };
    // Remaining warm-up time, during which the target is slower than usual.
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

// Parses the body of POST /announce. Slots default to 10 and the state to ready.
Result<TargetAnnouncement, AnnouncementError> parseAnnouncement(std::string_view json);

} // namespace Berylport
