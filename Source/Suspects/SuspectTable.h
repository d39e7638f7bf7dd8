// What a node knows of requests under which targets ended, its own and what the other nodes tell. Decides which
// requests are not sent to a target any more; owns no clock and no socket.
//
// A target that ends takes all requests down that it runs, so one end proves nothing about any of them. A request is
// refused once three targets have ended under it and it has not ended well anywhere meanwhile or shortly before. So
// that an innocent request does not share the fate of the other one again and again, a target runs no two suspects at a
// time.
//
// The order in which nodes hear of ends and good ends does not matter: all come to the same records.
#pragma once

#include "Base/Time.h"
#include "Suspects/RequestFingerprint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace Berylport {

class SuspectTable {
public:
    struct Options {
        // Targets that end under a request until it is refused.
        size_t endsToRefuse { 3 };
        // A request is forgotten this long after a target last ended under it, or after it last came while refused.
        Duration lifetime { std::chrono::hours(1) };
        // A request that ended well at most this long before a target ended under it is not the cause.
        Duration goodEndLifetime { std::chrono::seconds(10) };
        // How long nodes remember that a suspect turned out to end well, for those that have not heard of it.
        Duration clearedLifetime { std::chrono::seconds(30) };
        size_t maximumRecords { 256 };
        // In a full table a record is only replaced by one that is newer by this. Otherwise nodes that have forgotten
        // different ones would replace them by each other's without end.
        Duration evictionMargin { std::chrono::seconds(1) };
        // Requests that ended well here and are remembered, suspected or not.
        size_t maximumGoodEnds { 1024 };
    };

    SuspectTable()
        : SuspectTable(Options {})
    {
    }
    explicit SuspectTable(const Options& options)
        : m_options(options)
    {
    }

    // The body is hashed only if the rest of the request is known.
    Suspicion suspicion(const RequestScope&, const HttpRequest&) const;
    Suspicion suspicion(const RequestFingerprint&) const;
    bool isEmpty() const { return m_records.empty(); }

    // The target ended while it ran the request. The number is the same for all requests that it ran.
    void recordEnd(const RequestFingerprint&, uint64_t targetEnd, Instant now);
    // The target answered the request.
    void recordGoodEnd(const RequestFingerprint&, Instant now);
    // The request came and was refused.
    void recordRefusal(const RequestFingerprint&, Instant now);
    void expire(Instant now);

    // --- replication
    // Takes over what another node knows. Returns whether anything here has changed.
    bool merge(const SuspectRecord&, Instant now);
    // Equal if two nodes suspect and refuse the same requests for the same ends.
    uint64_t digest() const { return m_digest; }
    std::vector<SuspectRecord> records() const;
    // Records of which this node has learned something by itself since the last call, to be told to the other nodes.
    std::vector<SuspectRecord> takeChanges();

    // --- requests to be refused, for storage
    // Refused requests under which a target ended at a call of this node, newest first.
    std::vector<RequestFingerprint> ownRefused() const;
    void restoreRefused(std::span<const RequestFingerprint>, bool areOwn, Instant now);
    // Rises with each change.
    uint64_t revision() const { return m_revision; }

private:
    struct Entry {
        SuspectRecord record;
        // An end was seen by this node, so it stores that the request is refused.
        bool isOwn { false };
    };

    bool hasKnownHead(const RequestFingerprint::Part&) const;
    bool isCleared(const SuspectRecord&) const;
    void changed(Entry&, const SuspectRecord& before);
    void normalize(SuspectRecord&) const;
    void remove(const RequestFingerprint&);
    // Forgets the oldest record in a full table. Returns false if the offered one is not much newer.
    bool makeRoomFor(const SuspectRecord& offered);
    static uint64_t digestOf(const SuspectRecord&);

    Options m_options;
    std::map<RequestFingerprint, Entry> m_records;
    std::set<RequestFingerprint> m_changes;
    uint64_t m_digest { 0 };
    uint64_t m_revision { 0 };
    std::unordered_map<RequestFingerprint, Instant> m_goodEnds;
    // The same requests, in the order in which they were added.
    std::deque<RequestFingerprint> m_goodEndOrder;
};

} // namespace Berylport
