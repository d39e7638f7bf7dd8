// Answers a caller's question about a patient action.
#pragma once

#include "Patient/ActionRecord.h"
#include "Store/Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace Berylport {

struct ActionFound {
    ServiceName service;
    ActionState state { ActionState::Accepted };
    // Complete when the state is Done.
    HttpResponse result;
};
// No such action of this tenant, or its retention has ended.
struct ActionNotFound { };
struct ActionStatusUnavailable {
    Duration retryAfter {};
};
using ActionStatusResult = std::variant<ActionFound, ActionNotFound, ActionStatusUnavailable>;

class ActionStatus {
public:
    using Callback = std::function<void(Instant now, ActionStatusResult)>;

    ActionStatus(TableClient&, ObjectClient&, Duration retryAfter = std::chrono::seconds(1));
    // Without a tenant, as operators ask, the action of any tenant is shown.
    void query(std::string token, std::optional<TenantName>, Callback);

private:
    struct Query {
        std::string token;
        std::optional<TenantName> tenant;
        Callback callback;
    };
    void read(std::shared_ptr<Query>, bool isOpen);
    void readResult(std::shared_ptr<Query>, ActionRecord);

    TableClient& m_table;
    ObjectClient& m_objects;
    Duration m_retryAfter;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport
