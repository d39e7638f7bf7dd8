// Body first, then the row on condition that there is none, then the answer.
#include "Patient/ActionAcceptor.h"

#include <algorithm>
#include <utility>

namespace Berylport {

struct ActionAcceptor::Acceptance {
    std::string token;
    ActionRecord record;
    std::string body;
    Callback callback;
    Instant deadline;
    uint32_t bodySendings { 0 };
};

ActionAcceptor::ActionAcceptor(
    TableClient& table, ObjectClient& objects, WriteBudget& budget, ActionAcceptorOptions options)
    : m_table(table)
    , m_objects(objects)
    , m_budget(budget)
    , m_options(options)
    , m_resolver(table)
{
}

ActionAcceptor::~ActionAcceptor() = default;

void ActionAcceptor::accept(Instant now, AcceptRequest request, Callback callback)
{
    if (!isValidActionToken(request.token)) {
        callback(now, ActionTokenInvalid {});
        return;
    }
    if (m_pending >= m_options.maxPending) {
        callback(now, ActionRefused { .reason = AcceptRefusal::TooManyPending, .retryAfter = m_options.retryAfter });
        return;
    }
    if (!m_budget.take(now)) {
        callback(now, ActionRefused { .reason = AcceptRefusal::WriteBudget, .retryAfter = m_budget.waitTime(now) });
        return;
    }
    ++m_pending;
    auto acceptance = std::make_shared<Acceptance>();
    acceptance->token = std::move(request.token);
    acceptance->callback = std::move(callback);
    acceptance->deadline = now + m_options.deadline;
    auto& record = acceptance->record;
    record.service = std::move(request.service);
    record.tenant = std::move(request.tenant);
    record.fingerprint = actionFingerprint(record.service, record.tenant, request.http);
    record.deduplicates = request.deduplicates;
    record.http = std::move(request.http);
    if (record.http.body.size() > m_options.inlineBodyBytes) {
        record.bodyObject = bodyObjectName(acceptance->token, record.fingerprint);
        acceptance->body = std::exchange(record.http.body, {});
        storeBody(now, std::move(acceptance));
    } else {
        writeRow(now, std::move(acceptance));
    }
}

void ActionAcceptor::storeBody(Instant, Pointer acceptance)
{
    ++acceptance->bodySendings;
    m_objects.put(acceptance->record.bodyObject, acceptance->body,
        [this, alive = std::weak_ptr(m_alive), acceptance](Instant now, StoreResult<Done> result) {
            if (alive.expired())
                return;
            if (result)
                writeRow(now, acceptance);
            else if (result.error().code == StoreErrorCode::Timeout && acceptance->bodySendings < m_options.bodyAttempts
                && now < acceptance->deadline)
                storeBody(now, acceptance);
            else
                finish(now, acceptance, refusal(result.error()));
        });
}

void ActionAcceptor::writeRow(Instant now, Pointer acceptance)
{
    auto key = openActionKey(acceptance->token);
    Transaction transaction { .token = "accept-" + toText(m_options.node) + "-" + std::to_string(m_options.instance)
            + "-" + std::to_string(++m_requests),
        .checks = { { key, RowAbsent {} }, { endedActionKey(acceptance->token), RowAbsent {} } },
        .puts = { { key, encodeActionRecord(acceptance->record) } },
        .deletes = {} };
    m_resolver.transact(now, std::move(transaction), acceptance->deadline,
        [this, alive = std::weak_ptr(m_alive), acceptance](Instant at, StoreResult<TransactionResult> result) {
            if (alive.expired())
                return;
            if (result)
                finish(at, acceptance, ActionAccepted { .token = acceptance->token, .isRepeated = false });
            else if (result.error().code == StoreErrorCode::Conflict)
                readExisting(acceptance, true);
            else if (result.error().code == StoreErrorCode::Timeout)
                finish(at, acceptance, ActionAcceptanceUnknown { .retryAfter = m_options.retryAfter });
            else
                finish(at, acceptance, refusal(result.error()));
        });
}

// The open row is read first: an action only moves from open to ended, so it cannot be missed in between.
void ActionAcceptor::readExisting(Pointer acceptance, bool isOpen)
{
    auto key = isOpen ? openActionKey(acceptance->token) : endedActionKey(acceptance->token);
    m_table.get(
        key, [this, alive = std::weak_ptr(m_alive), acceptance, isOpen](Instant now, StoreResult<TableRow> result) {
            if (alive.expired())
                return;
            if (!result && result.error().code == StoreErrorCode::NotFound && isOpen) {
                readExisting(acceptance, false);
                return;
            }
            auto record = result ? decodeActionRecord(result.value().value) : std::nullopt;
            // Something with this token exists or existed, but not whether it is the same action.
            if (!record)
                finish(now, acceptance, ActionAcceptanceUnknown { .retryAfter = m_options.retryAfter });
            else if (record->fingerprint == acceptance->record.fingerprint)
                finish(now, acceptance, ActionAccepted { .token = acceptance->token, .isRepeated = true });
            else
                finish(now, acceptance, ActionConflict {});
        });
}

ActionRefused ActionAcceptor::refusal(const StoreError& error) const
{
    auto reason
        = error.code == StoreErrorCode::Throttled ? AcceptRefusal::StoreThrottled : AcceptRefusal::StoreUnavailable;
    return { .reason = reason, .retryAfter = std::max(error.retryAfter, m_options.retryAfter) };
}

void ActionAcceptor::finish(Instant now, const Pointer& acceptance, AcceptResult result)
{
    --m_pending;
    acceptance->callback(now, std::move(result));
}

} // namespace Berylport
