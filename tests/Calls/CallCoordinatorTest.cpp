// Unit tests of the call coordinator's rules.
#include "CallTestSupport.h"

#include <gtest/gtest.h>

namespace Berylport::CallTest {
namespace {

class CallCoordinatorTest : public testing::Test {
protected:
    CallCoordinatorTest() { useTargets(5); }

    void useTargets(uint64_t count) { m_coordinator.updateTargets(makeTargets(testService, 1, count), at(0s)); }

    SendAttempt start(const StartCall& call, Instant now)
    {
        m_actions.clear();
        m_coordinator.startCall(call, now, m_actions);
        auto sent = allOf<SendAttempt>(m_actions);
        EXPECT_EQ(sent.size(), 1u);
        return sent.at(0);
    }

    CallActions reply(const CallReply& message, Instant now)
    {
        m_actions.clear();
        m_coordinator.replyArrived(message, now, m_actions);
        return m_actions;
    }

    CallActions tick(Instant now)
    {
        m_actions.clear();
        m_coordinator.tick(now, m_actions);
        return m_actions;
    }

    // Records answers until the latency estimate is known, with the given median and p95.
    void warmUp(Duration latency)
    {
        for (uint64_t n = 0; n < 40; ++n) {
            auto sent = start(makeCall(10'000 + n, RequestKind::Idempotent, at(10s)), at(0s));
            reply(makeAnswer(sent.request.id), at(latency));
        }
    }

    CallCoordinator m_coordinator { makeOptions() };
    CallActions m_actions;
};

AnswerCaller onlyAnswer(const CallActions& actions)
{
    auto answers = allOf<AnswerCaller>(actions);
    EXPECT_EQ(answers.size(), 1u);
    return answers.empty() ? AnswerCaller {} : answers[0];
}

CallFailure failureOf(const AnswerCaller& answer) { return std::get<CallFailure>(answer.result); }

// A planned stop that reached its limit closed the connections of callers without an answer.
TEST_F(CallCoordinatorTest, TheEndOfTheProcessAnswersEveryCallTruthfully)
{
    auto refused = start(makeCall(1, RequestKind::Idempotent, at(10s)), at(0s));
    auto running = start(makeCall(2, RequestKind::AtMostOnce, at(10s)), at(0s));
    m_coordinator.stopRetries();
    auto notRun = onlyAnswer(reply(makeRefusal(refused.request.id, 0s, RefusalReason::Draining), at(1s)));
    EXPECT_EQ(notRun.outcome, RunOutcome::NotRun);
    EXPECT_EQ(failureOf(notRun), CallFailure::Refused);
    m_actions.clear();
    m_coordinator.endCalls(at(1s), m_actions);
    auto unknown = onlyAnswer(m_actions);
    EXPECT_EQ(unknown.id, running.request.id.call);
    EXPECT_EQ(unknown.outcome, RunOutcome::MayHaveRun);
    EXPECT_EQ(failureOf(unknown), CallFailure::ResponseLost);
    EXPECT_EQ(m_coordinator.pendingCount(), 0u);
}

TEST_F(CallCoordinatorTest, PassesTheWholeAnswerOn)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    EXPECT_EQ(sent.request.http.body, "request 1");
    auto answer = onlyAnswer(reply(makeAnswer(sent.request.id), at(10ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::Run);
    EXPECT_EQ(std::get<HttpResponse>(answer.result).body, "answer 1");
    EXPECT_EQ(m_coordinator.pendingCount(), 0u);
    EXPECT_FALSE(m_coordinator.nextWake());
}

// Guards against a 5xx response to an at-most-once call being hidden or causing a retry.
TEST_F(CallCoordinatorTest, PassesServerErrorsOfAtMostOnceCallsOn)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    auto answer = onlyAnswer(reply(makeAnswer(sent.request.id, 503), at(10ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::Run);
    EXPECT_EQ(std::get<HttpResponse>(answer.result).status, 503);
}

// Guards against a caller that sees a gateway error although another target could answer.
TEST_F(CallCoordinatorTest, RetriesGatewayErrorsOfIdempotentCalls)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s)), at(0s));
    auto retried = allOf<SendAttempt>(reply(makeAnswer(sent.request.id, 503), at(10ms)));
    ASSERT_EQ(retried.size(), 1u);
    EXPECT_NE(retried[0].target, sent.target);
    auto answer = onlyAnswer(reply(makeAnswer(retried[0].request.id), at(20ms)));
    EXPECT_EQ(std::get<HttpResponse>(answer.result).status, 200);
    EXPECT_EQ(answer.retryTokensUsed, 1u);
    EXPECT_EQ(answer.attempts, 2u);
}

// Guards against a complete response being discarded because the retry after it failed.
TEST_F(CallCoordinatorTest, FallsBackToTheErrorAnswerWhenTheRetryFails)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s), 1), at(0s));
    auto retried = allOf<SendAttempt>(reply(makeAnswer(sent.request.id, 503), at(10ms)));
    ASSERT_EQ(retried.size(), 1u);
    auto answer = onlyAnswer(reply(makeLoss(retried[0].request.id), at(20ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::Run);
    EXPECT_EQ(std::get<HttpResponse>(answer.result).status, 503);
}

// Guards against an internal error being treated as a gateway error.
TEST_F(CallCoordinatorTest, DoesNotRetryInternalErrors)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s)), at(0s));
    auto answer = onlyAnswer(reply(makeAnswer(sent.request.id, 500), at(10ms)));
    EXPECT_EQ(std::get<HttpResponse>(answer.result).status, 500);
}

