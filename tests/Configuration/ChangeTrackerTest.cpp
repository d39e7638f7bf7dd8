// Guards against silent overwrites by racing operators, changes applied twice, and changes reported as accepted too
// early.
#include "Base/Overloaded.h"
#include "Base/Random.h"
#include "Configuration/Configuration.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

constexpr Instant start = instantFromMicroseconds(0);

// The table as far as a change sees it: a head, one service row, tokens, and faults.
class ChangeTable {
public:
    uint64_t head() const { return m_head; }
    const std::optional<ServiceDefinition>& service() const { return m_service; }

    WriteResult write(const WriteChange& request)
    {
        if (m_tokens.contains(request.token))
            return m_tokens[request.token];
        if (request.expectedHead != m_head)
            return WriteResult::HeadMoved;
        ++m_head;
        ++m_writes;
        if (auto* put = std::get_if<PutService>(&request.change))
            m_service = put->definition;
        else
            m_service.reset();
        return m_tokens[request.token] = WriteResult::Written;
    }

    int writes() const { return m_writes; }

private:
    uint64_t m_head { 0 };
    int m_writes { 0 };
    std::optional<ServiceDefinition> m_service;
    std::map<std::string, WriteResult> m_tokens;
};

struct Faults {
    double unavailable { 0 };
    double lostConfirmation { 0 };
};

// Runs one operator's change step by step, so that several can be interleaved.
class Operator {
public:
    Operator(ChangeTable& table, Random& random, Faults faults, ChangeTracker::Request request)
        : m_table(table)
        , m_random(random)
        , m_faults(faults)
        , m_tracker({}, std::move(request))
    {
        m_tracker.start(start, m_actions);
    }

    // Performs one pending action, or lets time pass.
    void step()
    {
        if (m_actions.empty()) {
            m_now += 50ms;
            m_tracker.tick(m_now, m_actions);
            return;
        }
        ChangeAction action = m_actions.front();
        m_actions.erase(m_actions.begin());
        std::visit([&](auto& it) { perform(it); }, action);
    }

    void run()
    {
        for (int i = 0; i < 1000 && !finished; ++i)
            step();
    }

    std::optional<FinishChange> finished;
    std::vector<ZoneConfirmation> zones { { .zone = ZoneName("kandy-a"), .version = 1000 } };

private:
    void perform(const ReadForChange&)
    {
        if (m_random.chance(m_faults.unavailable))
            m_tracker.readFailed(m_now, m_actions);
        else
            m_tracker.rowsRead(m_table.head(), m_table.service(), m_now, m_actions);
    }
    void perform(const WriteChange& it)
    {
        if (m_random.chance(m_faults.unavailable)) {
            m_tracker.writeFinished(WriteResult::Unavailable, m_now, m_actions);
            return;
        }
        WriteResult result = m_table.write(it);
        bool isLost = m_random.chance(m_faults.lostConfirmation);
        m_tracker.writeFinished(isLost ? WriteResult::Unknown : result, m_now, m_actions);
    }
    void perform(const ReadZoneConfirmations&) { m_tracker.zonesRead(zones, m_now, m_actions); }
    void perform(const FinishChange& it) { finished = it; }

    ChangeTable& m_table;
    Random& m_random;
    Faults m_faults;
    ChangeTracker m_tracker;
    Instant m_now { start };
    std::vector<ChangeAction> m_actions;
};

ChangeTracker::Request putRequest(std::string token, uint64_t expectedVersion, Duration wait = 1s)
{
    ServiceDefinition definition { .name = ServiceName("bookings"), .callerWait = wait };
    return { .change = PutService { definition }, .expectedVersion = expectedVersion, .token = std::move(token) };
}

} // namespace

TEST(ChangeTracker, CreatesThenConflictsWithTheVersionFound)
{
    Random random(1);
    ChangeTable table;
    Operator first(table, random, {}, putRequest("a", 0));
    first.run();
    EXPECT_EQ(first.finished->outcome, ChangeOutcome::Accepted);
    EXPECT_EQ(first.finished->version, 1u);
    Operator second(table, random, {}, putRequest("b", 1));
    second.run();
    EXPECT_EQ(second.finished->version, 2u);
    Operator stale(table, random, {}, putRequest("c", 1));
    stale.run();
    EXPECT_EQ(stale.finished->outcome, ChangeOutcome::Conflict);
    EXPECT_EQ(stale.finished->version, 2u);
}

TEST(ChangeTracker, ZoneThatHasNotConfirmedMakesItPending)
{
    Random random(1);
    ChangeTable table;
    Operator change(table, random, {}, putRequest("a", 0));
    change.zones.push_back({ .zone = ZoneName("galle-a"), .version = 0 });
    change.run();
    EXPECT_EQ(change.finished->outcome, ChangeOutcome::Pending);
    EXPECT_EQ(change.finished->missingZones, std::vector { ZoneName("galle-a") });
}

TEST(ChangeTracker, ChangeIsNotAcceptedWhileNoZoneIsRegistered)
{
    Random random(1);
    ChangeTable table;
    Operator change(table, random, {}, putRequest("a", 0));
    change.zones.clear();
    change.run();
    EXPECT_EQ(change.finished->outcome, ChangeOutcome::Pending);
}

TEST(ChangeTracker, InvalidDefinitionIsRefusedBeforeTheStoreIsAsked)
{
    Random random(1);
    ChangeTable table;
    Operator change(table, random, { .unavailable = 1 }, putRequest("a", 0, 0s));
    change.run();
    EXPECT_EQ(change.finished->outcome, ChangeOutcome::Invalid);
    EXPECT_EQ(change.finished->fault, DefinitionError::CallerWaitOutOfRange);
}

TEST(ChangeTracker, StoreOutageEndsWithAClearOutcome)
{
    Random random(1);
    ChangeTable table;
    Operator down(table, random, { .unavailable = 1 }, putRequest("a", 0));
    down.run();
    EXPECT_EQ(down.finished->outcome, ChangeOutcome::StoreUnavailable);
    Operator lost(table, random, { .lostConfirmation = 1 }, putRequest("b", 0));
    lost.run();
    EXPECT_EQ(lost.finished->outcome, ChangeOutcome::Unresolved);
}

// Racing operators with lost confirmations: each accepted change was written exactly once, and nothing else was written
// but changes reported as unresolved.
RC_GTEST_PROP(ChangeTracker, RacingOperatorsNeverOverwriteOrRepeat, (uint64_t seed))
{
    Random random(seed);
    ChangeTable table;
    Faults faults { .unavailable = 0.2, .lostConfirmation = 0.3 };
    std::deque<Operator> operators;
    for (int i = 0; i < 4; ++i)
        operators.emplace_back(table, random, faults, putRequest("token-" + std::to_string(i), random.below(3)));
    for (int i = 0; i < 4000; ++i) {
        auto& it = operators[random.below(operators.size())];
        if (!it.finished)
            it.step();
    }
    int accepted = 0;
    int unresolved = 0;
    for (auto& it : operators) {
        RC_ASSERT(it.finished.has_value());
        accepted += it.finished->outcome == ChangeOutcome::Accepted;
        unresolved += it.finished->outcome == ChangeOutcome::Unresolved;
    }
    RC_ASSERT(table.writes() >= accepted);
    RC_ASSERT(table.writes() <= accepted + unresolved);
}
