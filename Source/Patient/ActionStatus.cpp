// Reads the row, then the result.
#include "Patient/ActionStatus.h"

#include <algorithm>
#include <utility>

namespace Berylport {

ActionStatus::ActionStatus(TableClient& table, ObjectClient& objects, Duration retryAfter)
    : m_table(table)
    , m_objects(objects)
    , m_retryAfter(retryAfter)
{
}

void ActionStatus::query(std::string token, std::optional<TenantName> tenant, Callback callback)
{
    // No action has an invalid token. The question still goes to the store, so that the callback comes later.
    if (!isValidActionToken(token))
        token = "-";
    read(std::make_shared<Query>(Query { std::move(token), std::move(tenant), std::move(callback) }), true);
}

// The open row is read first: an action only moves from open to ended, so it cannot be missed in between.
void ActionStatus::read(std::shared_ptr<Query> query, bool isOpen)
{
    auto key = isOpen ? openActionKey(query->token) : endedActionKey(query->token);
    m_table.get(key, [this, alive = std::weak_ptr(m_alive), query, isOpen](Instant now, StoreResult<TableRow> result) {
        if (alive.expired())
            return;
        if (!result && result.error().code == StoreErrorCode::NotFound) {
            if (isOpen)
                read(query, false);
            else
                query->callback(now, ActionNotFound {});
            return;
        }
        auto record = result ? decodeActionRecord(result.value().value) : std::nullopt;
        if (!record) {
            auto wait = result ? m_retryAfter : std::max(m_retryAfter, result.error().retryAfter);
            query->callback(now, ActionStatusUnavailable { .retryAfter = wait });
        } else if (query->tenant && record->tenant != *query->tenant) {
            query->callback(now, ActionNotFound {});
        } else if (!record->resultObject.empty()) {
            readResult(query, std::move(*record));
        } else {
            query->callback(now,
                ActionFound {
                    .service = record->service, .state = record->state, .result = std::move(record->result) });
        }
    });
}

void ActionStatus::readResult(std::shared_ptr<Query> query, ActionRecord record)
{
    auto name = record.resultObject;
    m_objects.get(name,
        [this, alive = std::weak_ptr(m_alive), query, record = std::move(record)](
            Instant now, StoreResult<std::string> result) {
            if (alive.expired())
                return;
            if (!result) {
                auto wait = std::max(m_retryAfter, result.error().retryAfter);
                query->callback(now, ActionStatusUnavailable { .retryAfter = wait });
                return;
            }
            ActionFound found { .service = record.service, .state = record.state, .result = record.result };
            found.result.body = std::move(result.value());
            query->callback(now, std::move(found));
        });
}

} // namespace Berylport
