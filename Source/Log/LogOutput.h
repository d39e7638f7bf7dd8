// Writes log lines to a descriptor without ever waiting for its reader. Lines beyond the buffer or the rate are dropped
// and counted.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Berylport {

// What becomes of a line when there are more than can be written.
enum class LineRank : uint8_t {
    // One of several on a request; dropped first.
    Detail,
    // The one line that tells why a request was not served.
    Outcome,
    // A warning or an error.
    Important,
};

struct LogOutputOptions {
    int descriptor { 1 };
    // Lines that wait for a slow reader.
    size_t bufferBytes { 256 * 1024 };
    // Lines a second above which lines are dropped, so that an overload does not spend its processor time on its log.
    // About three lines a request: 200 requests/s, twice what the busiest node is designed for.
    double linesPerSecond { 600 };
    double burstLines { 1200 };
    // The same for outcomes, which have a rate of their own: what a node can refuse in a second at most.
    double outcomesPerSecond { 2000 };
    double burstOutcomes { 4000 };
    // Lines wait in the buffer for flush() while it is less full than this; zero writes each line at once.
    size_t gatherBytes { 0 };
};

class LogOutput {
public:
    explicit LogOutput(LogOutputOptions options)
        : m_options(options)
        , m_details { .tokens = options.burstLines }
        , m_outcomes { .tokens = options.burstOutcomes }
    {
    }

    // `line` ends with a line feed. Returns false when it was dropped. Important lines ignore the rates.
    bool append(std::string_view line, LineRank, Instant now);
    // Writes as much as the descriptor takes now.
    void flush();
    // Lines dropped since the last call.
    uint64_t takeDropped();
    size_t bufferedBytes() const { return m_buffer.size(); }

private:
    struct Bucket {
        double tokens { 0 };
        Instant refilledAt {};
    };

    static bool takeToken(Bucket&, double perSecond, double burst, Instant now);
    bool hasRoomInRate(LineRank, Instant now);

    LogOutputOptions m_options;
    std::string m_buffer;
    uint64_t m_dropped { 0 };
    Bucket m_details;
    Bucket m_outcomes;
};

} // namespace Berylport
