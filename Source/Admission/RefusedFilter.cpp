// A two-generation Bloom filter over attempt identifiers.
#include "Admission/RefusedFilter.h"

#include <algorithm>
#include <utility>

namespace Berylport {

namespace {

// 512 KiB a generation: 3,000 refusals a second with deadlines of 2 s give less than one false hit in 100,000.
constexpr size_t filterBits = size_t { 1 } << 22;

// Finalizer of SplitMix64; std::hash of AttemptId leaves neighbouring attempts close together.
uint64_t mix(uint64_t n)
{
    n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ull;
    n = (n ^ (n >> 27)) * 0x94D049BB133111EBull;
    return n ^ (n >> 31);
}

std::array<size_t, 2> bitPositions(const AttemptId& id)
{
    uint64_t hash = mix(mix(id.call.origin.value + mix(id.call.sequence)) + id.attempt);
    return { hash % filterBits, (hash >> 32) % filterBits };
}

} // namespace

bool RefusedFilter::Generation::contains(const AttemptId& id) const
{
    auto [first, second] = bitPositions(id);
    return !isEmpty && bits[first] && bits[second];
}

void RefusedFilter::Generation::insert(const AttemptId& id, Instant newUntil)
{
    if (bits.empty())
        bits.resize(filterBits);
    for (size_t bit : bitPositions(id))
        bits[bit] = true;
    expiresAt = isEmpty ? newUntil : std::max(expiresAt, newUntil);
    isEmpty = false;
}

void RefusedFilter::Generation::clear()
{
    std::fill(bits.begin(), bits.end(), false);
    isEmpty = true;
}

void RefusedFilter::rotate(Instant now)
{
    auto& [current, old] = m_generations;
    if (!old.isEmpty && now > old.expiresAt)
        old.clear();
    if (old.isEmpty && !current.isEmpty)
        std::swap(current, old);
}

void RefusedFilter::insert(Instant now, const AttemptId& id, Instant until)
{
    rotate(now);
    m_generations.front().insert(id, until);
}

bool RefusedFilter::mayContain(Instant now, const AttemptId& id)
{
    rotate(now);
    return std::ranges::any_of(m_generations, [&](auto& it) { return it.contains(id); });
}

} // namespace Berylport
