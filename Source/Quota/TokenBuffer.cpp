// Token pieces in the order of expiry.
#include "Quota/TokenBuffer.h"

#include <algorithm>
#include <cmath>

namespace Berylport {

namespace {

// Tokens that expire within this time of each other share a piece, which expires with the first of them.
constexpr Duration granularity = std::chrono::milliseconds(50);
// Sums of fractions may fall short of a whole number by rounding.
constexpr double rounding = 1e-6;

} // namespace

void TokenBuffer::add(double amount, Instant expiresAt)
{
    if (amount <= 0)
        return;
    m_total += amount;
    auto next = std::ranges::upper_bound(m_pieces, expiresAt, {}, &Piece::expiresAt);
    if (next != m_pieces.begin() && expiresAt - std::prev(next)->expiresAt < granularity)
        std::prev(next)->amount += amount;
    else
        m_pieces.insert(next, { .expiresAt = expiresAt, .amount = amount });
}

double TokenBuffer::available(Instant now)
{
    while (!m_pieces.empty() && m_pieces.front().expiresAt <= now) {
        m_total -= m_pieces.front().amount;
        m_pieces.pop_front();
    }
    if (m_pieces.empty())
        m_total = 0;
    return m_total;
}

TakenTokens TokenBuffer::take(uint32_t count, Instant now, bool isOldest)
{
    double whole = std::floor(available(now) + rounding);
    TakenTokens taken { .count = static_cast<uint32_t>(std::min<double>(count, whole)), .expiresAt = Instant::max() };
    double needed = taken.count;
    while (needed > rounding && !m_pieces.empty()) {
        Piece& piece = isOldest ? m_pieces.front() : m_pieces.back();
        double amount = std::min(needed, piece.amount);
        taken.expiresAt = std::min(taken.expiresAt, piece.expiresAt);
        needed -= amount;
        m_total -= amount;
        piece.amount -= amount;
        if (piece.amount > rounding)
            continue;
        m_total -= piece.amount;
        if (isOldest)
            m_pieces.pop_front();
        else
            m_pieces.pop_back();
    }
    return taken;
}

void TokenBuffer::reduce(double share, Instant latestExpiry)
{
    m_total = 0;
    for (auto& it : m_pieces) {
        it.amount *= share;
        it.expiresAt = std::min(it.expiresAt, latestExpiry);
        m_total += it.amount;
    }
}

} // namespace Berylport
