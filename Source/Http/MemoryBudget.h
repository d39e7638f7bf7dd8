// Bounds what the callers' connections of one server hold together: what was read and waits, bodies, and answers that
// their callers do not take. Decides which connection has to end when the bound is exceeded; owns no socket.
//
// The connection that holds most for longest without an end of a request or an answer goes first, so that callers who
// read their answers and send whole requests are served beside those who do not.
#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Berylport {

struct MemoryBudgetOptions {
    // Bytes of all connections together.
    size_t maximumBytes { 64 * 1024 * 1024 };
    // A connection that holds less is never ended for it: an ordinary request with its answer.
    size_t ordinaryBytes { 64 * 1024 };
};

class MemoryBudget {
public:
    // Names a connection; never used twice.
    using Holder = uint64_t;

    explicit MemoryBudget(const MemoryBudgetOptions& options)
        : m_options(options)
    {
    }

    Holder add(Instant now);
    void remove(Holder);
    void set(Holder, size_t bytes);
    // A request was read as a whole, or an answer was taken as a whole.
    void recordProgress(Holder, Instant now);

    size_t bytes() const { return m_bytes; }
    bool isExceeded() const { return m_bytes > m_options.maximumBytes; }
    // The connection to be ended, if the bound is exceeded and one holds more than an ordinary request.
    std::optional<Holder> findVictim(Instant now) const;

private:
    struct State {
        size_t bytes { 0 };
        Instant progressAt;
    };

    MemoryBudgetOptions m_options;
    std::unordered_map<Holder, State> m_holders;
    // Sum over the holders.
    size_t m_bytes { 0 };
    Holder m_last { 0 };
};

} // namespace Berylport
