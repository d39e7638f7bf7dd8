#include "Log/LogOutput.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Berylport {

namespace {

// A pipe that polls as writable takes this many bytes without blocking.
constexpr size_t maximumWrite = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd entry { .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT);
}

} // namespace

bool LogOutput::takeToken(Bucket& bucket, double perSecond, double burst, Instant now)
{
    double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = std::min(burst, bucket.tokens + seconds * perSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

bool LogOutput::hasRoomInRate(LineRank rank, Instant now)
{
    switch (rank) {
    case LineRank::Detail:
        return takeToken(m_details, m_options.linesPerSecond, m_options.burstLines, now);
    case LineRank::Outcome:
        return takeToken(m_outcomes, m_options.outcomesPerSecond, m_options.burstOutcomes, now);
    case LineRank::Important:
        return true;
    }
    return true;
}

bool LogOutput::append(std::string_view line, LineRank rank, Instant now)
{
    // Details leave a quarter of the buffer to the lines that matter more.
    size_t room = rank == LineRank::Detail ? m_options.bufferBytes / 4 * 3 : m_options.bufferBytes;
    if (!hasRoomInRate(rank, now) || m_buffer.size() + line.size() > room) {
        ++m_dropped;
        return false;
    }
    m_buffer += line;
    if (m_buffer.size() >= m_options.gatherBytes)
        flush();
    return true;
}

void LogOutput::flush()
{
    size_t written = 0;
    while (written < m_buffer.size() && isWritable(m_options.descriptor)) {
        auto n
            = write(m_options.descriptor, m_buffer.data() + written, std::min(maximumWrite, m_buffer.size() - written));
        if (n <= 0)
            break;
        written += static_cast<size_t>(n);
    }
    m_buffer.erase(0, written);
}

uint64_t LogOutput::takeDropped() { return std::exchange(m_dropped, 0); }

} // namespace Berylport