// Guards against a refusal ending a call that another target could run.
TEST_F(CallCoordinatorTest, MovesOnAfterARefusalWithoutSpendingAToken)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s), 2), at(0s));
    EXPECT_EQ(sent.request.retryTokens, 1u);
    auto second = allOf<SendAttempt>(reply(makeRefusal(sent.request.id), at(10ms)));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(second[0].target, sent.target);
    auto answer = onlyAnswer(reply(makeAnswer(second[0].request.id), at(20ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::Run);
    EXPECT_EQ(answer.retryTokensUsed, 0u);
}

// Guards against a caller waiting although every target is overloaded.
TEST_F(CallCoordinatorTest, AnswersAtOnceAfterThreeRefusals)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(10s)), at(0s));
    auto second = allOf<SendAttempt>(reply(makeRefusal(sent.request.id, 300ms), at(1ms)));
    ASSERT_EQ(second.size(), 1u);
    auto third = allOf<SendAttempt>(reply(makeRefusal(second[0].request.id, 100ms), at(2ms)));
    ASSERT_EQ(third.size(), 1u);
    auto answer = onlyAnswer(reply(makeRefusal(third[0].request.id, 200ms), at(3ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::NotRun);
    EXPECT_EQ(failureOf(answer), CallFailure::Refused);
    EXPECT_EQ(answer.retryAfter, 100ms);
    EXPECT_EQ(answer.attempts, 3u);
}

// Guards against calls running on a VM that is temporarily slow while others are not, and against calls that no target
// accepts because all are slow.
TEST_F(CallCoordinatorTest, SlowTargetsHandACallOnUntilOneHasToTakeIt)
{
    auto options = makeOptions();
    options.maximumSoftRefusals = 2;
    m_coordinator = CallCoordinator(options);
    useTargets(2);
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(10s)), at(0s));
    EXPECT_TRUE(sent.request.mayHandOn);
    auto second = allOf<SendAttempt>(reply(makeRefusal(sent.request.id, {}, RefusalReason::SlowNow), at(1ms)));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(second[0].target, sent.target);
    EXPECT_TRUE(second[0].request.mayHandOn);
    auto third = allOf<SendAttempt>(reply(makeRefusal(second[0].request.id, {}, RefusalReason::SlowNow), at(2ms)));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_FALSE(third[0].request.mayHandOn);
}

TEST_F(CallCoordinatorTest, ARequestThatEndsTargetsIsRefusedAtOnceAndTruly)
{
    auto options = makeOptions();
    options.suspicion = [](const StartCall&) { return Suspicion::Refused; };
    m_coordinator = CallCoordinator(options);
    useTargets(2);
    for (auto kind : { RequestKind::AtMostOnce, RequestKind::Idempotent }) {
        m_actions.clear();
        m_coordinator.startCall(makeCall(1, kind, at(1s)), at(0s), m_actions);
        EXPECT_TRUE(allOf<SendAttempt>(m_actions).empty());
        auto answer = onlyAnswer(m_actions);
        EXPECT_EQ(answer.outcome, RunOutcome::NotRun);
        EXPECT_EQ(answer.refusal, RefusalReason::EndsTargets);
        EXPECT_EQ(answer.retryAfter, options.refusedRetryAfter);
    }
}

