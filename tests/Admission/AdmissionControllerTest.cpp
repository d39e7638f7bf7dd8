// Guards the rules of admission one by one.
#include "Admission/AdmissionHelper.h"

using namespace Berylport;

namespace {

using Reasons = std::vector<RefusalReason>;
using Ids = std::vector<AttemptId>;

// One slot, so that the second call waits.
AdmissionBench makeSingleSlotBench(uint32_t queueLimit = 20, RequestKind kind = RequestKind::Idempotent)
{
    return AdmissionBench({ .slots = 1 }, { .name = testService(), .kind = kind, .queueLimit = queueLimit });
}

} // namespace

// A duplicate that starts a second time would run a booking twice.
TEST(AdmissionController, DuplicateJoinsAndEachRequesterGetsOneReply)
{
    AdmissionBench bench;
    EXPECT_EQ(startsIn(bench.offer(attemptOf(1))), Ids { attemptOf(1) });
    EXPECT_TRUE(bench.offer(attemptOf(1)).empty());
    EXPECT_TRUE(bench.offer(attemptOf(1), { .link = secondLink }).empty());
    EXPECT_EQ(repliesIn<CallAnswered>(bench.answer(attemptOf(1))).size(), 2u);
    auto held = repliesIn<CallAnswered>(bench.offer(attemptOf(1)));
    ASSERT_EQ(held.size(), 1u);
    EXPECT_EQ(held[0].http.body, "done");
}

TEST(AdmissionController, FurtherAttemptOfANonIdempotentCallNeverStartsAgain)
{
    AdmissionBench bench;
    bench.offer(attemptOf(1, 0));
    EXPECT_TRUE(bench.offer(attemptOf(1, 1), { .link = secondLink }).empty());
    auto replies = repliesIn<CallAnswered>(bench.answer(attemptOf(1, 0)));
    ASSERT_EQ(replies.size(), 2u);
    EXPECT_EQ(replies[1].id, attemptOf(1, 1));
    EXPECT_EQ(repliesIn<CallAnswered>(bench.offer(attemptOf(1, 2))).size(), 1u);
}

// The original must not be evicted before an attempt that joined it with a later deadline.
TEST(AdmissionController, OriginalIsHeldAsLongAsAJoinedAttempt)
{
    AdmissionBench bench;
    bench.offer(attemptOf(1, 0), { .timeout = std::chrono::seconds(1) });
    bench.offer(attemptOf(1, 1), { .timeout = std::chrono::seconds(20) });
    bench.answer(attemptOf(1, 0));
    Instant deadline = bench.now + std::chrono::seconds(20);
    bench.advance(std::chrono::seconds(45));
    EXPECT_EQ(repliesIn<CallAnswered>(bench.query(attemptOf(1, 1), deadline)).size(), 1u);
}

// The sender's own definition may be older than the target's.
TEST(AdmissionController, StricterDefinitionOverridesTheKindOfTheRequest)
{
    AdmissionBench bench({}, { .name = testService(), .kind = RequestKind::AtMostOnce });
    bench.offer(attemptOf(1, 0), { .kind = RequestKind::Idempotent });
    EXPECT_TRUE(bench.offer(attemptOf(1, 1), { .kind = RequestKind::Idempotent }).empty());
}

TEST(AdmissionController, FurtherAttemptStartsAfterATruthfulRefusal)
{
    AdmissionBench bench;
    bench.offer(attemptOf(1, 0));
    bench.run([&] { bench.controller->targetNotReached(bench.now, attemptOf(1, 0), bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), Reasons { RefusalReason::ConnectFailed });
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(1, 0))), Reasons { RefusalReason::RefusedBefore });
    EXPECT_EQ(startsIn(bench.offer(attemptOf(1, 1))), Ids { attemptOf(1, 1) });
}

TEST(AdmissionController, QueryOfAnUnknownIdRefusesItForGood)
{
    AdmissionBench bench;
    Instant deadline = bench.now + 2000 * millisecond;
    EXPECT_EQ(refusalsIn(bench.query(attemptOf(1), deadline)), Reasons { RefusalReason::RefusedBefore });
    EXPECT_EQ(refusalsIn(bench.offerUntil(attemptOf(1), deadline)), Reasons { RefusalReason::RefusedBefore });
}

