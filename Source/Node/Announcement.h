// What a target says of itself to the node beside it.
#pragma once

#include "Base/Base.h"

#include <string_view>

namespace Berylport {

struct TargetAnnouncement {
    ServiceName service;
    uint16_t port { 0 };
    uint16_t slots { 0 };
    TargetState state { TargetState::Ready };
};

enum class AnnouncementError : uint8_t {
    NotJson,
    InvalidService,
    InvalidPort,
    InvalidSlots,
    InvalidState,
};

std::string_view toText(AnnouncementError);

// Body of POST /announce. Slots default to 10 and the state to ready.
Result<TargetAnnouncement, AnnouncementError> parseAnnouncement(std::string_view json);

} // namespace Berylport
