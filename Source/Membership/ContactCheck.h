// Finds out whether this node has lost contact with most of its zone and the rest of its region.
//
// Death by suspicion is too slow a sign for that: a cut-off node misses nearly every answer, stretches its waits
// because it takes itself for slow, and would need minutes to declare a large zone dead. So after two missed probes in
// a row it asks several members at once.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_set>

namespace Berylport {

class ContactCheck {
public:
    struct Options {
        // Members asked in the own zone, and as many in the region's other zones.
        size_t sampleSize { 8 };
        Duration answerLimit { std::chrono::seconds(1) };
        uint32_t missedProbes { 2 };
        // Between two checks while this node is cut off.
        Duration repeatInterval { std::chrono::seconds(2) };
    };

    explicit ContactCheck(const Options& options)
        : m_options(options)
    {
    }

    void probeMissed() { ++m_missedInARow; }
    void probeAnswered() { m_missedInARow = 0; }
    // Missing answers from the time of a pause prove nothing.
    void reset();

    bool isDue(Instant now) const;
    bool isRunning() const { return m_isRunning; }
    void begin(Instant now);
    // A member was asked with this sequence number.
    void asked(uint64_t sequence, bool isOwnZone);
    void answered(uint64_t sequence);
    // Ends the check when all have answered or the limit has passed; true when `isCutOff` has a new value.
    bool finishIfOver(Instant now);
    Instant nextWake() const { return m_isRunning ? m_deadline : m_nextCheck; }

    // Fewer than half of those asked in the own zone answered, or there is nobody to ask there, and nobody of the
    // region's other zones did. The loss of another zone alone does not cut a node off. Without members to ask it never
    // is.
    bool isCutOff() const { return m_isCutOff; }

private:
    struct Sample {
        size_t asked { 0 };
        size_t answered { 0 };
    };

    bool hasLostContact() const;

    Options m_options;
    bool m_isCutOff { false };
    bool m_isRunning { false };
    uint32_t m_missedInARow { 0 };
    Instant m_nextCheck;
    Instant m_deadline;
    Sample m_ownZone;
    Sample m_otherZones;
    std::unordered_set<uint64_t> m_waitingOwnZone;
    std::unordered_set<uint64_t> m_waitingOtherZones;
};

} // namespace Berylport
