// Guards against a node that misses a change, floods a store that is down, or goes back to an older configuration.
#include "Configuration/Configuration.h"

#include "Base/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

SourcePosition at(uint64_t version, uint64_t era = 1) { return { .era = era, .version = version }; }

class SourceFollowerTest : public testing::Test {
protected:
    template <typename Action> std::vector<Action> take()
    {
        std::vector<Action> found;
        for (auto& it : m_actions) {
            if (auto* action = std::get_if<Action>(&it))
                found.push_back(*action);
        }
        m_actions.clear();
        return found;
    }

    void advance(Duration duration)
    {
        m_now += duration;
        m_follower.tick(m_now, m_actions);
    }

    Instant m_now = instantFromMicroseconds(0);
    std::vector<FollowerAction> m_actions;
    SourceFollower m_follower { SourceFollower::Options {} };
};

} // namespace

TEST_F(SourceFollowerTest, FollowsFromThePositionOfTheLastAnswer)
{
    m_follower.start(m_now, m_actions);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
    m_follower.sourceAnswered(at(40), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 40u);
    m_follower.sourceAnswered(at(45), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 45u);
}

// Following must go on where it stopped, or a change during the outage would be lost.
TEST_F(SourceFollowerTest, AfterAnOutageItFollowsFromTheSamePosition)
{
    m_follower.sourceAnswered(at(40), m_now, m_actions);
    m_actions.clear();
    m_follower.sourceFailed(m_now);
    EXPECT_FALSE(m_follower.isSourceReachable());
    advance(1s);
    EXPECT_EQ(take<FollowSource>().at(0).position, 40u);
    m_follower.sourceAnswered(at(41), m_now, m_actions);
    EXPECT_TRUE(m_follower.isSourceReachable());
}

// Every node of a fleet asks: an outage must neither be met with a flood nor be noticed late when it ends.
TEST_F(SourceFollowerTest, RetriesAtMostAboutTwiceASecondAndAtLeastOnceASecond)
{
    int asked = 0;
    m_follower.sourceAnswered(at(1), m_now, m_actions);
    m_actions.clear();
    m_follower.sourceFailed(m_now);
    for (Duration passed {}; passed < 20s; passed += 10ms) {
        advance(10ms);
        if (take<FollowSource>().empty())
            continue;
        ++asked;
        m_follower.sourceFailed(m_now);
    }
    EXPECT_GE(asked, 20);
    EXPECT_LE(asked, 44);
}

TEST_F(SourceFollowerTest, ForgottenHistoryIsReadAsAWhole)
{
    m_follower.sourceAnswered(at(40), m_now, m_actions);
    m_actions.clear();
    m_follower.historyTruncated(m_now, m_actions);
    advance(1s);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
}

// A change must not cost one call for every node of a large fleet, and a node whose peers are all gone must still ask.
TEST_F(SourceFollowerTest, ANodeThatIsNoReaderAsksRarelyAndFollowsAgainAsAReader)
{
    m_follower.setReader(false, m_now);
    m_follower.sourceAnswered(at(40), m_now, m_actions);
    EXPECT_TRUE(m_actions.empty());
    int asked = 0;
    for (Duration passed {}; passed < 60s; passed += 100ms) {
        advance(100ms);
        for (auto& it : take<FollowSource>()) {
            EXPECT_EQ(it.wait, Duration::zero());
            ++asked;
            m_follower.sourceAnswered(at(40), m_now, m_actions);
        }
    }
    EXPECT_GE(asked, 3);
    EXPECT_LE(asked, 6);
    m_follower.setReader(true, m_now);
    advance(1ms);
    EXPECT_GT(take<FollowSource>().at(0).wait, Duration::zero());
}

