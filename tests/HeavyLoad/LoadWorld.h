// A service under heavy load in virtual time: the product's call coordinators and admission controllers, joined by a
// network with a fixed delay, before targets that slow down when nearly full and on VMs with slow spells. Callers that
// are refused with a time to return come back then.
#pragma once

#include "Admission/Admission.h"
#include "Calls/Calls.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Berylport::HeavyLoad {

// Who places and admits calls.
enum class Contestant : uint8_t {
    // As the product runs.
    Product,
    // The product's admission behind other ways of placing.
    Random,
    RoundRobin,
    TwoChoices,
    // The product's placing before a queue in order of arrival, without objectives, learned limits and hand-ons.
    PlainQueue,
    // Places by the true state of all targets at that moment; admission as in the product.
    AllKnowing,
};

struct WorldOptions {
    uint64_t seed { 1 };
    Duration length { std::chrono::seconds(8) };
    size_t senders { 12 };
    size_t targets { 12 };
    uint16_t slots { 8 };
    // From this share of the slots on work slows down, up to this factor when all are taken.
    double kneeShare { 0.8 };
    double kneeFactor { 1.7 };
    // Each VM is slow in this share of its spells.
    double slowShare { 0.3 };
    double slowFactor { 4 };
    Duration spell { std::chrono::milliseconds(300) };
    // Calls a second, and during the burst.
    double rate { 500 };
    double burstRate { 1100 };
    Duration burstStart { std::chrono::seconds(3) };
    Duration burstEnd { std::chrono::seconds(5) };
    // Between two targets that are replaced one after the other; none are when zero.
    Duration replacementInterval {};
};

struct CallClass {
    std::string name;
    Priority priority { Priority::Normal };
    double share { 0 };
    Duration work {};
    Duration objective {};
    Duration deadline {};
    double worth { 1 };
};

const std::vector<CallClass>& callClasses();

struct ClassResult {
    size_t calls { 0 };
    size_t served { 0 };
    size_t inTime { 0 };
    // Ended by a refusal, after at most one return.
    size_t refused { 0 };
    // Time from sending to refusal, both for calls that come back and for those that do not.
    std::vector<Duration> refusalTimes;
    double servedShare() const { return static_cast<double>(served) / static_cast<double>(calls); }
};

struct WorldResult {
    std::map<std::string, ClassResult> classes;
    // Worth of the calls answered within their objective, plus a tenth for later ones, over the worth of all.
    double earnedShare { 0 };
    // Calls that ran twice, or that ran although their caller was told that they had not.
    size_t falseAnswers { 0 };
};

class World {
public:
    World(Contestant, const WorldOptions&);
    WorldResult run();

private:
    struct Run {
        AttemptId id;
        double workLeft { 0 };
    };
    struct Target {
        TargetId id;
        std::unique_ptr<AdmissionController> admission;
        std::vector<Run> runs;
        bool isSlow { false };
        bool isAway { false };
        Instant coldUntil;
        // Up to here the runs' work has been counted.
        Instant workedUntil;
        // Only the newest planned completion is valid.
        uint64_t plan { 0 };
    };
    struct Caller {
        const CallClass* callClass { nullptr };
        size_t sender { 0 };
        Instant firstSent;
        Instant sent;
        double work { 0 };
        bool hasReturned { false };
        uint32_t runs { 0 };
        bool isAnswered { false };
    };

    using Event = std::function<void()>;
    void at(Instant time, Event event) { m_events.emplace(time, std::move(event)); }

    void addTargets();
    void publishTargets();
    void scheduleArrival();
    void beginSpell(Target&);
    void replace(size_t target);
    void call(const CallId&);
    void placeByTruth(const CallId&);
    void perform(CallActions);
    void perform(Target&, AdmissionActions);
    void receive(Target&, CallRequest);
    void answer(const AnswerCaller&);
    void wakeSender(size_t sender);
    void wakeTarget(Target&);
    void work(Target&);
    void plan(Target&);
    double slowdown(const Target&) const;
    CallRequest makeRequest(const CallId&, uint32_t attempt, NodeId receiver) const;
    void count(Caller&, bool isServed);

    Contestant m_contestant;
    WorldOptions m_options;
    Random m_random;
    Instant m_start { instantFromMicroseconds(1'000'000) };
    Instant m_now { m_start };
    std::multimap<Instant, Event> m_events;
    std::vector<std::unique_ptr<CallCoordinator>> m_senders;
    std::vector<Target> m_targets;
    std::map<CallId, Caller> m_callers;
    // Of the all-knowing contestant, which has no coordinator: targets that refused a call.
    std::map<CallId, std::set<size_t>> m_refusedBy;
    uint64_t m_nextCall { 0 };
    WorldResult m_result;
    double m_offeredWorth { 0 };
    double m_earnedWorth { 0 };
};

} // namespace Berylport::HeavyLoad
