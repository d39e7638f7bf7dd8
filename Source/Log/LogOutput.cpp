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

bool LogOutput::takeToken(Instant now)
{
    double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_options.burstLines, m_tokens + seconds * m_options.linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool LogOutput::append(std::string_view line, bool isImportant, Instant now)
{
    bool hasToken = takeToken(now) || isImportant;
    if (!hasToken || m_buffer.size() + line.size() > m_options.bufferBytes) {
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
