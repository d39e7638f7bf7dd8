// Keeps this node's configuration as new as the source's, with few requests from the whole fleet. Schedules the
// requests; owns no socket.
//
// Each node knows when the source last confirmed that the version it holds is the newest, by its own request or by the
// word of a peer, and asks the source itself before that becomes too long ago. A confirmation is as old as the source's
// answer, however long that took to arrive here: it names the time of the source's clock, which the requests of this
// node relate to its own clock. A node that had to ask keeps following
// the source and tells its peers of each confirmation, so that they need not ask. Nobody is chosen: whoever reaches the
// source follows it, as soon as those who did so fall silent, whatever the reason.
#pragma once

#include "Base/GossipMessages.h"
#include "Base/Identifiers.h"
#include "Base/Random.h"
#include "Base/Time.h"

#include <cstdint>
#include <map>
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
    // When the source answered, on its own steady clock; unset if it does not tell.
    std::optional<Duration> time {};
};

// Numbers the requests to the source; a later request has a higher one.
using SourceRequestNumber = uint64_t;

// Read the full document from the source.
struct ReadSource {
    SourceRequestNumber number { 0 };
};

// Long poll: ask the source to respond when something changes after the position.
struct FollowSource {
    SourceRequestNumber number { 0 };
    // Version of the latest era.
    uint64_t position { 0 };
    Duration wait {};
};

// Fetch the configuration from a peer that holds a newer version.
struct FetchFromPeer {
    NodeId node;
};

// Tell the peers that the source has confirmed the held version.
struct AnnounceConfirmation { };

using FollowerAction = std::variant<ReadSource, FollowSource, FetchFromPeer, AnnounceConfirmation>;

// What a peer tells of the configuration that it holds.
struct PeerReport {
    NodeId node;
    uint64_t version { 0 };
    // When the source confirmed that version, as far as the peer knows.
    std::optional<SourceConfirmation> confirmation {};
    // The peer announces the confirmations that it gets from the source to this node.
    bool announcesHere { false };
};

class SourceFollower {
public:
    struct Options {
        NodeId self;
        // A change must be in force on every node 2 s after it was accepted, so a node asks this long after the last
        // confirmation at the latest.
        Duration maximumConfirmationAge { std::chrono::milliseconds(1500) };
        // Earliest age at which a node asks. Nodes ask at random ages between the two, so that the first one to succeed
        // spares the others their request.
        Duration minimumAskAge { std::chrono::milliseconds(1250) };
        // Interval of the confirmations of a node that follows the source; the rest up to the age above is for their
        // way to the peers.
        Duration confirmationInterval { std::chrono::seconds(1) };
        // A request whose answer is overdue by this, or by twice the last answer time, counts as failed.
        Duration minimumAnswerTime { std::chrono::milliseconds(500) };
        Duration maximumAnswerTime { std::chrono::seconds(2) };
        // Sources retain their history for a limited time; after this the full document is read.
        Duration positionLifetime { std::chrono::seconds(15) };
        // Delay before the first retry after a failure; doubles with each further failure.
        Duration initialRetryDelay { std::chrono::milliseconds(200) };
        // With a longer delay, a node would notice too late that the source is available again: changes must take
        // effect within 2 s of being accepted.
        Duration maximumRetryDelay { std::chrono::seconds(1) };
        // By how much the clocks of two machines may drift apart, as a share of the time.
        double clockDrift { 100e-6 };
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
    void sourceAnswered(SourceRequestNumber, const SourcePosition&, Instant now, std::vector<FollowerAction>&);
    // The source reported that it no longer retains the changes after the position.
    void historyTruncated(SourceRequestNumber, Instant now);
    void sourceFailed(SourceRequestNumber, Instant now);
    // The process did not run for a while, so answers and peers' words may be older than they seem.
    void resumedAfterPause();

    void peerReported(const PeerReport&, Instant now, std::vector<FollowerAction>&);
    void fetchEnded();

    // Returns true when a document of this version replaces the held one. Versions never regress, whoever offers them.
    bool adopt(uint64_t version);
    uint64_t version() const { return m_version; }
    bool isSourceReachable() const { return !m_failures; }
    // Whether this node follows the source for its peers.
    bool isFollowing() const { return m_isFollowing; }
    // When the source last confirmed that no newer version than the held one exists.
    const std::optional<SourceConfirmation>& confirmation() const { return m_confirmation; }

    void tick(Instant now, std::vector<FollowerAction>&);
    // Time at which tick() is due.
    Instant nextWake() const;

private:
    struct Request {
        SourceRequestNumber number { 0 };
        // Changes after this version are asked for; unset if the full document is.
        std::optional<uint64_t> position;
        Instant askedAt;
        Duration wait {};
        bool isRead { false };
        // A response after this time is late.
        Instant dueAt;
    };

    void ask(Duration wait, Instant now, std::vector<FollowerAction>&);
    // Counts the request as late and awaits nothing.
    void giveUpWaiting();
    void retryLater(Instant now);
    void confirm(const SourceConfirmation&);
    // The source's clock showed this time after the request was sent. If it went back, the source was restarted, and
    // what is known by its earlier clock is dropped.
    void readClock(Duration sourceTime, Instant askedAt);
    // When that was on the clock of this node, or shortly before; unset if its clock is not known.
    std::optional<Instant> timeOf(std::optional<Duration> sourceTime, Instant now) const;
    // When the source made an answer, at the earliest.
    Instant answeredAt(const Request&, const SourcePosition&, Instant now) const;
    void recordAnswerTime(const Request&, Instant now);
    // Another node follows the source and announces it here. Of two nodes that do so the one with the lower id goes on.
    bool isFollowedByPreferred(Instant now) const;

    Options m_options;
    Random m_random;
    uint64_t m_version { 0 };
    // Era of the latest response that told one.
    uint64_t m_era { 0 };
    // Version of that era to resume from; unset while the full document has to be read.
    std::optional<uint64_t> m_position;
    std::optional<Instant> m_positionAt;
    // The newest request while its response is awaited.
    std::optional<Request> m_request;
    // Requests whose response is late. Their document is used, but nothing is resumed from their position.
    std::map<SourceRequestNumber, Request> m_lateRequests;
    SourceRequestNumber m_lastNumber { 0 };
    bool m_isFollowing { false };
    // The first response is for this node's own start only.
    bool m_isStarting { true };
    Duration m_answerTime {};
    uint32_t m_failures { 0 };
    std::optional<Instant> m_retryAt;
    // The source's clock in its latest answer.
    Duration m_sourceTime {};
    // Of the clock of this node to that of the source, at least, and when that was found.
    std::optional<Duration> m_clockOffset;
    Instant m_clockReadAt;
    std::optional<SourceConfirmation> m_confirmation;
    // Age of the confirmation at which this node asks.
    Duration m_askAge {};
    // Confirmation of a version that is not held yet.
    std::optional<SourceConfirmation> m_announced;
    uint64_t m_announcedVersion { 0 };
    // Latest confirmation that a preferred node got from the source.
    std::optional<Instant> m_preferredConfirmedAt;
    // Limits fetches to one at a time, so that a new version does not cost one per peer that holds it.
    bool m_isFetching { false };
    Instant m_fetchDeadline;
};

} // namespace Berylport
