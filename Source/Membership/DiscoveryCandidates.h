// Addresses at which nodes may run that are not present members: seeds, which are rows of the shared store that no node
// has responded for yet, and members that were declared dead or left. Two groups of nodes that started separately or
// were partitioned merge through these addresses only. All members together probe each address once per interval,
// whatever their number, so the cost per node does not grow with the fleet.
#pragma once

#include "Base/Identifiers.h"
#include "Base/Random.h"
#include "Base/Time.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Berylport {

// An address to probe and the node last known there; no node for a seed.
struct DiscoveryCandidate {
    Endpoint gossip;
    std::optional<NodeId> node;
    bool operator==(const DiscoveryCandidate&) const = default;
};

class DiscoveryCandidates {
public:
    struct Options {
        // Interval in which the members together probe each address once.
        Duration fleetProbeInterval { std::chrono::seconds(1) };
        // Time between two rounds of one node.
        Duration roundInterval { std::chrono::milliseconds(200) };
        // Addresses that one node probes per round.
        size_t maximumPerRound { 3 };
    };

    DiscoveryCandidates(const Options&, Endpoint self);

    // Replaces the seeds; addresses of present members must not be among them.
    void setSeeds(std::span<const Endpoint>);
    // Adds the address of a member that is no longer present.
    void addFormerMember(const Endpoint&, NodeId, Instant until);
    // Removes an address at which a member is present.
    void memberPresent(const Endpoint&);

    size_t size() const { return m_candidates.size(); }
    // Seeds from which no node has responded.
    size_t unreachedSeeds() const { return m_unreachedSeeds; }
    std::vector<Endpoint> silentSeeds() const;
    Instant nextRound() const { return m_nextRound; }
    // Returns the candidates to probe now, at most `maximumPerRound`; `members` counts the present members including
    // this node.
    std::vector<DiscoveryCandidate> takeDue(size_t members, Instant now, Random&);
    // Selects up to `count` random candidates, independent of the rounds.
    std::vector<DiscoveryCandidate> selectRandom(size_t count, Random&) const;

private:
    struct Entry {
        std::optional<NodeId> node;
        // Unset for a seed, which stays until a member is present at its address.
        std::optional<Instant> expiresAt;
    };

    void erase(std::map<Endpoint, Entry>::iterator);

    Options m_options;
    Endpoint m_self;
    std::map<Endpoint, Entry> m_candidates;
    // Number of entries without a node.
    size_t m_unreachedSeeds { 0 };
    Instant m_nextRound;
    // This node's share of the probes, including the fraction left over from earlier rounds.
    double m_probeCredit { 0 };
};

} // namespace Berylport
