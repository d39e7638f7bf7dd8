// What the AdmissionController asks its node to do.
#pragma once

#include "Base/Base.h"

#include <variant>
#include <vector>

namespace Berylport {

// Sends the request to the target. Every start is followed by exactly one targetAnswered, targetLost or
// targetNotReached; the slot stays in use until then.
struct StartOnTarget {
    AttemptId id;
    ServiceName service {};
    TenantName tenant {};
    RequestKind kind { RequestKind::AtMostOnce };
    Instant deadline {};
    HttpRequest http {};
    std::string requestId {};
};

// Closes the target connection of a running attempt; the node then reports targetLost.
struct CancelOnTarget {
    AttemptId id;
};

struct Reply {
    LinkId link;
    CallReply reply;
};

struct AnswerQuery {
    LinkId link;
    QueryReply reply;
};

using AdmissionAction = std::variant<StartOnTarget, CancelOnTarget, Reply, AnswerQuery>;
using AdmissionActions = std::vector<AdmissionAction>;

} // namespace Berylport
