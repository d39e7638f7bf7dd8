// Adaptive concurrency limit of one target. Many servers slow down beyond a fraction of their slots, so that higher
// concurrency lowers throughput. The limit takes effect under overload only.
//
// Each finished call is compared with others of its route at the same speed of the VM, and the slowdown is kept by the
// number of calls that ran beside it. The limit is the number with the most finished calls a second.
//
// An unknown target starts below its slots, and one more level is allowed once the highest allowed one has enough
// samples: a target that is full from the start, as all are after a power loss, would otherwise only yield samples at
// its slowest.
//
// On some servers a call is slowed down by the calls running when it starts (it gets a processor or it does not), on
// others by the calls running concurrently at each moment. Both models are fitted; the one with the smaller prediction
// error determines the limit.
#pragma once

#include "Base/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Berylport {

// A call that has ended at its target.
struct FinishedRun {
    std::string route;
    // At the VM's usual speed.
    Duration elapsed {};
    // Calls that ran when it started, itself included.
    uint32_t runningAtStart { 0 };
    // Calls that ran beside it on average, itself included.
    double meanRunning { 0 };
};

class ConcurrencyLimit {
public:
    struct Options {
        // Weight of a new sample in a route's own time.
        double smoothing { 0.1 };
        // Weight of a new sample of a level. Less, as the calls of all routes count there, and a limit that follows
        // each slow spell of the VM costs more than one that is late.
        double levelSmoothing { 0.03 };
        // Weight of a sample above full speed in a route's own time. Such a sample cannot tell a longer call from a
        // slower target, so it may only move the time slowly; a share above it lets both drift away under a long
        // overload.
        double overloadSmoothing { 0.01 };
        // Weight of a new sample in how well a model tells the times.
        double errorSmoothing { 0.02 };
        // A level is trusted after this many samples.
        uint32_t minimumSamples { 12 };
        // Levels up to this share of the slots are taken to run at full speed; the others are compared with them.
        double fullSpeedShare { 0.5 };
        // Share of the slots that a target of which nothing is known may use.
        double initialShare { 0.75 };
        // Another limit must finish this much more than the present one, so that noise does not move it.
        double minimumGain { 0.04 };
        // What was learned of a level loses half of its weight in this time without samples, so that a limit that has
        // become too low is tried again.
        Duration decayHalfLife { std::chrono::seconds(20) };
    };

    ConcurrencyLimit()
        : ConcurrencyLimit(Options {})
    {
    }
    explicit ConcurrencyLimit(const Options& options)
        : m_options(options)
    {
    }

    // Forgets everything when the number differs, as the target is another one.
    void setSlots(uint16_t);
    uint16_t limit() const { return m_limit; }

    void recordRun(const FinishedRun&, Instant now);

    // Time that a call of the route takes at usual speed and full speed of the target; zero when unknown.
    Duration baseTime(const std::string& route) const;
    // Mean distance of the route's calls from that time.
    Duration deviation(const std::string& route) const;
    // How much longer calls take at the limit than at the target's full speed.
    double slowdownAtLimit(Instant now) const { return m_limit ? slowdownAt(bestModel(), m_limit, now) : 1; }

private:
    struct Level {
        // Time of a call relative to the route's time at full speed.
        double slowdown { 1 };
        uint32_t samples { 0 };
        Instant lastSample;
    };
    // What slows a call down: the calls at its start, or those during its run.
    struct Model {
        // By number of calls at once; index zero is unused.
        std::vector<Level> levels;
        // Smoothed square of the logarithm of a call's time divided by what was expected of it.
        double error { 0 };
    };
    struct Route {
        // Microseconds.
        double baseTime { 0 };
        double deviation { 0 };
    };
    static constexpr size_t startModel = 0;
    static constexpr size_t meanModel = 1;

    bool isFullSpeed(size_t level) const;
    // The highest level that may be tried now.
    size_t highestAllowedLevel(const Model&) const;
    const Model& bestModel() const { return m_models[m_models[meanModel].error < m_models[startModel].error]; }
    double slowdownAt(const Model&, size_t level, Instant now) const;
    void updateLevel(Model&, size_t level, double sample, double baseTime, Instant now);
    void updateLimit(Instant now);

    Options m_options;
    uint16_t m_slots { 0 };
    uint16_t m_limit { 0 };
    std::array<Model, 2> m_models;
    std::map<std::string, Route> m_routes;
};

} // namespace Berylport