// After its eviction a call that ran would otherwise be reported as not run.
TEST(AdmissionController, EvictedCallIsLostAndNeverNotRun)
{
    AdmissionBench bench;
    Instant deadline = bench.now + 2000 * millisecond;
    bench.offerUntil(attemptOf(1), deadline);
    bench.answer(attemptOf(1));
    // Deadline 2 s, hold 30 s, clock slack 5 s.
    bench.advance(std::chrono::seconds(36));
    EXPECT_EQ(repliesIn<CallAnswered>(bench.query(attemptOf(1), deadline)).size(), 1u);
    bench.advance(std::chrono::seconds(2));
    EXPECT_EQ(bench.controller->ledger().size(), 0u);
    EXPECT_EQ(repliesIn<CallLost>(bench.query(attemptOf(1), deadline)).size(), 1u);
    EXPECT_EQ(repliesIn<CallLost>(bench.offerUntil(attemptOf(1), deadline)).size(), 1u);
}

TEST(AdmissionController, PatientCallsAreHeldTenMinutes)
{
    AdmissionBench bench({}, { .name = testService(), .kind = RequestKind::Patient });
    Instant deadline = bench.now + 2000 * millisecond;
    bench.offerUntil(attemptOf(1), deadline, { .kind = RequestKind::Patient });
    bench.answer(attemptOf(1));
    bench.advance(std::chrono::minutes(9));
    EXPECT_EQ(repliesIn<CallAnswered>(bench.query(attemptOf(1), deadline)).size(), 1u);
    EXPECT_EQ(refusalsIn(bench.query(attemptOf(2), deadline)).size(), 1u);
}

// A kind that becomes patient lengthens the hold time, but not for what has been evicted already.
TEST(AdmissionController, LongerHoldAfterAnEvictionDoesNotTurnItIntoNotRun)
{
    AdmissionBench bench;
    Instant deadline = bench.now + 2000 * millisecond;
    bench.offerUntil(attemptOf(1), deadline);
    bench.answer(attemptOf(1));
    bench.advance(std::chrono::minutes(1));
    bench.controller->setDefinition({ .name = testService(), .kind = RequestKind::Patient });
    EXPECT_EQ(repliesIn<CallLost>(bench.query(attemptOf(1), deadline)).size(), 1u);
}

TEST(AdmissionController, QueryOfARunningCallIsPendingAndGetsTheReplyLater)
{
    AdmissionBench bench;
    bench.offer(attemptOf(1));
    EXPECT_EQ(repliesIn<CallPending>(bench.query(attemptOf(1), bench.now, secondLink)).size(), 1u);
    EXPECT_EQ(repliesIn<CallAnswered>(bench.answer(attemptOf(1))).size(), 2u);
}

// The process before this one may have run the call.
TEST(AdmissionController, QueryForAnotherNodeIsLost)
{
    AdmissionBench bench;
    auto lost = repliesIn<CallLost>(bench.query(attemptOf(1), bench.now + millisecond, firstLink, NodeId { 8 }));
    ASSERT_EQ(lost.size(), 1u);
    EXPECT_EQ(lost[0].reason, LossReason::NodeRestarted);
}

TEST(AdmissionController, RefusesRequestsForAnotherNodeOrService)
{
    AdmissionBench bench;
    auto request = makeRequest(attemptOf(1), bench.now + millisecond);
    request.receiver = NodeId { 8 };
    bench.run([&] { bench.controller->offer(bench.now, firstLink, request, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), Reasons { RefusalReason::WrongNode });
    request = makeRequest(attemptOf(2), bench.now + millisecond);
    request.service = ServiceName("slotdesk");
    bench.run([&] { bench.controller->offer(bench.now, firstLink, request, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), Reasons { RefusalReason::NoTarget });
}

TEST(AdmissionController, StartsByPriorityThenTenantThenArrival)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2), { .priority = Priority::Bulk });
    bench.offer(attemptOf(3), { .tenant = "a" });
    bench.offer(attemptOf(4), { .tenant = "a" });
    bench.offer(attemptOf(5), { .tenant = "b" });
    bench.offer(attemptOf(6), { .priority = Priority::Critical });
    Ids order;
    for (AttemptId running = attemptOf(1); order.size() < 5; running = order.back()) {
        auto starts = startsIn(bench.answer(running));
        ASSERT_EQ(starts.size(), 1u);
        order.push_back(starts[0]);
    }
    EXPECT_EQ(order, (Ids { attemptOf(6), attemptOf(3), attemptOf(5), attemptOf(4), attemptOf(2) }));
}