TEST_F(CallCoordinatorTest, ARequestUnderWhichTwoTargetsEndedGetsNoThird)
{
    Suspicion suspicion = Suspicion::None;
    auto options = makeOptions();
    options.suspicion = [&](const StartCall&) { return suspicion; };
    m_coordinator = CallCoordinator(options);
    useTargets(5);
    warmUp(5ms);
    auto first = start(makeCall(1, RequestKind::Idempotent, at(5s), 4), at(0s));
    EXPECT_FALSE(first.request.isSuspect);
    suspicion = Suspicion::Suspect;
    auto second = allOf<SendAttempt>(reply(makeLoss(first.request.id, LossReason::TargetClosed), at(10ms)));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_TRUE(second[0].request.isSuspect);
    suspicion = Suspicion::Repeated;
    auto answer = onlyAnswer(reply(makeLoss(second[0].request.id, LossReason::TargetClosed), at(20ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::MayHaveRun);
    EXPECT_EQ(failureOf(answer), CallFailure::ResponseLost);
}

// It was handed on by the first target when the nodes learned that it ends targets.
TEST_F(CallCoordinatorTest, ARequestThatTurnsOutToEndTargetsIsNotHandedOn)
{
    Suspicion suspicion = Suspicion::Suspect;
    auto options = makeOptions();
    options.suspicion = [&](const StartCall&) { return suspicion; };
    m_coordinator = CallCoordinator(options);
    useTargets(5);
    auto first = start(makeCall(1, RequestKind::AtMostOnce, at(5s)), at(0s));
    suspicion = Suspicion::Refused;
    auto answer = onlyAnswer(reply(makeRefusal(first.request.id, {}, RefusalReason::BesideSuspect), at(1ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::NotRun);
    EXPECT_EQ(answer.refusal, RefusalReason::EndsTargets);
}

// Guards against a failed call although a target is available that refused only softly: it must get the call when the
// other target cannot be reached, in either order, and also when it is ejected as slow.
TEST_F(CallCoordinatorTest, ATargetThatHandedACallOnTakesItWhenTheOtherCannotBeReached)
{
    auto options = makeOptions();
    options.maximumSoftRefusals = 2;
    options.maximumRefusals += options.maximumSoftRefusals;
    for (bool isEjected : { false, true }) {
        m_coordinator = CallCoordinator(options);
        useTargets(2);
        TargetId busy { NodeId { 1 }, testService };
        auto& selector = m_coordinator.services().stateOf(testService).selector;
        for (uint64_t n = 0; isEjected && n < 200 && !selector.isEjected(busy); ++n) {
            auto sent = start(makeCall(1000 + n, RequestKind::Idempotent, at(10s)), at(0s));
            reply(makeAnswer(sent.request.id), at(sent.target == busy ? 500ms : 5ms));
        }
        for (uint64_t n = 0; n < 40; ++n) {
            auto now = at(501ms + n * 1ms);
            auto sent = start(makeCall(2000 + n, RequestKind::AtMostOnce, at(10s)), now);
            bool isTaken = false;
            for (int asked = 0; asked < 4 && !isTaken; ++asked) {
                m_actions.clear();
                if (sent.target != busy)
                    m_coordinator.sendFailed(sent.request.id, now, m_actions);
                else if (sent.request.mayHandOn)
                    reply(makeRefusal(sent.request.id, {}, RefusalReason::BusyNow), now);
                else
                    isTaken = true;
                auto next = allOf<SendAttempt>(m_actions);
                ASSERT_TRUE(isTaken || next.size() == 1) << n << (isEjected ? " ejected" : "");
                if (!isTaken)
                    sent = next[0];
            }
            EXPECT_TRUE(isTaken);
        }
    }
}

// Guards against a soft refusal by the last target tried, after others were full.
TEST_F(CallCoordinatorTest, TheLastTargetAskedMayNotHandTheCallOn)
{
    auto options = makeOptions();
    options.maximumSoftRefusals = 2;
    m_coordinator = CallCoordinator(options);
    useTargets(5);
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(10s)), at(0s));
    auto second = allOf<SendAttempt>(reply(makeRefusal(sent.request.id), at(1ms)));
    ASSERT_EQ(second.size(), 1u);
    auto third = allOf<SendAttempt>(reply(makeRefusal(second[0].request.id), at(2ms)));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_FALSE(third[0].request.mayHandOn);
}

// Guards against overload hidden by unbounded redispatching.
TEST_F(CallCoordinatorTest, RedispatchesWithinTheBudget)
{
    for (uint64_t n = 1; n <= 1000; ++n) {
        auto sent = start(makeCall(n, RequestKind::AtMostOnce, at(1s)), at(0s));
        while (true) {
            auto next = allOf<SendAttempt>(reply(makeRefusal(sent.request.id), at(0s)));
            if (next.empty())
                break;
            sent = next[0];
        }
    }
    EXPECT_GE(m_coordinator.counters().redispatches, 200u);
    EXPECT_LE(m_coordinator.counters().redispatches, 203u);
}

// Guards against the same refusal being collected from every target.
TEST_F(CallCoordinatorTest, DoesNotMoveOnWhenTheCallItselfIsRefused)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    auto answer = onlyAnswer(reply(makeRefusal(sent.request.id, {}, RefusalReason::UnknownParent), at(1ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::NotRun);
    EXPECT_EQ(answer.refusal, RefusalReason::UnknownParent);
}

// Guards against "not run" for a call whose first attempt was lost and whose retry was refused.
TEST_F(CallCoordinatorTest, ReportsMayHaveRunWhenOnlySomeAttemptsWereRefused)
{
    useTargets(2);
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s), 1), at(0s));
    auto second = allOf<SendAttempt>(reply(makeLoss(sent.request.id, LossReason::TargetClosed), at(1ms)));
    ASSERT_EQ(second.size(), 1u);
    auto answer = onlyAnswer(reply(makeRefusal(second[0].request.id), at(2ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::MayHaveRun);
    EXPECT_EQ(failureOf(answer), CallFailure::ResponseLost);
}

// Guards against further refusals, and redispatch budget spent on them, until gossip delivers the target's new state.
TEST_F(CallCoordinatorTest, AvoidsTargetsThatRefuseEverything)
{
    auto first = start(makeCall(1, RequestKind::AtMostOnce, at(10s)), at(0s));
    reply(makeRefusal(first.request.id, {}, RefusalReason::Draining), at(1ms));
    for (uint64_t n = 2; n < 100; ++n)
        EXPECT_NE(start(makeCall(n, RequestKind::AtMostOnce, at(10s)), at(2ms)).target, first.target);
}

TEST_F(CallCoordinatorTest, MovesOnWhenNoByteWasSent)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    m_actions.clear();
    m_coordinator.sendFailed(sent.request.id, at(1ms), m_actions);
    EXPECT_EQ(allOf<SendAttempt>(m_actions).size(), 1u);
}

// Guards against failed calls while the only reachable target is one ejected as slow.
TEST_F(CallCoordinatorTest, AsksAnEjectedTargetWhenNoOtherCanBeReached)
{
    useTargets(2);
    TargetId slow { NodeId { 1 }, testService };
    TargetId dead { NodeId { 2 }, testService };
    auto& selector = m_coordinator.services().stateOf(testService).selector;
    for (uint64_t n = 0; n < 200 && !selector.isEjected(slow); ++n) {
        auto sent = start(makeCall(1000 + n, RequestKind::Idempotent, at(10s)), at(0s));
        reply(makeAnswer(sent.request.id), at(sent.target == slow ? 500ms : 5ms));
    }
    ASSERT_TRUE(selector.isEjected(slow));
    for (uint64_t n = 0; n < 100; ++n) {
        auto sent = start(makeCall(2000 + n, RequestKind::AtMostOnce, at(10s)), at(501ms));
        if (sent.target == slow)
            continue;
        m_actions.clear();
        m_coordinator.sendFailed(sent.request.id, at(501ms), m_actions);
        auto second = allOf<SendAttempt>(m_actions);
        ASSERT_EQ(second.size(), 1u) << n;
        EXPECT_EQ(second[0].target, slow);
    }
    // Later calls do not try the unreachable target again.
    EXPECT_LE(m_coordinator.counters().redispatches, 5u);
    EXPECT_NE(start(makeCall(3000, RequestKind::AtMostOnce, at(10s)), at(502ms)).target, dead);
}

// Attempts that were not sent load no target, so redispatching them is not charged to the budget.
TEST_F(CallCoordinatorTest, MovesOnFromUnreachableTargetsWithoutTheBudget)
{
    std::vector<SendAttempt> sent;
    for (uint64_t n = 1; n <= 400; ++n)
        sent.push_back(start(makeCall(n, RequestKind::AtMostOnce, at(1s)), at(0s)));
    for (auto& it : sent) {
        if (it.target != sent[0].target)
            continue;
        m_actions.clear();
        m_coordinator.sendFailed(it.request.id, at(1ms), m_actions);
        EXPECT_EQ(allOf<SendAttempt>(m_actions).size(), 1u) << it.request.id.call.sequence;
    }
}

// The connection may be restored at any time, so an unreachable target is still tried if there is no other.
TEST_F(CallCoordinatorTest, AsksAnUnreachableTargetWhenThereIsNoOther)
{
    useTargets(1);
    for (uint64_t n = 1; n <= 5; ++n) {
        auto sent = start(makeCall(n, RequestKind::AtMostOnce, at(1s)), at(0s));
        m_actions.clear();
        m_coordinator.sendFailed(sent.request.id, at(0s), m_actions);
        EXPECT_EQ(onlyAnswer(m_actions).outcome, RunOutcome::NotRun);
    }
}

// Guards against a second execution after a lost connection (P4).
TEST_F(CallCoordinatorTest, QueriesTheNodeAfterALostLinkAndSendsNothingElse)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    auto actions = reply(makeLoss(sent.request.id), at(10ms));
    EXPECT_TRUE(allOf<SendAttempt>(actions).empty());
    ASSERT_EQ(allOf<SendQuery>(actions).size(), 1u);
    EXPECT_EQ(allOf<SendQuery>(actions)[0].target, sent.target);
    size_t queries = 0;
    while (m_coordinator.nextWake() < at(1s))
        queries += allOf<SendQuery>(tick(*m_coordinator.nextWake())).size();
    EXPECT_GE(queries, 4u);
    auto answer = onlyAnswer(tick(at(1s)));
    EXPECT_EQ(answer.outcome, RunOutcome::MayHaveRun);
    EXPECT_EQ(answer.retryAfter, 0ms);
}

