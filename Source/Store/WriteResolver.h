// Repeats a transaction whose result is unknown, with the same request token, until the store tells its result.
#pragma once

#include "Store/TableClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace Berylport {

struct WriteResolverOptions {
    // Pause before the second and each later sending; doubles up to the longest.
    Duration pauseMin { std::chrono::milliseconds(100) };
    Duration pauseMax { std::chrono::seconds(2) };
};

// A first sending that fails as Unavailable or Throttled is reported at once, as nothing was written. After a Timeout
// only a result or a conflict ends it. At the deadline it fails as Timeout: the write may have taken effect.
class WriteResolver {
public:
    // Store keeps request tokens for 10 minutes; a repetition after that could apply the transaction again. The minute
    // between covers a repetition that is delayed on its way.
    static constexpr Duration longestDeadline = std::chrono::minutes(9);

    explicit WriteResolver(TableClient&, WriteResolverOptions = {});
    // Deadlines beyond `longestDeadline` are shortened to it.
    void transact(Instant now, Transaction, Instant deadline, Completion<TransactionResult>);
    // Sends again what is due. Call at `nextWake`.
    void tick(Instant now);
    std::optional<Instant> nextWake() const;
    size_t pending() const { return m_state->writes.size(); }

private:
    struct Write {
        Transaction transaction;
        Instant deadline;
        Completion<TransactionResult> completion;
        Duration pause {};
        // Unset while a sending is outstanding.
        std::optional<Instant> sendAt;
        bool mayHaveApplied { false };
    };
    // Shared with the callbacks, which outlive the resolver as weak references.
    struct State {
        WriteResolverOptions options;
        std::map<uint64_t, Write> writes;
    };

    void send(uint64_t number);
    static void noteResult(State&, Instant now, uint64_t number, StoreResult<TransactionResult>);
    static void complete(State&, Instant now, uint64_t number, StoreResult<TransactionResult>);

    TableClient& m_table;
    std::shared_ptr<State> m_state;
    uint64_t m_nextNumber { 1 };
};

} // namespace Berylport