TEST(AdmissionController, ExpiredQueuedCallIsRefusedAtItsDeadline)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2), { .timeout = 10 * millisecond });
    EXPECT_EQ(bench.controller->nextWake(), bench.now + 10 * millisecond);
    EXPECT_EQ(refusalsIn(bench.advance(10 * millisecond)), Reasons { RefusalReason::DeadlinePassed });
    EXPECT_TRUE(startsIn(bench.answer(attemptOf(1))).empty());
}

TEST(AdmissionController, RefusesAtOnceWhatCannotBeAnsweredInTime)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.now += 100 * millisecond;
    bench.answer(attemptOf(1));
    bench.offer(attemptOf(2));
    auto refused = repliesIn<CallRefused>(bench.offer(attemptOf(3), { .timeout = 199 * millisecond }));
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].reason, RefusalReason::DeadlineTooNear);
    EXPECT_EQ(refused[0].retryAfter, 50 * millisecond);
    EXPECT_EQ(refused[0].load.serviceTime, 100 * millisecond);
    EXPECT_TRUE(bench.offer(attemptOf(4), { .timeout = 201 * millisecond }).empty());
}

// Otherwise an average above every deadline would refuse all calls and never be corrected.
TEST(AdmissionController, FreeSlotStartsACallWhateverTheAverage)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.now += std::chrono::seconds(60);
    bench.answer(attemptOf(1));
    EXPECT_EQ(startsIn(bench.offer(attemptOf(2), { .timeout = millisecond })).size(), 1u);
}

TEST(AdmissionController, FullQueueShedsTheLowestPriorityTruthfully)
{
    auto bench = makeSingleSlotBench(1);
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2), { .priority = Priority::Bulk, .tenant = "b" });
    auto refused = repliesIn<CallRefused>(bench.offer(attemptOf(3), { .tenant = "c" }));
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].id, attemptOf(2));
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(2))), Reasons { RefusalReason::RefusedBefore });
    refused = repliesIn<CallRefused>(bench.offer(attemptOf(4), { .priority = Priority::Bulk, .tenant = "d" }));
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].id, attemptOf(4));
    EXPECT_EQ(startsIn(bench.answer(attemptOf(1))), Ids { attemptOf(3) });
}

TEST(AdmissionController, FullQueueShedsTheTenantAboveItsShare)
{
    auto bench = makeSingleSlotBench(3);
    for (uint64_t i = 1; i <= 4; i++)
        bench.offer(attemptOf(i), { .tenant = "noisy" });
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(5), { .tenant = "noisy" })), Reasons { RefusalReason::TenantOverShare });
    auto refused = repliesIn<CallRefused>(bench.offer(attemptOf(6), { .tenant = "quiet" }));
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].id, attemptOf(4));
    EXPECT_EQ(refused[0].reason, RefusalReason::TenantOverShare);
}

TEST(AdmissionController, CancelRefusesQueuedAndStopsOnlyIdempotentRunning)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1), { .kind = RequestKind::Idempotent });
    bench.offer(attemptOf(2));
    EXPECT_EQ(refusalsIn(bench.cancel(attemptOf(2))), Reasons { RefusalReason::Cancelled });
    EXPECT_EQ(bench.cancel(attemptOf(1)).size(), 1u);
    EXPECT_TRUE(std::holds_alternative<CancelOnTarget>(bench.actions[0]));
    EXPECT_TRUE(bench.cancel(attemptOf(1)).empty());
    EXPECT_EQ(repliesIn<CallLost>(bench.lose(attemptOf(1))).size(), 1u);

    bench.offer(attemptOf(3));
    EXPECT_TRUE(bench.cancel(attemptOf(3)).empty());
    bench.answer(attemptOf(3));
    EXPECT_EQ(repliesIn<CallAnswered>(bench.query(attemptOf(3), bench.now)).size(), 1u);
}

TEST(AdmissionController, LostLinkCancelsOnlyIdempotentCalls)
{
    AdmissionBench bench({ .slots = 2 }, { .name = testService(), .kind = RequestKind::Idempotent });
    bench.offer(attemptOf(1), { .kind = RequestKind::Idempotent });
    bench.offer(attemptOf(2));
    bench.offer(attemptOf(3), { .kind = RequestKind::Idempotent });
    bench.offer(attemptOf(4));
    bench.run([&] { bench.controller->linkClosed(bench.now, firstLink, bench.actions); });
    ASSERT_EQ(bench.actions.size(), 1u);
    EXPECT_EQ(std::get<CancelOnTarget>(bench.actions[0]).id, attemptOf(1));
    EXPECT_EQ(startsIn(bench.answer(attemptOf(2))), Ids { attemptOf(4) });
}

TEST(AdmissionController, DrainRefusesNewWorkAndFinishesTheRest)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2));
    bench.run([&] { bench.controller->drain(bench.now, bench.actions); });
    bench.run([&] { bench.controller->setTargetState(bench.now, TargetState::Ready, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(3))), Reasons { RefusalReason::Draining });
    EXPECT_EQ(startsIn(bench.answer(attemptOf(1))), Ids { attemptOf(2) });
    EXPECT_FALSE(bench.controller->isDrained());
    bench.answer(attemptOf(2));
    EXPECT_TRUE(bench.controller->isDrained());
}

// A call admitted under a definition that an accepted change has replaced would break the change's promise.
TEST(AdmissionController, UnconfirmedNodeRefusesNewCallsForGood)
{
    AdmissionBench bench;
    bench.controller->setConfigurationConfirmed(false);
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(1))), Reasons { RefusalReason::Unconfirmed });
    bench.controller->setConfigurationConfirmed(true);
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(1))), Reasons { RefusalReason::RefusedBefore });
    EXPECT_EQ(startsIn(bench.offer(attemptOf(2))), Ids { attemptOf(2) });
}

// A caller must not be left without a reply when the node ends before its calls.
TEST(AdmissionController, StopGivesEverythingHeldItsFinalReply)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2));
    bench.run([&] { bench.controller->stop(bench.now, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), Reasons { RefusalReason::Draining });
    EXPECT_EQ(repliesIn<CallLost>(bench.actions).size(), 1u);
    EXPECT_TRUE(bench.controller->isDrained());
}

TEST(AdmissionController, TargetThatGoesDownRefusesWhatWaits)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2));
    bench.run([&] { bench.controller->setTargetState(bench.now, TargetState::Down, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), Reasons { RefusalReason::NoTarget });
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(3))), Reasons { RefusalReason::NoTarget });
    EXPECT_EQ(repliesIn<CallLost>(bench.lose(attemptOf(1))).size(), 1u);
}

TEST(AdmissionController, SlotsChangeAtRunTime)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2));
    bench.offer(attemptOf(3));
    bench.run([&] { bench.controller->setSlots(bench.now, 2, bench.actions); });
    EXPECT_EQ(startsIn(bench.actions), Ids { attemptOf(2) });
    bench.run([&] { bench.controller->setSlots(bench.now, 1, bench.actions); });
    EXPECT_TRUE(startsIn(bench.answer(attemptOf(1))).empty());
    EXPECT_EQ(startsIn(bench.answer(attemptOf(2))), Ids { attemptOf(3) });
}

// A cancel sent during the pause is read only after the request that it cancels could have started.
TEST(AdmissionController, PauseHoldsStartsUntilEveryLinkIsConfirmed)
{
    AdmissionBench bench;
    bench.controller->linkOpened(firstLink);
    bench.controller->linkOpened(secondLink);
    uint64_t old = bench.controller->pauseDetected(bench.now, bench.actions);
    uint64_t pause = bench.controller->pauseDetected(bench.now, bench.actions);
    EXPECT_TRUE(bench.offer(attemptOf(1)).empty());
    EXPECT_TRUE(bench.offer(attemptOf(2), { .link = LinkId {} }).empty());
    auto confirm = [&](LinkId link, uint64_t number) {
        bench.run([&] { bench.controller->linkConfirmed(bench.now, link, number, bench.actions); });
        return startsIn(bench.actions);
    };
    EXPECT_TRUE(confirm(secondLink, old).empty());
    EXPECT_TRUE(confirm(secondLink, pause).empty());
    EXPECT_EQ(refusalsIn(bench.cancel(attemptOf(1))), Reasons { RefusalReason::Cancelled });
    EXPECT_EQ(confirm(firstLink, pause), Ids { attemptOf(2) });
}

