// Guards against requests that are accepted late in a shutdown and cut off when the process ends.
#include "Node/ShutdownWindow.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Of armor-num-grown scale-1: killed 6 s after SIGTERM, 0.3 s of that kept to end in order.
const Instant signalled = instantFromMicroseconds(1'000'000);
const Instant ends = signalled + 5700ms;

} // namespace

TEST(ShutdownWindow, WithoutAnEndEverythingIsBegun) { EXPECT_TRUE(mayBegin(std::nullopt, signalled + 1h, 1s, 60s)); }

// A reservation sent 3.7 s after SIGTERM ran for 2.1 s and lost its answer when the process ended.
TEST(ShutdownWindow, ALateRequestIsRefusedWhileItCanBe)
{
    EXPECT_TRUE(mayBegin(ends, signalled, 800ms, 6s));
    EXPECT_TRUE(mayBegin(ends, signalled + 3s, 800ms, 6s));
    EXPECT_FALSE(mayBegin(ends, signalled + 3706ms, 800ms, 6s));
}

TEST(ShutdownWindow, AShortTimeoutIsEnough)
{
    EXPECT_TRUE(mayBegin(ends, signalled + 5s, 800ms, 600ms));
    EXPECT_FALSE(mayBegin(ends, signalled + 5200ms, 800ms, 600ms));
}
