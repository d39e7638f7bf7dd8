// Recognizes a request that comes again under another id, at any node.
#pragma once

#include "Base/HttpMessage.h"
#include "Base/SuspectRecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

// Who sends a request, and to whom.
struct RequestScope {
    // The service on the VM where it began.
    std::string_view origin;
    // Client account.
    std::string_view account;
    // Host that the routes are chosen by, or the service where there are no routes.
    std::string_view destination;
};

RequestFingerprint::Part hashHead(const RequestScope&, const HttpRequest&);
RequestFingerprint hashRequest(const RequestScope&, const HttpRequest&);

// Hexadecimal.
std::string toText(const RequestFingerprint&);
std::optional<RequestFingerprint> parseFingerprint(std::string_view);

} // namespace Berylport
