// Discrete-event simulation of a service under heavy load. Call coordinators and admission controllers of the product
// are connected by a network with a fixed delay. Targets slow down when nearly full and run on VMs that are temporarily
// slow. Callers that are refused with a retry delay retry once after it.
#pragma once

#include "Admission/Admission.h"
#include "Calls/Calls.h"
#include "Suspects/Suspects.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Berylport::HeavyLoad {

// Routing and admission strategy under test.
enum class Strategy : uint8_t {
    // Routing and admission as in the product.
    Product,
    // Other selection policies with the product's admission.
    Random,
    RoundRobin,
    TwoChoices,
    // The product's target selection in front of a FIFO queue, without objectives, learned limits and soft refusals.
    PlainQueue,
    // Selects by the true current state of all targets; admission as in the product.
    Oracle,
};

struct WorldOptions {
    uint64_t seed { 1 };
    Duration length { std::chrono::seconds(8) };
    size_t senders { 12 };
    size_t targets { 12 };
    uint16_t slots { 8 };
    // Above this share of occupied slots calls slow down, up to this factor when all slots are occupied.
    double slowdownThreshold { 0.8 };
    double slowdownWhenFull { 1.7 };
    // Each VM is slow in this share of the intervals after which its speed is drawn anew.
    double slowShare { 0.3 };
    double slowFactor { 4 };
    Duration speedInterval { std::chrono::milliseconds(300) };
    // Calls per second outside and during the burst.
    double rate { 500 };
    double burstRate { 1100 };
    Duration burstStart { std::chrono::seconds(3) };
    Duration burstEnd { std::chrono::seconds(5) };
    // This many targets name a request limit from the start of the burst on; zero disables it.
    size_t limitedTargets { 0 };
    double requestLimit { 0 };
    // Interval between replacements in a rolling replacement of all targets; zero disables it.
    Duration replacementInterval {};
    // Copies per second, from the start of the burst on, of a request that ends each target that has run it. Targets
    // are back after this time.
    double crashingRate { 0 };
    Duration recoveryTime { std::chrono::seconds(3) };
    // Whether the senders tell each other under which requests targets ended.
    bool sharesSuspects { true };
};

struct CallClass {
    std::string name;
    Priority priority { Priority::Normal };
    double share { 0 };
    Duration work {};
    Duration objective {};
    Duration deadline {};
    double utility { 1 };
};

const std::vector<CallClass>& callClasses();

struct ClassResult {
    size_t calls { 0 };
    size_t served { 0 };
    size_t inTime { 0 };
    // Calls that finally failed, after at most one retry by the caller.
    size_t refused { 0 };
    // Times from sending to refusal, including refusals after which the caller retries.
    std::vector<Duration> refusalTimes;
    double servedShare() const { return static_cast<double>(served) / static_cast<double>(calls); }
};

struct WorldResult {
    std::map<std::string, ClassResult> classes;
    // Utility of the calls answered within their objective plus a tenth of that of later ones, relative to the utility
    // of all calls.
    double utilityShare { 0 };
    // Calls that ran twice, or that ran although their caller was told that they had not.
    size_t falseAnswers { 0 };
    // Most requests that a limited target got in four seconds, from three seconds after it first named its limit.
    size_t mostAtLimitedTarget { 0 };
    size_t targetEnds { 0 };
    // Calls that were refused because their request was taken for one that ends targets.
    size_t refusedInnocents { 0 };
};

class World {
public:
    World(Strategy, const WorldOptions&);
    WorldResult run();

private:
    struct Run {
        AttemptId id;
        double workLeft { 0 };
        Instant startedAt;
    };
    struct Target {
        TargetId id;
        std::unique_ptr<AdmissionController> admission;
        std::vector<Run> runs;
        bool isSlow { false };
        bool isAway { false };
        Instant coldUntil;
        // Starts of the last four seconds.
        std::deque<Instant> starts;
        // Time up to which the progress of the runs has been computed.
        Instant progressAt;
        // Invalidates completion events scheduled for an earlier speed or set of runs.
        uint64_t completionVersion { 0 };
    };
    struct Caller {
        const CallClass* callClass { nullptr };
        size_t sender { 0 };
        Instant firstSent;
        Instant sent;
        double work { 0 };
        // Calls with the same path are the same request.
        std::string path;
        bool endsTarget { false };
        bool hasReturned { false };
        uint32_t runs { 0 };
        bool isAnswered { false };
    };

    using Event = std::function<void()>;
    void at(Instant time, Event event) { m_events.emplace(time, std::move(event)); }

    void addTargets();
    void publishTargets();
    void scheduleArrival();
    bool isLimited(const Target&) const;
    void countStart(Target&);
    void beginSpeedInterval(Target&);
    void replace(size_t target);
    void scheduleCrashing();
    // The target's process ends and is back after the recovery time.
    void endTarget(Target&);
    void comeBack(Target&);
    HttpRequest requestOf(const CallId&) const;
    void recordEvidence(const CallReply&);
    // Tells the other senders, a little later, what this one has learned.
    void tellSuspects(size_t sender);
    void call(const CallId&);
    void dispatchByOracle(const CallId&);
    void perform(CallActions);
    void perform(Target&, AdmissionActions);
    void receive(Target&, CallRequest);
    void answer(const AnswerCaller&);
    void wakeSender(size_t sender);
    void wakeTarget(Target&);
    void advanceWork(Target&);
    void scheduleCompletion(Target&);
    double slowdown(const Target&) const;
    CallRequest makeRequest(const CallId&, uint32_t attempt, NodeId receiver) const;
    void countOutcome(Caller&, bool isServed);

    Strategy m_strategy;
    WorldOptions m_options;
    Random m_random;
    Instant m_start { instantFromMicroseconds(1'000'000) };
    Instant m_now { m_start };
    std::multimap<Instant, Event> m_events;
    std::vector<std::unique_ptr<CallCoordinator>> m_senders;
    std::vector<SuspectTable> m_suspects;
    std::vector<Target> m_targets;
    std::map<CallId, Caller> m_callers;
    // Targets that refused a call; used by the oracle, which has no coordinator.
    std::map<CallId, std::set<size_t>> m_refusedBy;
    uint64_t m_nextCall { 0 };
    WorldResult m_result;
    double m_offeredUtility { 0 };
    double m_deliveredUtility { 0 };
};

} // namespace Berylport::HeavyLoad
