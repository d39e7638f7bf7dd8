// Native headers and announcements, as described in docs/callers.md and docs/targets.md.
#pragma once

#include "Node/Dialect.h"

namespace Berylport {

class NativeDialect final : public Dialect {
public:
    Result<CallerRequest, EntryRefusal> readCaller(const HttpRequest&) const override;
    void prepareForward(HttpRequest&, std::string_view originService) const override;
    std::optional<std::string_view> readKey(const HttpRequest& request) const override
    {
        return readBearerKey(request);
    }
    void setAccount(HttpRequest&, std::string_view name) const override;
    void prepareForTarget(HttpRequest&, const TargetRequestContext&) const override;
    TargetReport readTargetAnswer(const HttpResponse&) const override;
    std::string answerTag(const TargetRequestContext&) const override;
    bool allowsCloseDelimitedAnswers() const override { return false; }
    void setRetryAfter(HttpResponse&, Duration) const override;
    TargetMessageRead readTargetMessage(const HttpRequest&) const override;
    HttpResponse acknowledge(TargetState) const override;
};

} // namespace Berylport
