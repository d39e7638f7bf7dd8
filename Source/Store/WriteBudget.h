// Token bucket that limits this node's writes to the table service.
#pragma once

#include "Base/Time.h"

namespace Berylport {

struct WriteBudgetOptions {
    // Writes a second of the whole fleet. A transaction is one write, whatever number of rows it changes.
    double fleetWritesPerSecond { 100 };
    // Part of it that this holder of the budget may use.
    double share { 1 };
    // Time over which unused writes accumulate, at least one write.
    Duration burst { std::chrono::seconds(1) };
};

class WriteBudget {
public:
    explicit WriteBudget(WriteBudgetOptions = {});
    // Takes the tokens, or none and returns false.
    bool take(Instant now, double writes = 1);
    // Time until `take` would succeed; zero when it would now.
    Duration waitTime(Instant now, double writes = 1);

private:
    void refill(Instant now);

    double m_perSecond;
    double m_capacity;
    double m_tokens;
    Instant m_refilledAt {};
    bool m_isStarted { false };
};

} // namespace Berylport
