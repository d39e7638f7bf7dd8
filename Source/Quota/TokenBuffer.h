// Tokens of one account, in fractions, each with the time at which it expires.
#pragma once

#include "Base/Time.h"

#include <deque>

namespace Berylport {

// Whole tokens that were taken, and when the first of them expires.
struct TakenTokens {
    uint32_t count { 0 };
    Instant expiresAt;
};

class TokenBuffer {
public:
    void add(double amount, Instant expiresAt);
    // Drops expired tokens and returns how many are left.
    double available(Instant now);
    // Takes up to `count` whole tokens, those that expire first.
    TakenTokens takeOldest(uint32_t count, Instant now) { return take(count, now, true); }
    // The same, those that expire last.
    TakenTokens takeNewest(uint32_t count, Instant now) { return take(count, now, false); }
    // For a lower limit: keeps this share of the tokens, none beyond the time.
    void reduce(double share, Instant latestExpiry);

private:
    struct Piece {
        Instant expiresAt;
        double amount { 0 };
    };

    TakenTokens take(uint32_t count, Instant now, bool isOldest);

    // In the order of expiry; all amounts are above zero.
    std::deque<Piece> m_pieces;
    double m_total { 0 };
};

} // namespace Berylport
