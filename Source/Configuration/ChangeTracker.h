// One operator's change: reads, writes conditionally, then waits until every registered zone has confirmed it.
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

// Write only if the head still has the expected version. The token makes a repeated write harmless.
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
    // The service has another version than the operator saw; nothing was written.
    Conflict,
    NotFound,
    AlreadyExists,
    Invalid,
    // The table did not answer before anything was written.
    StoreUnavailable,
    // The write may have taken effect; the same token can be sent again without harm.
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
    // The head has moved; nothing was written.
    HeadMoved,
    // No answer, so the write may have taken effect.
    Unknown,
    Unavailable,
};

class ChangeTracker {
public:
    struct Options {
        Duration writeLimit { std::chrono::seconds(5) };
        // Time in which a change is in force everywhere on a healthy fleet.
        Duration confirmLimit { std::chrono::seconds(4) };
        Duration confirmPollInterval { std::chrono::milliseconds(250) };
        Duration storeRetryInterval { std::chrono::milliseconds(200) };
    };

    struct Request {
        ServiceChange change;
        // The version of the service that the operator saw; zero when it must not exist yet.
        uint64_t expectedVersion { 0 };
        // Unique for each change and the same for its repetitions.
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
        // The write's answer was lost; it is sent again with the same token.
        WaitingToResend,
        Confirming,
        ReadingZones,
        Finished,
    };

    const ServiceName& serviceName() const;
    std::optional<ChangeOutcome> check(const std::optional<ServiceDefinition>&) const;
    void read(std::vector<ChangeAction>&);
    void write(std::vector<ChangeAction>&);
    void finish(ChangeOutcome, std::vector<ChangeAction>&, uint64_t version = 0);

    Options m_options;
    Request m_request;
    State m_state { State::Reading };
    Instant m_writeDeadline;
    Instant m_confirmDeadline;
    Instant m_nextStep;
    uint64_t m_head { 0 };
    uint64_t m_recordedVersion { 0 };
    // Set once an answer to a write was lost; from then on the outcome cannot be StoreUnavailable.
    bool m_mayBeWritten { false };
    std::vector<ZoneName> m_missingZones;
    std::optional<DefinitionError> m_fault;
};

// Token of one write try. It holds the head, so that a try against a newer head is another transaction.
std::string writeToken(std::string_view changeToken, uint64_t expectedHead);

} // namespace Berylport
