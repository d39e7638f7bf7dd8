#include "Node/MemoryLimits.h"

#include <algorithm>
#include <malloc.h>
#include <sys/sysinfo.h>

namespace Berylport {

namespace {

constexpr size_t mebibyte = 1024 * 1024;
// Of a VM whose memory is unknown, and the least that is used.
constexpr size_t assumedBytes = 256 * mebibyte;
constexpr size_t minimumBytes = 32 * mebibyte;
constexpr int largeBufferBytes = 128 * 1024;

size_t vmBytes()
{
    struct sysinfo info { };
    return sysinfo(&info) ? assumedBytes : info.totalram * info.mem_unit;
}

} // namespace

MemoryLimits memoryLimits(const MemorySection& settings)
{
    size_t bytes = settings.limitMegabytes ? settings.limitMegabytes * mebibyte : vmBytes();
    bytes = std::max(bytes, minimumBytes);
    return { .callerBytes = std::min(bytes / 4, 256 * mebibyte),
        .pipelinedBytes = std::min(bytes / 8, 32 * mebibyte),
        .queuedBytes = std::min(bytes / 8, 32 * mebibyte),
        .retainedBytes = std::min(bytes / 8, 64 * mebibyte),
        .answerBytes = std::min(bytes / 8, 64 * mebibyte),
        .otherServerBytes = std::min(bytes / 32, 16 * mebibyte) };
}

void returnFreedMemory() { mallopt(M_MMAP_THRESHOLD, largeBufferBytes); }

} // namespace Berylport
