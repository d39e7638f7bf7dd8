// How callers and targets speak to a node. A node reads and writes their messages only through a dialect, so that it
// can serve an environment whose headers and announcements differ from this product's own. A dialect translates and
// decides nothing.
#pragma once

#include "Admission/Admission.h"
#include "Node/Announcement.h"
#include "Node/CallerAnswers.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Berylport {

// What accompanies a request to a target.
struct TargetHandover {
    CallId call;
    // The target stops work after this time.
    Duration remaining {};
    // As the caller named its request; empty when it did not.
    std::string_view requestId;
    // The target's own id from its announcement; empty when it gave none. Another process on its address then refuses
    // the request.
    std::string_view instance;
};

// What an answer of a target says besides its content.
struct TargetReport {
    // The target states that it did not run the request and will not.
    bool hasNotRun { false };
    // Equals answerTag() of the request that the answer belongs to; empty when it does not say.
    std::string answerTag;
    std::optional<ReportedLoad> load;
};

// "running,waiting,slots" with the VM's slowness in percent as an optional fourth figure.
std::optional<ReportedLoad> parseReportedLoad(std::string_view);

// The target ends; no new work is to reach it.
struct TargetWithdrawal {
    // Empty in dialects without ids.
    std::string instance;
    ServiceName service;
};

// The message is about something else.
struct NoAnnouncement { };

using TargetMessageRead = std::variant<TargetAnnouncement, TargetWithdrawal, AnnouncementError, NoAnnouncement>;

class Dialect {
public:
    virtual ~Dialect() = default;

    virtual Result<CallerRequest, EntryRefusal> readCaller(const HttpRequest&) const = 0;
    // Removes what is between the caller and this node and adds what the target is told about the caller.
    virtual void prepareForward(HttpRequest&, std::string_view originService) const = 0;
    virtual void prepareForTarget(HttpRequest&, const TargetHandover&) const = 0;
    virtual TargetReport readTargetAnswer(const HttpResponse&) const = 0;
    // What a target repeats in its answer to this request.
    virtual std::string answerTag(const TargetHandover&) const = 0;
    // Targets may send answers without a length, which end with their connection.
    virtual bool allowsCloseDelimitedAnswers() const = 0;
    // Tells the caller when to come back.
    virtual void setRetryAfter(HttpResponse&, Duration) const = 0;
    virtual TargetMessageRead readTargetMessage(const HttpRequest&) const = 0;
    virtual HttpResponse acknowledge(TargetState) const = 0;
};

} // namespace Berylport
