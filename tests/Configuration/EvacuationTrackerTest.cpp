// Guards against nodes that send calls to an evacuated zone because an older set of zones replaced a newer one, and
// against zones that stay closed after the operator has taken the evacuation back.
#include "Configuration/Configuration.h"

#include "Base/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace Berylport;

namespace {

const ZoneName zoneA("zone-a");
const ZoneName zoneB("zone-b");

// Tells each node's set to the others until nobody has anything new, as gossip does.
void exchange(std::vector<EvacuationTracker>& nodes)
{
    for (bool hasChanged = true; hasChanged;) {
        hasChanged = false;
        for (auto& from : nodes) {
            auto report = from.report();
            if (!report)
                continue;
            for (auto& to : nodes) {
                auto before = to.held();
                bool wasSilent = !to.report();
                to.peerReported(*report);
                hasChanged |= before != to.held() || wasSilent;
            }
        }
    }
}

} // namespace

TEST(EvacuationTracker, ASystemWithoutEvacuationsTellsNothing)
{
    EvacuationTracker node;
    EXPECT_FALSE(node.sourceRead(1, 100, {}));
    EXPECT_FALSE(node.sourceChanged(1, 120, {}));
    EXPECT_FALSE(node.report().has_value());
}

TEST(EvacuationTracker, AFeedChangesTheSetThatWasRead)
{
    EvacuationTracker node;
    EXPECT_TRUE(node.sourceRead(1, 100, { zoneB }));
    EXPECT_TRUE(node.sourceChanged(1, 101, { { .zone = zoneA, .isEvacuated = true } }));
    EXPECT_TRUE(node.isEvacuated(zoneA) && node.isEvacuated(zoneB));
    EXPECT_TRUE(node.sourceChanged(
        1, 104, { { .zone = zoneB, .isEvacuated = false }, { .zone = zoneA, .isEvacuated = true } }));
    EXPECT_EQ(node.held().zones, std::vector { zoneA });
}

// An answer of the store that comes late must not undo what is known since.
TEST(EvacuationTracker, LateAnswersChangeNothing)
{
    EvacuationTracker node;
    node.sourceRead(1, 110, {});
    EXPECT_FALSE(node.sourceRead(1, 105, { zoneA }));
    EXPECT_FALSE(node.sourceChanged(1, 107, { { .zone = zoneA, .isEvacuated = true } }));
    EXPECT_FALSE(node.isEvacuated(zoneA));
}

// The node missed both the evacuation and its end; a peer that missed the end only must not close the zone again.
TEST(EvacuationTracker, APeerThatMissedTheEndIsToldOfIt)
{
    EvacuationTracker current;
    current.sourceRead(1, 90, {});
    current.sourceRead(1, 120, {});
    EvacuationTracker late;
    late.sourceRead(1, 105, { zoneA });
    EXPECT_FALSE(current.peerReported(*late.report()));
    ASSERT_TRUE(current.report().has_value());
    EXPECT_TRUE(late.peerReported(*current.report()));
    EXPECT_FALSE(late.isEvacuated(zoneA));
}

// Versions of a restored store are given out again, so the era goes before the version.
TEST(EvacuationTracker, ALaterEraHolds)
{
    EvacuationTracker node;
    node.sourceRead(1, 500, { zoneA });
    EXPECT_TRUE(node.sourceRead(2, 300, {}));
    EXPECT_FALSE(node.peerReported({ .era = 1, .version = 900, .zones = { zoneA } }));
    EXPECT_FALSE(node.isEvacuated(zoneA));
}

// Nodes read, follow and tell each other in any order, with answers that come late. Once one node has read the present
// set and all have told each other, all hold it; and no node ever goes back to an older position.
RC_GTEST_PROP(EvacuationTrackerProperty, AllNodesComeToTheNewestSet, (uint32_t seed))
{
    Random random(seed);
    std::vector<EvacuationTracker> nodes(5);
    std::vector<uint64_t> positions(nodes.size(), 0);
    const std::vector<ZoneName> names { zoneA, zoneB, ZoneName("zone-c") };
    std::vector<std::pair<uint64_t, EvacuationChange>> history;
    std::set<ZoneName> present;
    uint64_t version = 1;
    auto zonesAt = [&](uint64_t at) {
        std::set<ZoneName> zones;
        for (auto& [changedAt, change] : history) {
            if (changedAt > at)
                break;
            if (change.isEvacuated)
                zones.insert(change.zone);
            else
                zones.erase(change.zone);
        }
        return std::vector<ZoneName>(zones.begin(), zones.end());
    };
    for (int step = 0; step < 200; ++step) {
        ++version;
        if (random.chance(0.1)) {
            ZoneName zone = names[random.below(names.size())];
            bool isEvacuated = !present.contains(zone);
            if (isEvacuated)
                present.insert(zone);
            else
                present.erase(zone);
            history.emplace_back(version, EvacuationChange { .zone = zone, .isEvacuated = isEvacuated });
        }
        size_t n = random.below(nodes.size());
        uint64_t before = nodes[n].held().version;
        if (!positions[n] || random.chance(0.3)) {
            uint64_t at = version - random.below(std::min<uint64_t>(version, 6));
            nodes[n].sourceRead(1, at, zonesAt(at));
            positions[n] = std::max(positions[n], at);
        } else if (random.chance(0.5)) {
            std::vector<EvacuationChange> changes;
            for (auto& [changedAt, change] : history) {
                if (changedAt > positions[n])
                    changes.push_back(change);
            }
            nodes[n].sourceChanged(1, version, changes);
            positions[n] = version;
        } else if (auto report = nodes[random.below(nodes.size())].report())
            nodes[n].peerReported(*report);
        RC_ASSERT(nodes[n].held().version >= before);
        RC_ASSERT(nodes[n].held().zones == zonesAt(nodes[n].held().version));
    }
    ++version;
    nodes[0].sourceRead(1, version, zonesAt(version));
    exchange(nodes);
    bool isKnown = nodes[0].report().has_value();
    for (auto& it : nodes) {
        if (isKnown)
            RC_ASSERT(it.held().zones == zonesAt(version));
    }
}
