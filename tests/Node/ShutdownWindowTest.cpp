// Guards against requests that are accepted late in a shutdown and aborted when the process terminates.
#include "Node/ShutdownWindow.h"

#include <gtest/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Timing of run armor-num-grown scale-1: killed 6 s after SIGTERM, of which 0.3 s are reserved for a clean exit.
const Instant signalled = instantFromMicroseconds(1'000'000);
const ShutdownWindow window { .noticedAt = signalled + 3s, .terminatesAt = signalled + 5700ms };

} // namespace

TEST(ShutdownWindow, WithoutAnEndEverythingIsBegun)
{
    EXPECT_TRUE(mayStartRequest(std::nullopt, signalled + 1h, 1s, 60s));
}

// A reservation request sent 3.7 s after SIGTERM ran for 2.1 s, and its response was lost when the process terminated.
TEST(ShutdownWindow, ALateRequestIsRefusedWhileItCanBe)
{
    EXPECT_TRUE(mayStartRequest(window, signalled, 800ms, 6s));
    EXPECT_TRUE(mayStartRequest(window, signalled + 3s, 800ms, 6s));
    EXPECT_FALSE(mayStartRequest(window, signalled + 3706ms, 800ms, 6s));
}

TEST(ShutdownWindow, AShortTimeoutIsEnough)
{
    EXPECT_TRUE(mayStartRequest(window, signalled + 5s, 800ms, 600ms));
    EXPECT_FALSE(mayStartRequest(window, signalled + 5200ms, 800ms, 600ms));
}

// Accepted because three objectives fitted, and cut off with an unknown outcome when its target was slow.
TEST(ShutdownWindow, AfterTheNoticeARequestIsStartedOnlyIfItsWholeTimeoutFits)
{
    EXPECT_FALSE(mayStartRequest(window, signalled + 3100ms, 800ms, 6s));
    EXPECT_FALSE(mayStartRequest(window, signalled + 3300ms, 500ms, 2500ms));
    EXPECT_TRUE(mayStartRequest(window, signalled + 3100ms, 500ms, 2500ms));
}
