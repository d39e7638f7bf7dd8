// Guards against a configuration that goes back, skips a change or is applied in part.
#include "Base/Random.h"
#include "Configuration/Configuration.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Berylport;

namespace {

ServiceDefinition makeService(std::string_view name, uint64_t version, Duration wait = std::chrono::seconds(1))
{
    return { .name = ServiceName(name), .callerWait = wait, .version = version };
}

// The history of changes that the table holds, one change a version.
class History {
public:
    explicit History(Random& random)
        : m_random(random)
    {
    }

    void change()
    {
        uint64_t version = m_store.version() + 1;
        std::string name = "service-" + std::to_string(m_random.below(4));
        ConfigurationDelta delta { .baseVersion = version - 1, .version = version };
        if (m_store.find(ServiceName(name)) && m_random.chance(0.3))
            delta.removed.push_back({ .name = ServiceName(name), .version = version });
        else
            delta.changed.push_back(makeService(name, version));
        if (version == 1)
            delta.baseVersion = 0;
        RC_ASSERT(m_store.apply(delta) == ApplyResult::Applied);
    }

    const ConfigurationStore& store() const { return m_store; }

private:
    Random& m_random;
    ConfigurationStore m_store { { .maximumRemovals = 3 } };
};

} // namespace

TEST(ConfigurationStore, OlderAndEqualVersionsAreIgnored)
{
    ConfigurationStore store;
    EXPECT_EQ(store.apply({ .version = 5, .changed = { makeService("a", 5) } }), ApplyResult::Applied);
    EXPECT_EQ(store.apply({ .version = 5, .changed = { makeService("a", 4) } }), ApplyResult::NotNewer);
    EXPECT_EQ(store.apply({ .version = 4 }), ApplyResult::NotNewer);
    EXPECT_EQ(store.find(ServiceName("a"))->version, 5u);
}

TEST(ConfigurationStore, DeltaWithAGapOrABadDefinitionChangesNothing)
{
    ConfigurationStore store;
    ASSERT_EQ(store.apply({ .version = 2, .changed = { makeService("a", 2) } }), ApplyResult::Applied);
    EXPECT_EQ(store.apply({ .baseVersion = 3, .version = 4 }), ApplyResult::Gap);
    ConfigurationDelta bad { .baseVersion = 2, .version = 3, .changed = { makeService("b", 3), makeService("", 3) } };
    EXPECT_EQ(store.apply(bad), ApplyResult::Malformed);
    EXPECT_EQ(store.version(), 2u);
    EXPECT_EQ(store.find(ServiceName("b")), nullptr);
}

// Nodes that exchange deltas in any order end with the same definitions, and no node's version ever decreases.
RC_GTEST_PROP(ConfigurationStore, DeltasInAnyOrderConverge, (uint64_t seed))
{
    Random random(seed);
    History history(random);
    ConfigurationStore nodes[3];
    for (int step = 0; step < 60; ++step) {
        if (random.chance(0.4))
            history.change();
        auto& learner = nodes[random.below(3)];
        const ConfigurationStore& teacher = random.chance(0.5) ? history.store() : nodes[random.below(3)];
        uint64_t before = learner.version();
        // A delayed answer may be based on a version that the learner has left behind.
        uint64_t base = random.below(before + 1);
        learner.apply(teacher.deltaSince(base));
        RC_ASSERT(learner.version() >= before);
    }
    for (auto& it : nodes) {
        it.apply(history.store().deltaSince(it.version()));
        RC_ASSERT(it.definitions() == history.store().definitions());
    }
}