TEST(AdmissionController, CallsThatExpiredDuringAPauseAreRefused)
{
    auto bench = makeSingleSlotBench();
    bench.offer(attemptOf(1));
    bench.offer(attemptOf(2), { .timeout = 50 * millisecond });
    bench.now += 200 * millisecond;
    bench.run([&] { bench.controller->pauseDetected(bench.now, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), Reasons { RefusalReason::DeadlinePassed });
}

TEST(AdmissionController, NestedCallsShareTheParentsAllowance)
{
    AdmissionBench bench;
    auto& controller = *bench.controller;
    CallId parent = attemptOf(1).call;
    EXPECT_EQ(controller.findNestedCallBudget(bench.now, parent).error(), RefusalReason::UnknownParent);
    bench.offer(attemptOf(1), { .retryTokens = 4, .depth = 31 });
    auto allowance = controller.findNestedCallBudget(bench.now, parent);
    ASSERT_TRUE(allowance.has_value());
    EXPECT_EQ(allowance.value().deadline, bench.now + 1995 * millisecond);
    EXPECT_EQ(allowance.value().depth, 32u);
    EXPECT_EQ(controller.takeRetryTokens(parent, 3), 3u);
    EXPECT_EQ(controller.takeRetryTokens(parent, 3), 1u);
    controller.returnRetryTokens(parent, 2);
    EXPECT_EQ(controller.findNestedCallBudget(bench.now, parent).value().retryTokens, 2u);
    EXPECT_EQ(repliesIn<CallAnswered>(bench.answer(attemptOf(1)))[0].retryTokensUsed, 2u);
    EXPECT_EQ(controller.findNestedCallBudget(bench.now, parent).error(), RefusalReason::UnknownParent);
    bench.offer(attemptOf(2), { .depth = 32 });
    EXPECT_EQ(controller.findNestedCallBudget(bench.now, attemptOf(2).call).error(), RefusalReason::DepthExceeded);
}

TEST(AdmissionController, WarmsUpForTenSecondsAfterReady)
{
    AdmissionBench bench;
    EXPECT_TRUE(bench.controller->load(bench.now).isWarmingUp);
    bench.advance(std::chrono::seconds(10));
    EXPECT_FALSE(bench.controller->load(bench.now).isWarmingUp);
}

// Guards against calls that reach a target of a zone that operators have evacuated.
TEST(ZoneEvacuation, NothingStartsAndWhatWaitsIsRefusedAtOnce)
{
    AdmissionBench bench({ .slots = 1 });
    EXPECT_EQ(startsIn(bench.offer(attemptOf(1))).size(), 1u);
    bench.offer(attemptOf(2));
    bench.run([&] { bench.controller->setZoneEvacuated(bench.now, true, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.actions), std::vector { RefusalReason::ZoneEvacuated });
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(3))), std::vector { RefusalReason::ZoneEvacuated });
    // The running call ends as usual, and nothing follows it.
    EXPECT_EQ(repliesIn<CallAnswered>(bench.answer(attemptOf(1))).size(), 1u);
    EXPECT_TRUE(startsIn(bench.advance(std::chrono::seconds(1))).empty());
}

TEST(ZoneEvacuation, CallsStartAgainWhenItIsTakenBack)
{
    AdmissionBench bench;
    bench.run([&] { bench.controller->setZoneEvacuated(bench.now, true, bench.actions); });
    EXPECT_EQ(refusalsIn(bench.offer(attemptOf(1))).size(), 1u);
    bench.run([&] { bench.controller->setZoneEvacuated(bench.now, false, bench.actions); });
    EXPECT_EQ(startsIn(bench.offer(attemptOf(2))).size(), 1u);
}
