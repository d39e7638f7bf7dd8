// Choice of the connection that ends.
#include "Http/MemoryBudget.h"

#include <utility>

namespace Berylport {

namespace {

// Added to the time without progress, so that size alone decides among connections that have just made some.
constexpr Duration progressGrace = std::chrono::seconds(1);

} // namespace

MemoryBudget::Holder MemoryBudget::add(Instant now)
{
    m_holders[++m_last] = { .progressAt = now };
    return m_last;
}

void MemoryBudget::remove(Holder holder)
{
    set(holder, 0);
    m_holders.erase(holder);
}

void MemoryBudget::set(Holder holder, size_t bytes)
{
    auto it = m_holders.find(holder);
    if (it != m_holders.end())
        m_bytes += bytes - std::exchange(it->second.bytes, bytes);
}

void MemoryBudget::recordProgress(Holder holder, Instant now)
{
    auto it = m_holders.find(holder);
    if (it != m_holders.end())
        it->second.progressAt = now;
}

std::optional<MemoryBudget::Holder> MemoryBudget::findVictim(Instant now) const
{
    if (!isExceeded())
        return std::nullopt;
    std::optional<Holder> victim;
    double most = 0;
    for (auto& [holder, state] : m_holders) {
        if (state.bytes <= m_options.ordinaryBytes)
            continue;
        Duration idle = std::max(now - state.progressAt, Duration::zero()) + progressGrace;
        double weight = static_cast<double>(state.bytes) * std::chrono::duration<double>(idle).count();
        if (weight > most) {
            most = weight;
            victim = holder;
        }
    }
    return victim;
}

} // namespace Berylport
