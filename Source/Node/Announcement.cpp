// Parses announcements with Cap'n Proto's JSON codec.
#include "Node/Announcement.h"

#include <Local.capnp.h>
#include <capnp/compat/json.h>
#include <capnp/message.h>

namespace Berylport {

namespace {

constexpr std::string_view loopback = "127.0.0.1";
constexpr uint16_t defaultSlots = 10;
constexpr uint16_t maximumSlots = 10'000;

std::optional<TargetState> parseState(std::string_view text)
{
    if (text.empty() || text == "ready")
        return TargetState::Ready;
    if (text == "starting")
        return TargetState::Starting;
    if (text == "draining")
        return TargetState::Draining;
    return std::nullopt;
}

std::string_view view(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

Result<TargetAnnouncement, AnnouncementError> check(Schema::Announcement::Reader reader)
{
    TargetAnnouncement announcement;
    if (!isValidName(view(reader.getService())))
        return AnnouncementError::InvalidService;
    if (!reader.getPort())
        return AnnouncementError::InvalidPort;
    if (reader.getSlots() > maximumSlots)
        return AnnouncementError::InvalidSlots;
    auto state = parseState(view(reader.getState()));
    if (!state)
        return AnnouncementError::InvalidState;
    announcement.service = ServiceName(view(reader.getService()));
    announcement.endpoint = { .address = std::string(loopback), .port = reader.getPort() };
    announcement.slots = reader.getSlots() ? reader.getSlots() : defaultSlots;
    announcement.state = *state;
    return announcement;
}

} // namespace

std::string_view toText(AnnouncementError ec)
{
    switch (ec) {
    case AnnouncementError::NotJson:
        return "the body is not a JSON object with service, port, slots and state";
    case AnnouncementError::InvalidService:
        return "service must be a valid service name";
    case AnnouncementError::InvalidPort:
        return "port must be 1 to 65535";
    case AnnouncementError::InvalidSlots:
        return "slots must be 1 to 10000";
    case AnnouncementError::InvalidState:
        return "state must be starting, ready or draining";
    case AnnouncementError::InvalidInstance:
        return "the target's id, address or start time is missing or invalid";
    case AnnouncementError::WrongMethod:
        return "POST announces a target, DELETE withdraws it";
    }
    return "unknown";
}

Result<TargetAnnouncement, AnnouncementError> parseAnnouncement(std::string_view json)
{
    try {
        capnp::JsonCodec codec;
        capnp::MallocMessageBuilder message;
        auto root = message.initRoot<Schema::Announcement>();
        codec.decode(kj::arrayPtr(json.data(), json.size()), root);
        return check(root.asReader());
    } catch (const kj::Exception&) {
        return AnnouncementError::NotJson;
    }
}

} // namespace Berylport
