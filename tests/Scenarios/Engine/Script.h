// A parsed scenario: who takes part, what happens when, and what must hold afterwards.
#pragma once

#include "Base/Base.h"
#include "Scenarios/Engine/Receiver.h"

#include <string>
#include <variant>
#include <vector>

namespace Berylport::Scenario {

struct EntryDeclaration {
    std::string name;
};

struct TargetDeclaration {
    std::string name;
    ServiceName service;
    ZoneName zone { "kandy-a" };
    TargetBehaviour behaviour;
};

struct SendCalls {
    uint64_t first { 0 };
    uint64_t last { 0 };
    Duration interval {};
    std::string entry;
    ServiceDefinition definition;
    uint32_t depth { 0 };
};

struct LeaveCaller {
    uint64_t call { 0 };
};

enum class LinkChange : uint8_t {
    Cut,
    Heal,
    Duplicate,
    Delay,
};

struct ChangeLink {
    std::string entry;
    std::string target;
    LinkChange change { LinkChange::Cut };
    Duration delay {};
};

struct FreezeTarget {
    std::string target;
    Duration duration {};
};

struct CrashTarget {
    std::string target;
};

struct AnnounceGone {
    std::string target;
};

struct SetState {
    std::string target;
    TargetState state { TargetState::Ready };
};

struct SetSuspect {
    std::string target;
    bool isSuspect { true };
};

struct DrainTarget {
    std::string target;
};

struct SlowTarget {
    std::string target;
    Duration serviceTime {};
};

struct SetStatus {
    std::string target;
    uint16_t status { 200 };
};

struct CloseConnections {
    std::string target;
};

using StepAction = std::variant<SendCalls, LeaveCaller, ChangeLink, FreezeTarget, CrashTarget, AnnounceGone, SetState,
    SetSuspect, DrainTarget, SlowTarget, SetStatus, CloseConnections>;

struct Step {
    size_t line { 0 };
    Instant time;
    StepAction action;
};

enum class Comparison : uint8_t {
    AtMost,
    AtLeast,
    Exactly,
};

struct Bound {
    Comparison comparison { Comparison::Exactly };
    uint64_t count { 0 };
};

struct ExpectOutcome {
    uint64_t call { 0 };
    RunOutcome outcome { RunOutcome::Run };
    Instant by;
};

struct ExpectStatus {
    uint64_t call { 0 };
    uint16_t status { 0 };
};

struct ExpectFailure {
    uint64_t call { 0 };
    std::string failure;
};

struct ExpectUnanswered {
    uint64_t call { 0 };
};

struct ExpectRetryAfter {
    uint64_t call { 0 };
    Duration minimum {};
};

enum class CallCount : uint8_t {
    Starts,
    Attempts,
    Cancels,
};

struct ExpectCallCount {
    CallCount what { CallCount::Starts };
    uint64_t call { 0 };
    Bound bound;
};

struct ExpectStartsOn {
    std::string target;
    Bound bound;
    Instant after;
};

// Over all calls of the scenario.
struct ExpectCallsWithOutcome {
    RunOutcome outcome { RunOutcome::Run };
    Bound bound;
};

struct ExpectTotalAttempts {
    Bound bound;
};

struct ExpectDroppedReplies {
    std::string entry;
    Bound bound;
};

using Check = std::variant<ExpectOutcome, ExpectStatus, ExpectFailure, ExpectUnanswered, ExpectRetryAfter,
    ExpectCallCount, ExpectStartsOn, ExpectCallsWithOutcome, ExpectTotalAttempts, ExpectDroppedReplies>;

struct Expectation {
    size_t line { 0 };
    Check check;
};

struct Script {
    std::string file;
    std::vector<EntryDeclaration> entries;
    std::vector<TargetDeclaration> targets;
    std::vector<Step> steps;
    std::vector<Expectation> expectations;
};

} // namespace Berylport::Scenario