TEST_F(CallCoordinatorTest, QueryBringsTheAnswer)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    reply(makeLoss(sent.request.id), at(10ms));
    m_actions.clear();
    m_coordinator.queryAnswered(CallPending { sent.request.id }, at(20ms), m_actions);
    EXPECT_TRUE(m_actions.empty());
    m_coordinator.queryAnswered(makeAnswer(sent.request.id), at(50ms), m_actions);
    EXPECT_EQ(onlyAnswer(m_actions).outcome, RunOutcome::Run);
}

// Guards against failing a call although the query proved that it had not run.
TEST_F(CallCoordinatorTest, QueryThatProvesNotRunLetsTheCallMoveOn)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    reply(makeLoss(sent.request.id), at(10ms));
    m_actions.clear();
    m_coordinator.queryAnswered(makeRefusal(sent.request.id), at(20ms), m_actions);
    EXPECT_EQ(allOf<SendAttempt>(m_actions).size(), 1u);
}

// Guards against a caller waiting for a node that has ended.
TEST_F(CallCoordinatorTest, AnswersMayHaveRunAtOnceWhenTheNodeIsGone)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(10s)), at(0s));
    reply(makeLoss(sent.request.id), at(10ms));
    m_actions.clear();
    m_coordinator.nodeTerminated(sent.target.node, at(30ms), m_actions);
    EXPECT_EQ(onlyAnswer(m_actions).outcome, RunOutcome::MayHaveRun);
}

