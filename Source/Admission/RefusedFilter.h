// Bloom filter of refused attempts for when the ledger has no free entry. A false positive makes an attempt that was
// never refused get a final refusal; there are no false negatives before an attempt's expiry.
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
        Instant expiresAt;
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