// At 195 nodes the rare questions of all were as dear as everything else that the store was asked.
TEST_F(SourceFollowerTest, ANodeThatHearsItsPeersAsksOnceAMinute)
{
    m_follower.setReader(false, m_now);
    m_follower.adopt(7);
    m_follower.sourceAnswered(at(40), m_now, m_actions);
    int asked = 0;
    auto passMinutes = [&](int minutes, bool hearsPeers) {
        for (Duration passed {}; passed < minutes * 60s; passed += 100ms) {
            if (hearsPeers)
                m_follower.peerVersionReported(NodeId { 1 }, 7, m_now, m_actions);
            advance(100ms);
            if (!take<ReadSource>().empty()) {
                ++asked;
                m_follower.sourceAnswered(at(40), m_now, m_actions);
            }
        }
    };
    passMinutes(5, true);
    EXPECT_GE(asked, 3);
    EXPECT_LE(asked, 5);
    // The peers fall silent: it asks as often as a node that never heard any.
    Instant silentSince = m_now;
    while (take<ReadSource>().empty() && m_now - silentSince < 60s)
        advance(100ms);
    EXPECT_LE(m_now - silentSince, 16s);
}

TEST_F(SourceFollowerTest, VersionsNeverGoBack)
{
    EXPECT_TRUE(m_follower.adopt(7));
    EXPECT_FALSE(m_follower.adopt(5));
    EXPECT_FALSE(m_follower.adopt(7));
    EXPECT_EQ(m_follower.version(), 7u);
}

// A node that the store turns away learns from its peers; a new version costs one fetch, not one for each peer.
TEST_F(SourceFollowerTest, FetchesANewerVersionOnceAndFromAnotherPeerWhenOneFails)
{
    m_follower.adopt(7);
    m_follower.peerVersionReported(NodeId { 1 }, 7, m_now, m_actions);
    EXPECT_TRUE(take<FetchFromPeer>().empty());
    m_follower.peerVersionReported(NodeId { 1 }, 8, m_now, m_actions);
    m_follower.peerVersionReported(NodeId { 2 }, 8, m_now, m_actions);
    EXPECT_EQ(take<FetchFromPeer>().size(), 1u);
    m_follower.fetchEnded();
    m_follower.peerVersionReported(NodeId { 2 }, 8, m_now, m_actions);
    EXPECT_EQ(take<FetchFromPeer>().at(0).node, NodeId { 2 });
    m_now += 1s;
    m_follower.peerVersionReported(NodeId { 3 }, 8, m_now, m_actions);
    EXPECT_EQ(take<FetchFromPeer>().at(0).node, NodeId { 3 });
}

TEST_F(SourceFollowerTest, AChangeBelowAVersionThatIsGivenOutAgainIsNotMissed)
{
    m_follower.start(m_now, m_actions);
    m_follower.sourceAnswered(at(50), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 50u);
    // Restored to version 40; the change has version 45, and others follow. The answer holds only what came after 50.
    m_follower.sourceAnswered(at(53, 2), m_now, m_actions);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
    m_follower.sourceAnswered(at(53, 2), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 53u);
}

TEST_F(SourceFollowerTest, AfterARestoreItFollowsFromTheLowerVersion)
{
    m_follower.sourceAnswered(at(50), m_now, m_actions);
    m_actions.clear();
    m_follower.historyTruncated(m_now, m_actions);
    advance(1s);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
    m_follower.sourceAnswered(at(41, 2), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 41u);
}

// A version that is given out again for the change that was missed leaves nothing to wait for.
TEST_F(SourceFollowerTest, TheFirstRequestAfterAnOutageDoesNotWaitForAChange)
{
    m_follower.sourceAnswered(at(50), m_now, m_actions);
    EXPECT_GT(take<FollowSource>().at(0).wait, 0s);
    m_follower.sourceFailed(m_now);
    advance(1s);
    EXPECT_EQ(take<FollowSource>().at(0).wait, 0s);
    m_follower.sourceAnswered(at(50, 2), m_now, m_actions);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
}