// Guards against further waiting after the node itself has reported that the response is lost.
TEST_F(CallCoordinatorTest, AnswersMayHaveRunAtOnceWhenTheNodeReportsTheLoss)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(10s)), at(0s));
    auto answer = onlyAnswer(reply(makeLoss(sent.request.id, LossReason::TargetClosed), at(10ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::MayHaveRun);
    EXPECT_EQ(failureOf(answer), CallFailure::ResponseLost);
}

// Guards against "not run" at the deadline while an attempt is outstanding (P3), and against a late answer (P9).
TEST_F(CallCoordinatorTest, AnswersMayHaveRunAtTheDeadlineAndCancels)
{
    for (auto kind : { RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Patient }) {
        auto sent = start(makeCall(static_cast<uint64_t>(kind), kind, at(1s)), at(0s));
        EXPECT_EQ(m_coordinator.nextWake(), at(1s));
        EXPECT_TRUE(tick(at(999ms)).empty());
        auto actions = tick(at(1s));
        EXPECT_EQ(onlyAnswer(actions).outcome, RunOutcome::MayHaveRun);
        ASSERT_EQ(allOf<SendCancel>(actions).size(), 1u);
        EXPECT_EQ(allOf<SendCancel>(actions)[0].cancel.id, sent.request.id);
        EXPECT_TRUE(reply(makeAnswer(sent.request.id), at(1001ms)).empty());
    }
    EXPECT_EQ(m_coordinator.counters().droppedReplies, 3u);
}

// Guards against a reply processed before the timer of a deadline that has passed.
TEST_F(CallCoordinatorTest, TheDeadlineComesBeforeAReplyReadLater)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s)), at(0s));
    auto answer = onlyAnswer(reply(makeAnswer(sent.request.id), at(1500ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::MayHaveRun);
}

TEST_F(CallCoordinatorTest, RetriesLostIdempotentCallsElsewhere)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s), 2), at(0s));
    m_actions.clear();
    m_coordinator.linkLost(sent.target.node, at(10ms), m_actions);
    auto second = allOf<SendAttempt>(m_actions);
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(second[0].target, sent.target);
    // One token was granted to the lost attempt and one was spent on the retry.
    EXPECT_EQ(second[0].request.retryTokens, 0u);
    EXPECT_EQ(onlyAnswer(reply(makeAnswer(second[0].request.id), at(20ms))).retryTokensUsed, 2u);
}

