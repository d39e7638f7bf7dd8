// Accepts patient actions durably.
#pragma once

#include "Patient/ActionRecord.h"
#include "Store/Store.h"

#include <functional>
#include <memory>
#include <variant>

namespace Berylport {

struct ActionAcceptorOptions {
    NodeId node {};
    // Random number drawn for each acceptor; keeps the request tokens of a restarted one apart from its predecessor's.
    uint64_t instance { 0 };
    // Larger bodies go to the object store.
    size_t inlineBodyBytes { 1024 };
    // Time to resolve a lost confirmation.
    Duration deadline { std::chrono::seconds(5) };
    uint32_t maxPending { 256 };
    // Retry-after time when the store gives none.
    Duration retryAfter { std::chrono::seconds(1) };
    // Sendings of a body whose confirmation is lost.
    uint32_t bodyAttempts { 3 };
};

struct AcceptRequest {
    // Idempotency-Key of the request, or one that was generated for it.
    std::string token;
    ServiceName service;
    TenantName tenant;
    HttpRequest http;
    // From the service's definition.
    bool deduplicates { false };
};

// The action is durable. A repeated request gets this too.
struct ActionAccepted {
    std::string token;
    bool isRepeated { false };
};
// The token belongs to another request.
struct ActionConflict { };
struct ActionTokenInvalid { };
enum class AcceptRefusal : uint8_t {
    WriteBudget,
    TooManyPending,
    StoreUnavailable,
    StoreThrottled,
};
constexpr std::string_view toText(AcceptRefusal refusal)
{
    switch (refusal) {
    case AcceptRefusal::WriteBudget:
        return "write-budget";
    case AcceptRefusal::TooManyPending:
        return "too-many-pending";
    case AcceptRefusal::StoreUnavailable:
        return "store-unavailable";
    case AcceptRefusal::StoreThrottled:
        return "store-throttled";
    }
    return "unknown";
}
// This request wrote no action and never will. It says nothing about an earlier request with the same token.
struct ActionRefused {
    AcceptRefusal reason { AcceptRefusal::StoreUnavailable };
    Duration retryAfter {};
};
// The action may be durable. The caller repeats the request with the same token.
struct ActionAcceptanceUnknown {
    Duration retryAfter {};
};
using AcceptResult
    = std::variant<ActionAccepted, ActionConflict, ActionTokenInvalid, ActionRefused, ActionAcceptanceUnknown>;

class ActionAcceptor {
public:
    using Callback = std::function<void(Instant now, AcceptResult)>;

    ActionAcceptor(TableClient&, ObjectClient&, WriteBudget&, ActionAcceptorOptions);
    ~ActionAcceptor();
    // The callback may be called from inside for requests that are refused without asking the store.
    void accept(Instant now, AcceptRequest, Callback);
    void tick(Instant now) { m_resolver.tick(now); }
    std::optional<Instant> nextWake() const { return m_resolver.nextWake(); }
    size_t pending() const { return m_pending; }

private:
    struct Acceptance;
    using Pointer = std::shared_ptr<Acceptance>;

    void storeBody(Instant now, Pointer);
    void writeRow(Instant now, Pointer);
    void readExisting(Pointer, bool isOpen);
    void finish(Instant now, const Pointer&, AcceptResult);
    ActionRefused refusal(const StoreError&) const;

    TableClient& m_table;
    ObjectClient& m_objects;
    WriteBudget& m_budget;
    ActionAcceptorOptions m_options;
    WriteResolver m_resolver;
    uint32_t m_pending { 0 };
    uint64_t m_requests { 0 };
    // Callbacks of the clients hold weak references to it.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport
