// Addresses at which nodes may live that this node does not know as members: rows of the shared store that nobody has
// answered for yet, and members that were taken for dead or left.
//
// Two groups of nodes that began apart, or were cut from each other, meet through these addresses only. Each address is
// asked about once an interval by all members together, whatever their number, so the cost for one node does not grow
// with the fleet.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Random.h"
#include "Base/Time.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Berylport {

// Whom to ask, and who lived there when it was known last; no node for an address of a row.
struct LostPeer {
    Endpoint gossip;
    std::optional<NodeId> node;
    bool operator==(const LostPeer&) const = default;
};

class LostPeers {
public:
    struct Options {
        // In which all members together ask an address once.
        Duration fleetInterval { std::chrono::seconds(1) };
        // Between two choices of one node.
        Duration turn { std::chrono::milliseconds(200) };
        // Addresses that one node asks in a turn.
        size_t maximumPerTurn { 3 };
    };

    LostPeers(const Options&, Endpoint self);

    // Replaces the addresses known from rows; those of present members must not be among them.
    void setRows(std::span<const Endpoint>);
    // A member that was known at this address is not present any more.
    void lost(const Endpoint&, NodeId, Instant until);
    // A present member lives there.
    void met(const Endpoint&);

    size_t size() const { return m_peers.size(); }
    // Addresses of rows at which nobody has been met.
    size_t unmetRows() const { return m_unmetRows; }
    Instant nextTurn() const { return m_nextTurn; }
    // Those to be asked now, at most one turn's number; `members` counts the present members with this node.
    std::vector<LostPeer> due(size_t members, Instant now, Random&);
    // Up to `count` at once, out of turn.
    std::vector<LostPeer> choose(size_t count, Random&) const;

private:
    struct Entry {
        std::optional<NodeId> node;
        // Rows stay until somebody is met there.
        std::optional<Instant> until;
    };

    void erase(std::map<Endpoint, Entry>::iterator);

    Options m_options;
    Endpoint m_self;
    std::map<Endpoint, Entry> m_peers;
    // Entries without a node.
    size_t m_unmetRows { 0 };
    Instant m_nextTurn;
    // Questions that this node owes; fractions add up over the turns.
    double m_owed { 0 };
};

} // namespace Berylport