// Guards against retries by a sender without tokens.
TEST_F(CallCoordinatorTest, DoesNotRetryWithoutAToken)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s), 0), at(0s));
    auto answer = onlyAnswer(reply(makeLoss(sent.request.id, LossReason::TargetClosed), at(10ms)));
    EXPECT_EQ(answer.outcome, RunOutcome::MayHaveRun);
}

// Guards against a retry that cannot end in time.
TEST_F(CallCoordinatorTest, DoesNotRetryWithLessThanTheMedianLeft)
{
    warmUp(100ms);
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s)), at(200ms));
    auto answer = onlyAnswer(reply(makeAnswer(sent.request.id, 503), at(910ms)));
    EXPECT_EQ(std::get<HttpResponse>(answer.result).status, 503);
}

// Guards against tokens that are spent twice.
TEST_F(CallCoordinatorTest, UnusedTokensComeBack)
{
    auto sent = start(makeCall(1, RequestKind::Idempotent, at(1s), 5), at(0s));
    EXPECT_EQ(sent.request.retryTokens, 2u);
    auto second = allOf<SendAttempt>(reply(makeAnswer(sent.request.id, 503, 1), at(10ms)));
    ASSERT_EQ(second.size(), 1u);
    // 3 kept + 1 returned - 1 for the retry = 3, of which one is given.
    EXPECT_EQ(second[0].request.retryTokens, 1u);
    EXPECT_EQ(onlyAnswer(reply(makeAnswer(second[0].request.id), at(20ms))).retryTokensUsed, 2u);
}

// Guards against tail latency from one straggler, and against a losing attempt that keeps running.
TEST_F(CallCoordinatorTest, HedgesAfterTheP95AndCancelsTheLoser)
{
    warmUp(10ms);
    auto call = makeCall(1, RequestKind::Idempotent, at(1s));
    call.definition.isHedged = true;
    auto sent = start(call, at(100ms));
    EXPECT_TRUE(allOf<SendAttempt>(tick(at(110ms))).empty());
    EXPECT_EQ(m_coordinator.nextWake(), at(110ms + 1us));
    auto hedge = allOf<SendAttempt>(tick(at(110ms + 1us)));
    ASSERT_EQ(hedge.size(), 1u);
    EXPECT_NE(hedge[0].target, sent.target);
    EXPECT_TRUE(allOf<SendAttempt>(tick(at(200ms))).empty());
    auto actions = reply(makeAnswer(hedge[0].request.id), at(210ms));
    EXPECT_EQ(onlyAnswer(actions).outcome, RunOutcome::Run);
    ASSERT_EQ(allOf<SendCancel>(actions).size(), 1u);
    EXPECT_EQ(allOf<SendCancel>(actions)[0].cancel.id, sent.request.id);
    EXPECT_TRUE(reply(makeAnswer(sent.request.id), at(211ms)).empty());
    EXPECT_EQ(m_coordinator.counters().droppedReplies, 1u);
}

// Guards against a hedge of an at-most-once call.
TEST_F(CallCoordinatorTest, NeverHedgesAtMostOnceCalls)
{
    warmUp(10ms);
    auto call = makeCall(1, RequestKind::AtMostOnce, at(1s));
    call.definition.isHedged = true;
    start(call, at(100ms));
    EXPECT_EQ(m_coordinator.nextWake(), at(1s));
}

// Guards against a hedge sent to the target of the first attempt.
TEST_F(CallCoordinatorTest, DoesNotHedgeToTheSameTarget)
{
    useTargets(1);
    warmUp(10ms);
    auto call = makeCall(1, RequestKind::Idempotent, at(1s));
    call.definition.isHedged = true;
    start(call, at(100ms));
    EXPECT_TRUE(allOf<SendAttempt>(tick(at(111ms))).empty());
}

TEST_F(CallCoordinatorTest, CallerGoneCancelsAndAnswersNothing)
{
    auto sent = start(makeCall(1, RequestKind::AtMostOnce, at(1s)), at(0s));
    m_actions.clear();
    m_coordinator.callerDisconnected(sent.request.id.call, at(10ms), m_actions);
    EXPECT_EQ(allOf<SendCancel>(m_actions).size(), 1u);
    EXPECT_TRUE(allOf<AnswerCaller>(m_actions).empty());
    EXPECT_TRUE(tick(at(2s)).empty());
}

TEST_F(CallCoordinatorTest, AnswersAtOnceWithoutATarget)
{
    useTargets(0);
    m_coordinator.startCall(makeCall(1, RequestKind::Idempotent, at(1s)), at(0s), m_actions);
    auto answer = onlyAnswer(m_actions);
    EXPECT_EQ(answer.outcome, RunOutcome::NotRun);
    EXPECT_EQ(failureOf(answer), CallFailure::NoTarget);
    EXPECT_GT(answer.retryAfter, 0ms);
}

// Guards against endless call cycles.
TEST_F(CallCoordinatorTest, RefusesCallsThatAreTooDeep)
{
    auto call = makeCall(1, RequestKind::Idempotent, at(1s));
    call.depth = 33;
    m_coordinator.startCall(call, at(0s), m_actions);
    EXPECT_EQ(failureOf(onlyAnswer(m_actions)), CallFailure::DepthExceeded);
}

// Guards against permitting the sum of share and floor, and against a service with few calls that can never retry.
TEST(CallBudget, AllowsTheLargerOfShareAndFloor)
{
    for (double rate : { 1.0, 10.0, 100.0, 1000.0 }) {
        CallBudget budget({ .share = 0.1, .floorPerSecond = 3 });
        int taken = 0;
        const int seconds = 100;
        for (int n = 0; n < rate * seconds; ++n) {
            budget.recordCall();
            Instant now { Duration(static_cast<int64_t>(n * 1e6 / rate)) };
            while (budget.tryTake(now))
                ++taken;
        }
        double expected = std::max(0.1 * rate, 3.0) * seconds;
        EXPECT_LE(taken, expected + 23 + 3) << rate;
        EXPECT_GE(taken, std::min(expected * 0.9, expected - 30)) << rate;
    }
}

} // namespace
} // namespace Berylport::CallTest
