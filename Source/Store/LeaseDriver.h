// Runs a LeaseKeeper over a TableClient.
#pragma once

#include "Store/LeaseKeeper.h"

#include <memory>

namespace Berylport {

class LeaseDriver {
public:
    LeaseDriver(TableClient&, LeaseOptions);
    void acquire(Instant now);
    void release(Instant now);
    void standDown() { m_state->keeper.standDown(); }
    void tick(Instant now);
    std::optional<Instant> nextWake() const { return m_state->keeper.nextWake(); }
    bool holds(Instant now) const { return m_state->keeper.holds(now); }
    bool holds(Instant now, uint64_t fencingToken) const { return m_state->keeper.holds(now, fencingToken); }
    uint64_t fencingToken() const { return m_state->keeper.fencingToken(); }

private:
    // Shared with the callbacks, which outlive the driver as weak references.
    struct State {
        TableClient& table;
        LeaseKeeper keeper;
    };
    static void run(const std::shared_ptr<State>&, Instant now);

    std::shared_ptr<State> m_state;
};

} // namespace Berylport
