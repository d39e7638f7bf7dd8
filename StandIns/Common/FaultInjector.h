// Faults of a store. Pure; shared by the stand-ins and by the tests' in-process fakes.
#pragma once

#include "Base/Random.h"
#include "Base/Time.h"
#include "Store/WriteBudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Berylport {

enum class DownMode : uint8_t {
    Up,
    // Accepts connections and closes them without an answer.
    Close,
    // Does not listen.
    Refuse,
};

struct FaultSettings {
    DownMode down { DownMode::Up };
    // Delay of each answer.
    Duration slow {};
    // Number of next writes that are applied but not answered.
    uint32_t dropNext { 0 };
    // Share of writes that are applied but not answered.
    double dropRate { 0 };
    // Share of requests answered later by `late`.
    double lateRate { 0 };
    Duration late {};
    // Late requests are also applied late, not only answered late.
    bool isAppliedLate { false };
    double writesPerSecond { 400 };
    double readsPerSecond { 2000 };
    bool operator==(const FaultSettings&) const = default;
};

std::optional<FaultSettings> decodeFaultSettings(std::string_view json);
std::string encodeFaultSettings(const FaultSettings&);

struct StoreCounters {
    uint64_t reads { 0 };
    // A transaction is one write.
    uint64_t writes { 0 };
    uint64_t rowsWritten { 0 };
    uint64_t repeatedTokens { 0 };
    uint64_t conflicts { 0 };
    uint64_t throttled { 0 };
    uint64_t dropped { 0 };
    uint64_t refused { 0 };
    uint64_t malformed { 0 };
    bool operator==(const StoreCounters&) const = default;
};

std::string encodeCounters(const StoreCounters&);
std::optional<StoreCounters> decodeCounters(std::string_view json);

// What happens to one request.
struct FaultDecision {
    // Neither applied nor answered.
    bool isRefused { false };
    // Not applied; answered as throttled.
    std::optional<Duration> throttledFor {};
    Duration applyDelay {};
    Duration answerDelay {};
    // Applied, not answered.
    bool dropsAnswer { false };
};

class FaultInjector {
public:
    explicit FaultInjector(uint64_t seed)
        : m_random(seed)
    {
        set({});
    }
    void set(const FaultSettings&);
    const FaultSettings& settings() const { return m_settings; }
    FaultDecision decide(Instant now, bool isWrite, StoreCounters&);

private:
    FaultSettings m_settings;
    Random m_random;
    WriteBudget m_writes;
    WriteBudget m_reads;
};

} // namespace Berylport
