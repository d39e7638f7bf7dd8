// Keeps a node at the newest configuration of a source that it can follow, and at that of its peers while the source
// does not answer. Decides what is asked of whom and when; owns no socket.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Berylport {

// Ask the source for what it holds.
struct ReadSource { };

// Ask the source to answer when something changes.
struct FollowSource {
    uint64_t position { 0 };
    Duration wait {};
};

// Ask a peer for its configuration, which is newer.
struct FetchFromPeer {
    NodeId node;
};

using FollowerAction = std::variant<ReadSource, FollowSource, FetchFromPeer>;

class SourceFollower {
public:
    struct Options {
        // How long the source may hold back an answer that says that nothing changed. Each costs one call, and a
        // connection that died unnoticed delays a change by this much at most.
        Duration followWait { std::chrono::seconds(10) };
        // A node that is no reader and hears nothing from its peers asks the source this often. Below the time for
        // which
        // sources keep their history.
        Duration pollInterval { std::chrono::seconds(15) };
        // While peers tell it their versions, as a reader among them would have the newest.
        Duration pollIntervalAmongPeers { std::chrono::minutes(1) };
        // A peer that was heard of longer ago tells nothing any more.
        Duration peerMemory { std::chrono::seconds(5) };
        // After a failure the source is asked again after this time, which doubles with each further failure.
        Duration firstRetry { std::chrono::milliseconds(200) };
        // Above it a node that the source serves again would notice too late: changes must be in force 2 s after they
        // are accepted.
        Duration maximumRetry { std::chrono::seconds(1) };
        // A fetch that takes longer is given up and another peer is asked.
        Duration fetchLimit { std::chrono::milliseconds(500) };
        uint64_t seed { 1 };
    };

    explicit SourceFollower(Options options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    void start(Instant now, std::vector<FollowerAction>&);
    // Any answer of the source. The position is where to go on from.
    void sourceAnswered(uint64_t position, Instant now, std::vector<FollowerAction>&);
    // The source has answered that it has forgotten what followed the position.
    void historyLost(Instant now, std::vector<FollowerAction>&);
    void sourceFailed(Instant now);

    // Only a few nodes of a zone follow the source, or each change would cost one call for every node. A node begins as
    // a reader.
    void setReader(bool isReader, Instant now);

    // A peer has said which version it holds.
    void peerHolds(NodeId, uint64_t version, Instant now, std::vector<FollowerAction>&);
    void fetchEnded();

    // True when the document replaces the one held. Versions never go back, whoever offers them.
    bool adopt(uint64_t version);
    uint64_t version() const { return m_version; }
    bool isSourceReachable() const { return !m_failures; }

    void tick(Instant now, std::vector<FollowerAction>&);
    std::optional<Instant> nextWake() const { return m_retryAt; }

private:
    void pollLater(Instant now);
    bool isPollNeedless(Instant now) const;

    Options m_options;
    Random m_random;
    uint64_t m_version { 0 };
    // Where to follow from; nothing while the source has to be read as a whole.
    std::optional<uint64_t> m_position;
    bool m_isReader { true };
    // No call to the source is under way; the next one is made at m_retryAt.
    bool m_isWaiting { false };
    uint32_t m_failures { 0 };
    std::optional<Instant> m_retryAt;
    // One fetch at a time, so that a new version does not cost one for each peer that has it.
    bool m_isFetching { false };
    std::optional<Instant> m_peerHeard;
    std::optional<Instant> m_sourceAnswered;
    Instant m_fetchDeadline;
};

} // namespace Berylport
