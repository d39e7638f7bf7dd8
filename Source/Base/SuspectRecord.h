// What nodes know of requests under which targets ended.
#pragma once

#include "Base/Time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Berylport {

// Two requests have the same fingerprint if their origin, account, destination, method, path with query, and body are
// the same. Nobody can make a request that has the fingerprint of another caller's, as both parts are cryptographic
// hashes.
struct RequestFingerprint {
    using Part = std::array<uint8_t, 12>;
    // Of everything but the body, and of the length of the body. Cheap, so it is compared first.
    Part head {};
    Part body {};
    // clang-tidy 14 takes the literal zero inside a defaulted operator<=> for a null pointer.
    auto operator<=>(const RequestFingerprint&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class Suspicion : uint8_t {
    None,
    // A target has ended under it. It may run, but not beside another suspect.
    Suspect,
    // Two have, so it gets no further attempt within one call.
    Repeated,
    // Three have. It is not sent to a target.
    Refused,
};

constexpr std::string_view toText(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::None:
        return "none";
    case Suspicion::Suspect:
        return "suspect";
    case Suspicion::Repeated:
        return "repeated";
    case Suspicion::Refused:
        return "refused";
    }
    return "unknown";
}

// What one node tells another about a request.
struct SuspectRecord {
    RequestFingerprint fingerprint;
    // Numbers of the target ends under it, sorted; empty if it is refused, as they have no more use then.
    std::vector<uint64_t> ends;
    bool isRefused { false };
    // On the clock of the node that holds the record; ages on the wire.
    Instant lastEndAt;
    // When it last ended well, if that was after the ends above or shortly before.
    std::optional<Instant> goodEndAt;
    bool operator==(const SuspectRecord&) const = default;
};

} // namespace Berylport

template <> struct std::hash<Berylport::RequestFingerprint> {
    size_t operator()(const Berylport::RequestFingerprint& fingerprint) const noexcept
    {
        uint64_t head = 0;
        uint64_t body = 0;
        std::memcpy(&head, fingerprint.head.data(), sizeof head);
        std::memcpy(&body, fingerprint.body.data(), sizeof body);
        return head ^ (body << 1);
    }
};
