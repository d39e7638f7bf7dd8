// State machine of one configuration change.
#include "Configuration/ChangeTracker.h"

#include "Base/Overloaded.h"

namespace Berylport {

std::string_view toText(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Pending:
        return "pending";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::NotFound:
        return "not-found";
    case ChangeOutcome::AlreadyExists:
        return "already-exists";
    case ChangeOutcome::Invalid:
        return "invalid";
    case ChangeOutcome::StoreUnavailable:
        return "store-unavailable";
    case ChangeOutcome::Unresolved:
        return "unresolved";
    }
    return "unknown";
}

std::string writeToken(std::string_view changeToken, uint64_t expectedHead)
{
    return std::string(changeToken) + "@" + std::to_string(expectedHead);
}

const ServiceName& ChangeTracker::serviceName() const
{
    return std::visit(Overloaded {
                          [](const PutService& it) -> const ServiceName& { return it.definition.name; },
                          [](const RemoveService& it) -> const ServiceName& { return it.name; },
                      },
        m_request.change);
}

void ChangeTracker::start(Instant now, std::vector<ChangeAction>& actions)
{
    m_writeDeadline = now + m_options.writeTimeout;
    if (auto* put = std::get_if<PutService>(&m_request.change))
        m_fault = validate(put->definition);
    if (m_fault)
        finish(ChangeOutcome::Invalid, actions);
    else
        read(actions);
}

void ChangeTracker::read(std::vector<ChangeAction>& actions)
{
    m_state = State::Reading;
    actions.push_back(ReadForChange { .service = serviceName() });
}

void ChangeTracker::write(std::vector<ChangeAction>& actions)
{
    m_state = State::Writing;
    ServiceChange change = m_request.change;
    if (auto* put = std::get_if<PutService>(&change))
        put->definition.version = m_head + 1;
    actions.push_back(WriteChange {
        .token = writeToken(m_request.token, m_head), .expectedHead = m_head, .change = std::move(change) });
}

std::optional<ChangeOutcome> ChangeTracker::checkPrecondition(const std::optional<ServiceDefinition>& found) const
{
    if (!found && (m_request.expectedVersion || std::holds_alternative<RemoveService>(m_request.change)))
        return ChangeOutcome::NotFound;
    if (found && !m_request.expectedVersion)
        return ChangeOutcome::AlreadyExists;
    if (found && found->version != m_request.expectedVersion)
        return ChangeOutcome::Conflict;
    return std::nullopt;
}

void ChangeTracker::rowsRead(
    uint64_t head, const std::optional<ServiceDefinition>& found, Instant now, std::vector<ChangeAction>& actions)
{
    if (m_state != State::Reading)
        return;
    m_head = head;
    if (auto outcome = checkPrecondition(found)) {
        finish(*outcome, actions, found ? found->version : 0);
        return;
    }
    if (now >= m_writeDeadline)
        finish(ChangeOutcome::StoreUnavailable, actions);
    else
        write(actions);
}

void ChangeTracker::readFailed(Instant now, std::vector<ChangeAction>& actions)
{
    if (m_state != State::Reading)
        return;
    m_state = State::WaitingToRead;
    m_nextAttempt = now + m_options.storeRetryInterval;
    tick(now, actions);
}

void ChangeTracker::writeFinished(WriteResult result, Instant now, std::vector<ChangeAction>& actions)
{
    if (m_state != State::Writing)
        return;
    switch (result) {
    case WriteResult::Written:
        m_recordedVersion = m_head + 1;
        m_confirmationDeadline = now + m_options.confirmationTimeout;
        m_state = State::ReadingZones;
        actions.push_back(ReadZoneConfirmations {});
        return;
    case WriteResult::HeadMoved:
        // The table deduplicates by token, so an earlier attempt with a lost response would have been reported as
        // written.
        m_isWriteAmbiguous = false;
        read(actions);
        return;
    case WriteResult::Unknown:
        m_isWriteAmbiguous = true;
        [[fallthrough]];
    case WriteResult::Unavailable:
        m_state = State::WaitingToResend;
        m_nextAttempt = now + m_options.storeRetryInterval;
        tick(now, actions);
        return;
    }
}

void ChangeTracker::zonesRead(
    const std::vector<ZoneConfirmation>& zones, Instant now, std::vector<ChangeAction>& actions)
{
    if (m_state != State::ReadingZones)
        return;
    m_missingZones.clear();
    for (auto& it : zones) {
        if (it.version < m_recordedVersion)
            m_missingZones.push_back(it.zone);
    }
    // Without a registered zone there is no confirmation.
    if (m_missingZones.empty() && !zones.empty()) {
        finish(ChangeOutcome::Accepted, actions, m_recordedVersion);
        return;
    }
    m_state = State::Confirming;
    m_nextAttempt = now + m_options.confirmationPollInterval;
    tick(now, actions);
}

void ChangeTracker::zonesReadFailed(Instant now)
{
    if (m_state != State::ReadingZones)
        return;
    m_state = State::Confirming;
    m_nextAttempt = now + m_options.confirmationPollInterval;
}

void ChangeTracker::tick(Instant now, std::vector<ChangeAction>& actions)
{
    bool isWriting = m_state == State::WaitingToRead || m_state == State::WaitingToResend;
    if (isWriting && now >= m_writeDeadline) {
        finish(m_isWriteAmbiguous ? ChangeOutcome::Unresolved : ChangeOutcome::StoreUnavailable, actions);
        return;
    }
    if (m_state == State::Confirming && now >= m_confirmationDeadline) {
        finish(ChangeOutcome::Pending, actions, m_recordedVersion);
        return;
    }
    if (now < m_nextAttempt)
        return;
    if (m_state == State::WaitingToRead)
        read(actions);
    else if (m_state == State::WaitingToResend)
        write(actions);
    else if (m_state == State::Confirming) {
        m_state = State::ReadingZones;
        actions.push_back(ReadZoneConfirmations {});
    }
}

void ChangeTracker::finish(ChangeOutcome outcome, std::vector<ChangeAction>& actions, uint64_t version)
{
    m_state = State::Finished;
    actions.push_back(
        FinishChange { .outcome = outcome, .version = version, .missingZones = m_missingZones, .fault = m_fault });
}

} // namespace Berylport
