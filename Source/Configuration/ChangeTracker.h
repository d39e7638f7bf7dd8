// Tracks one operator's change: reads the current version, writes conditionally, then waits until every registered zone
// has confirmed it.
#pragma once

#include "Base/ServiceDefinition.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Berylport {

struct PutService {
    ServiceDefinition definition;
};

struct RemoveService {
    ServiceName name;
};

using ServiceChange = std::variant<PutService, RemoveService>;

// Read the head version and the service's row together.
struct ReadForChange {
    ServiceName service;
};

// Write only if the head still has the expected version. The token makes a repeated write idempotent.
struct WriteChange {
    std::string token;
    uint64_t expectedHead { 0 };
    ServiceChange change;
};

struct ReadZoneConfirmations { };

struct ZoneConfirmation {
    ZoneName zone;
    uint64_t version { 0 };
};

enum class ChangeOutcome : uint8_t {
    // Durable and confirmed by every registered zone.
    Accepted,
    // Durable, never withdrawn, not yet confirmed by the zones named.
    Pending,
    // The service's version differs from the one the operator read; nothing was written.
    Conflict,
    NotFound,
    AlreadyExists,
    Invalid,
    // The table did not answer before anything was written.
    StoreUnavailable,
    // The write may have taken effect; it is safe to retry with the same token.
    Unresolved,
};

std::string_view toText(ChangeOutcome);

struct FinishChange {
    ChangeOutcome outcome { ChangeOutcome::Unresolved };
    // Configuration version of the change, or for a conflict the version that the service has.
    uint64_t version { 0 };
    std::vector<ZoneName> missingZones;
    std::optional<DefinitionError> fault;
};

using ChangeAction = std::variant<ReadForChange, WriteChange, ReadZoneConfirmations, FinishChange>;

enum class WriteResult : uint8_t {
    Written,
    // The head version has advanced; nothing was written.
    HeadMoved,
    // No response, so the write may have taken effect.
    Unknown,
    Unavailable,
};

class ChangeTracker {
public:
    struct Options {
        Duration writeTimeout { std::chrono::seconds(5) };
        // Time within which a change takes effect everywhere in a healthy fleet.
        Duration confirmationTimeout { std::chrono::seconds(4) };
        Duration confirmationPollInterval { std::chrono::milliseconds(250) };
        Duration storeRetryInterval { std::chrono::milliseconds(200) };
    };

    struct Request {
        ServiceChange change;
        // Service version that the operator read; zero when the service must not exist yet.
        uint64_t expectedVersion { 0 };
        // Idempotency token: unique per change and the same for its retries.
        std::string token;
    };

    ChangeTracker(const Options& options, Request request)
        : m_options(options)
        , m_request(std::move(request))
    {
    }

    void start(Instant now, std::vector<ChangeAction>&);
    // The service's definition is absent when its row is.
    void rowsRead(uint64_t head, const std::optional<ServiceDefinition>&, Instant now, std::vector<ChangeAction>&);
    void readFailed(Instant now, std::vector<ChangeAction>&);
    void writeFinished(WriteResult, Instant now, std::vector<ChangeAction>&);
    void zonesRead(const std::vector<ZoneConfirmation>&, Instant now, std::vector<ChangeAction>&);
    void zonesReadFailed(Instant now);
    void tick(Instant now, std::vector<ChangeAction>&);

    bool isFinished() const { return m_state == State::Finished; }

private:
    enum class State : uint8_t {
        Reading,
        WaitingToRead,
        Writing,
        // The write's response was lost or the store was unavailable; the write is retried with the same token.
        WaitingToResend,
        Confirming,
        ReadingZones,
        Finished,
    };

    const ServiceName& serviceName() const;
    std::optional<ChangeOutcome> checkPrecondition(const std::optional<ServiceDefinition>&) const;
    void read(std::vector<ChangeAction>&);
    void write(std::vector<ChangeAction>&);
    void finish(ChangeOutcome, std::vector<ChangeAction>&, uint64_t version = 0);

    Options m_options;
    Request m_request;
    State m_state { State::Reading };
    Instant m_writeDeadline;
    Instant m_confirmationDeadline;
    Instant m_nextAttempt;
    uint64_t m_head { 0 };
    uint64_t m_recordedVersion { 0 };
    // Set when the response to a write was lost; from then on the outcome cannot be StoreUnavailable.
    bool m_isWriteAmbiguous { false };
    std::vector<ZoneName> m_missingZones;
    std::optional<DefinitionError> m_fault;
};

// Token of one write attempt. It includes the head version, so that an attempt against a newer head is a separate
// transaction.
std::string writeToken(std::string_view changeToken, uint64_t expectedHead);

} // namespace Berylport
