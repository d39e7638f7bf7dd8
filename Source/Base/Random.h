// Random source that is passed into the decision modules, so that a seed repeats a run.
#pragma once

#include <cstdint>
#include <random>

namespace Berylport {

class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    uint64_t next() { return m_engine(); }

    // A whole number in [0, bound). The bound must not be zero.
    uint64_t below(uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_engine); }

    // A number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }

    bool chance(double probability) { return unit() < probability; }

    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_engine); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Berylport
