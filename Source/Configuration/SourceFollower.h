// Follows the newest configuration of a source by long polling, and falls back to peers while the source is
// unavailable. Schedules the requests; owns no socket.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Berylport {

// Position in the history of a source.
struct SourcePosition {
    // Rises each time the source has lost changes that it had acknowledged; zero if the source does not tell. Versions
    // of an earlier era may be given out again for other changes.
    uint64_t era { 0 };
    uint64_t version { 0 };
};

// Read the full document from the source.
struct ReadSource { };

// Long poll: ask the source to respond when something changes after the position.
struct FollowSource {
    // Version of the latest era.
    uint64_t position { 0 };
    Duration wait {};
};

// Fetch the configuration from a peer that holds a newer version.
struct FetchFromPeer {
    NodeId node;
};

using FollowerAction = std::variant<ReadSource, FollowSource, FetchFromPeer>;

class SourceFollower {
public:
    struct Options {
        // How long the source may hold a long poll open when nothing changes. Each poll costs one call, and a
        // connection that died unnoticed delays a change by at most this time.
        Duration longPollTimeout { std::chrono::seconds(10) };
        // Poll interval of a node that is no reader and hears nothing from its peers. Must be below the time for which
        // sources retain their history.
        Duration pollInterval { std::chrono::seconds(15) };
        // Poll interval while peers report their versions, as a reader among them would have the newest.
        Duration pollIntervalWithPeers { std::chrono::minutes(1) };
        // A peer's report older than this is ignored.
        Duration peerVersionLifetime { std::chrono::seconds(5) };
        // Delay before the first retry after a failure; doubles with each further failure.
        Duration initialRetryDelay { std::chrono::milliseconds(200) };
        // With a longer delay, a node would notice too late that the source is available again: changes must take
        // effect within 2 s of being accepted.
        Duration maximumRetryDelay { std::chrono::seconds(1) };
        // A fetch that takes longer is abandoned, and another peer may be asked.
        Duration fetchTimeout { std::chrono::milliseconds(500) };
        uint64_t seed { 1 };
    };

    explicit SourceFollower(Options options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    void start(Instant now, std::vector<FollowerAction>&);
    // Any response from the source. The position is where to resume from.
    void sourceAnswered(const SourcePosition&, Instant now, std::vector<FollowerAction>&);
    // The source reported that it no longer retains the changes after the position.
    void historyTruncated(Instant now, std::vector<FollowerAction>&);
    void sourceFailed(Instant now);

    // Only a few nodes of a zone, the readers, follow the source, or each change would cost one call per node. A node
    // starts as a reader.
    void setReader(bool isReader, Instant now);

    // A peer has reported the version that it holds.
    void peerVersionReported(NodeId, uint64_t version, Instant now, std::vector<FollowerAction>&);
    void fetchEnded();

    // Returns true when a document of this version replaces the held one. Versions never regress, whoever offers them.
    bool adopt(uint64_t version);
    uint64_t version() const { return m_version; }
    bool isSourceReachable() const { return !m_failures; }

    void tick(Instant now, std::vector<FollowerAction>&);
    std::optional<Instant> nextWake() const { return m_retryAt; }

private:
    void follow(Duration wait, std::vector<FollowerAction>&);
    void read(std::vector<FollowerAction>&);
    void schedulePoll(Instant now);
    bool canSkipPoll(Instant now) const;

    Options m_options;
    Random m_random;
    uint64_t m_version { 0 };
    // Era of the latest response that told one.
    uint64_t m_era { 0 };
    // Version of that era to resume from; unset while the full document has to be read.
    std::optional<uint64_t> m_position;
    // The request in flight, if any, is a FollowSource.
    bool m_isFollowing { false };
    bool m_isReader { true };
    // No request to the source is in flight; the next poll is due at m_retryAt.
    bool m_isPollScheduled { false };
    uint32_t m_failures { 0 };
    std::optional<Instant> m_retryAt;
    // Limits fetches to one at a time, so that a new version does not cost one per peer that holds it.
    bool m_isFetching { false };
    std::optional<Instant> m_lastPeerReportAt;
    std::optional<Instant> m_lastSourceResponseAt;
    Instant m_fetchDeadline;
};

} // namespace Berylport
