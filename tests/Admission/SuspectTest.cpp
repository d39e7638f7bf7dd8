// Guards against innocent requests that share the target of a request that ends it, again and again.
#include "Admission/AdmissionHelper.h"

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

AdmissionActions& offerSuspect(AdmissionBench& bench, uint64_t call, bool isSuspect)
{
    auto request = makeRequest(attemptOf(call), bench.now + 2s);
    request.isSuspect = isSuspect;
    return bench.run([&] { bench.controller->offer(bench.now, firstLink, std::move(request), bench.actions); });
}

} // namespace

// If the target ends, it must be clear which of the two it was.
TEST(Suspects, ATargetRunsNoTwoSuspectsAtATime)
{
    AdmissionBench bench({ .slots = 4 });
    EXPECT_EQ(startsIn(offerSuspect(bench, 1, true)).size(), 1u);
    EXPECT_EQ(refusalsIn(offerSuspect(bench, 2, true)), std::vector { RefusalReason::BesideSuspect });
    EXPECT_EQ(startsIn(offerSuspect(bench, 3, false)).size(), 1u);
    bench.answer(attemptOf(1));
    EXPECT_EQ(startsIn(offerSuspect(bench, 4, true)).size(), 1u);
    bench.lose(attemptOf(4));
    EXPECT_EQ(startsIn(offerSuspect(bench, 5, true)).size(), 1u);
    // The refused one stays refused.
    EXPECT_TRUE(startsIn(offerSuspect(bench, 2, true)).empty());
}
