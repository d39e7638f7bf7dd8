// Compact memory of refused attempts for when the ledger has no entry to spare. It may claim an attempt that was
// never refused, which costs that attempt a truthful refusal; it never misses one before its time has passed.
#pragma once

#include "Base/Base.h"

#include <array>
#include <vector>

namespace Berylport {

class RefusedFilter {
public:
    // Remembers the attempt at least until the given time.
    void insert(Instant now, const AttemptId&, Instant until);
    bool mayContain(Instant now, const AttemptId&);

private:
    struct Generation {
        // Allocated by the first insertion and cleared when the generation is reused.
        std::vector<bool> bits;
        Instant until;
        bool isEmpty { true };
        bool contains(const AttemptId&) const;
        void insert(const AttemptId&, Instant newUntil);
        void clear();
    };

    void rotate(Instant now);

    // New attempts go into the first one. The second one only ages, so that a steady stream of refusals cannot keep
    // the first one growing for ever.
    std::array<Generation, 2> m_generations;
};

} // namespace Berylport
