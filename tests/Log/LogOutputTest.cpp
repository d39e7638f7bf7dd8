// Guards against a node that stands still, or grows without bound, because nobody reads its log.
#include "Log/LogOutput.h"

#include <gtest/gtest.h>

#include <array>
#include <unistd.h>

using namespace Berylport;

namespace {

constexpr Instant start = instantFromMicroseconds(1'000'000);

struct Pipe {
    Pipe() { EXPECT_EQ(pipe(ends.data()), 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::array<int, 2> ends {};
};

} // namespace

TEST(LogOutput, AnUnreadPipeDropsLinesInsteadOfBlocking)
{
    Pipe unread;
    LogOutput output({ .descriptor = unread.ends[1], .bufferBytes = 4096, .linesPerSecond = 1e9, .burstLines = 1e9 });
    std::string line(1000, 'x');
    bool wasDropped = false;
    // A pipe holds 64 KiB and the buffer 4 KiB; without a bound this loop would not end or would block.
    for (int n = 0; n < 200; ++n)
        wasDropped |= !output.append(line, LineRank::Important, start);
    EXPECT_TRUE(wasDropped);
    EXPECT_LE(output.bufferedBytes(), 4096u);
    EXPECT_GT(output.takeDropped(), 100u);
    EXPECT_EQ(output.takeDropped(), 0u);
}

TEST(LogOutput, AnOverloadIsLoggedUpToItsRateAndWarningsAlways)
{
    Pipe read;
    LogOutput output({ .descriptor = read.ends[1], .linesPerSecond = 10, .burstLines = 20 });
    int written = 0;
    for (int n = 0; n < 100; ++n)
        written += output.append("x\n", LineRank::Detail, start);
    EXPECT_EQ(written, 20);
    EXPECT_TRUE(output.append("warning\n", LineRank::Important, start));
    EXPECT_TRUE(output.append("x\n", LineRank::Detail, start + std::chrono::seconds(1)));
}

// On an overloaded node the lines of most failed requests were among those dropped.
TEST(LogOutput, AnOverloadDropsDetailsAndKeepsOutcomes)
{
    Pipe read;
    LogOutput output({ .descriptor = read.ends[1], .linesPerSecond = 10, .burstLines = 20 });
    int details = 0;
    int outcomes = 0;
    for (int n = 0; n < 1000; ++n) {
        Instant now = start + n * std::chrono::milliseconds(1);
        for (int line = 0; line < 5; ++line)
            details += output.append("detail\n", LineRank::Detail, now);
        outcomes += output.append("outcome\n", LineRank::Outcome, now);
        output.flush();
    }
    EXPECT_LE(details, 31);
    EXPECT_EQ(outcomes, 1000);
    EXPECT_EQ(output.takeDropped(), static_cast<uint64_t>(5000 - details));
}

// A reader that stopped must not let details fill the room of outcomes.
TEST(LogOutput, DetailsLeaveRoomInTheBuffer)
{
    Pipe unread;
    LogOutput output({ .descriptor = unread.ends[1], .bufferBytes = 4096, .linesPerSecond = 1e9, .burstLines = 1e9 });
    std::string line(100, 'x');
    for (int n = 0; n < 2000; ++n)
        output.append(line, LineRank::Detail, start);
    EXPECT_LE(output.bufferedBytes(), 3072u);
    EXPECT_TRUE(output.append(line, LineRank::Outcome, start));
}

TEST(LogOutput, GatheredLinesAreWrittenByFlush)
{
    Pipe read;
    LogOutput output({ .descriptor = read.ends[1], .gatherBytes = 1024 });
    output.append("a\n", LineRank::Detail, start);
    EXPECT_EQ(output.bufferedBytes(), 2u);
    output.flush();
    std::array<char, 8> buf {};
    EXPECT_EQ(::read(read.ends[0], buf.data(), buf.size()), 2);
}