TEST_F(SourceFollowerTest, ASourceThatTellsNoEraIsFollowedAsBefore)
{
    m_follower.start(m_now, m_actions);
    m_follower.sourceAnswered(at(40, 0), m_now, m_actions);
    m_follower.sourceAnswered(at(41, 0), m_now, m_actions);
    m_actions.clear();
    m_follower.sourceAnswered(at(42, 2), m_now, m_actions);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
    m_follower.sourceAnswered(at(42, 2), m_now, m_actions);
    m_actions.clear();
    m_follower.sourceAnswered(at(43, 0), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 43u);
}

// An era that is too high, once, must not stop a node from following for good.
TEST_F(SourceFollowerTest, ALowerEraIsFollowed)
{
    m_follower.start(m_now, m_actions);
    m_follower.sourceAnswered(at(41, 1'000'000), m_now, m_actions);
    m_actions.clear();
    m_follower.sourceAnswered(at(42, 2), m_now, m_actions);
    EXPECT_EQ(take<ReadSource>().size(), 1u);
    m_follower.sourceAnswered(at(42, 2), m_now, m_actions);
    EXPECT_EQ(take<FollowSource>().at(0).position, 42u);
}

namespace {

// A source whose changes may be lost, with one document among other rows.
struct RestoredSource {
    struct State {
        uint64_t version { 0 };
        uint64_t document { 0 };
        uint64_t documentVersion { 0 };
        uint64_t truncatedTo { 0 };
    };

    void writeOther() { ++state.version; }
    void writeDocument(uint64_t document)
    {
        state.document = document;
        state.documentVersion = ++state.version;
    }
    void restore()
    {
        state = copy;
        ++era;
    }

    State state;
    State copy;
    uint64_t era { 1 };
};

} // namespace

RC_GTEST_PROP(SourceFollowerProperty, TheNewestDocumentIsFoundThroughAnyRestores, (uint64_t seed))
{
    Random random(seed);
    RestoredSource source;
    SourceFollower follower({ .seed = seed });
    Instant now = instantFromMicroseconds(0);
    std::vector<FollowerAction> actions;
    uint64_t newest = 0;
    bool isDown = false;
    // Answers one request as the source would at this moment. A follow without a change stays open.
    auto serve = [&] {
        for (auto& it : std::exchange(actions, {})) {
            if (isDown) {
                follower.sourceFailed(now);
                continue;
            }
            auto* follow = std::get_if<FollowSource>(&it);
            if (follow && (follow->position > source.state.version || follow->position < source.state.truncatedTo)) {
                follower.historyTruncated(now, actions);
                continue;
            }
            if (follow && follow->wait > Duration::zero() && follow->position == source.state.version) {
                actions.push_back(it);
                continue;
            }
            if (source.state.document && (!follow || source.state.documentVersion > follow->position))
                follower.adopt(source.state.document);
            follower.sourceAnswered({ .era = source.era, .version = source.state.version }, now, actions);
        }
    };
    follower.start(now, actions);
    for (int n = 0; n < 300; ++n) {
        now += Duration(static_cast<int64_t>(random.below(300'000)));
        switch (random.below(8)) {
        case 0:
            if (!isDown)
                source.writeDocument(++newest);
            break;
        case 1:
            source.copy = source.state;
            break;
        case 2:
            isDown = !isDown;
            // Open requests are cut off with the source.
            if (isDown && !actions.empty()) {
                actions.clear();
                follower.sourceFailed(now);
            } else if (!isDown && random.chance(0.5)) {
                source.restore();
                // The operator writes again what was lost, at any distance from other writes.
                for (uint64_t others = random.below(12); others; --others)
                    source.writeOther();
                if (source.state.document != newest)
                    source.writeDocument(newest);
            }
            break;
        case 3:
            source.state.truncatedTo = source.state.version;
            break;
        default:
            if (!isDown)
                source.writeOther();
        }
        serve();
        follower.tick(now, actions);
        serve();
    }
    isDown = false;
    for (int n = 0; n < 40; ++n) {
        now += 100ms;
        serve();
        follower.tick(now, actions);
        serve();
    }
    RC_ASSERT(follower.version() == newest);
}
