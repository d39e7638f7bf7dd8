// Writes log lines to a descriptor without ever waiting for its reader. Lines beyond the buffer or the rate are dropped
// and counted.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Berylport {

struct LogOutputOptions {
    int descriptor { 1 };
    // Lines that wait for a slow reader.
    size_t bufferBytes { 256 * 1024 };
    // Lines a second above which lines are dropped, so that an overload does not spend its processor time on its log.
    // About three lines a request: 200 requests/s, twice what the busiest node is designed for.
    double linesPerSecond { 600 };
    double burstLines { 1200 };
    // Lines wait in the buffer for flush() while it is less full than this; zero writes each line at once.
    size_t gatherBytes { 0 };
};

class LogOutput {
public:
    explicit LogOutput(LogOutputOptions options)
        : m_options(options)
        , m_tokens(options.burstLines)
    {
    }

    // `line` ends with a line feed. Returns false when it was dropped. Important lines ignore the rate.
    bool append(std::string_view line, bool isImportant, Instant now);
    // Writes as much as the descriptor takes now.
    void flush();
    // Lines dropped since the last call.
    uint64_t takeDropped();
    size_t bufferedBytes() const { return m_buffer.size(); }

private:
    bool takeToken(Instant now);

    LogOutputOptions m_options;
    std::string m_buffer;
    uint64_t m_dropped { 0 };
    double m_tokens;
    Instant m_refilledAt;
};

} // namespace Berylport
