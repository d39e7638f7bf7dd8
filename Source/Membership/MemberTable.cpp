// Merges member records and incrementally updates the digest.
#include "Membership/MemberTable.h"

#include <algorithm>

namespace Berylport {

namespace {

// 32-bit FNV-1a, which yields the same value in every process.
class Fnv1aHash {
public:
    void add(std::string_view text)
    {
        for (char c : text)
            addByte(static_cast<uint8_t>(c));
        addByte(0);
    }

    void add(uint64_t n)
    {
        for (int shift = 0; shift < 64; shift += 8)
            addByte(static_cast<uint8_t>(n >> shift));
    }

    uint32_t value() const { return m_value; }

private:
    void addByte(uint8_t byte)
    {
        m_value ^= byte;
        m_value *= 16777619u;
    }

    uint32_t m_value { 2166136261u };
};

// Between two records of the same version, the state of higher precedence wins.
int statePrecedence(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Dead:
        return 2;
    case MemberState::Leaving:
        return 3;
    }
    return 0;
}

bool hasSameContent(const MemberRecord& a, const MemberRecord& b)
{
    return a.targets == b.targets && a.gossip == b.gossip && a.peer == b.peer && a.departed == b.departed;
}

} // namespace

bool isPresent(MemberState state) { return state == MemberState::Alive || state == MemberState::Suspect; }

uint32_t hashOf(const MemberRecord& record)
{
    Fnv1aHash hash;
    hash.add(record.node.value);
    hash.add(record.version);
    hash.add(static_cast<uint64_t>(record.state));
    for (auto& it : record.targets) {
        hash.add(it.service.text);
        hash.add(it.stateVersion);
    }
    return hash.value();
}

uint8_t bucketOf(NodeId node) { return static_cast<uint8_t>(node.value % gossipBucketCount); }

MemberTable::MemberTable(const Options& options, MemberRecord self, Instant)
    : m_options(options)
    , m_self(std::move(self))
{
    m_digest[bucketOf(m_self.node)] ^= hashOf(m_self);
}

void MemberTable::updateDigest(const MemberRecord& before, const MemberRecord& after)
{
    m_digest[bucketOf(before.node)] ^= hashOf(before);
    m_digest[bucketOf(after.node)] ^= hashOf(after);
}

void MemberTable::updateSelf(std::vector<MemberTarget> targets, MemberState state)
{
    MemberRecord before = m_self;
    m_self.targets = std::move(targets);
    m_self.state = state;
    ++m_self.version;
    updateDigest(before, m_self);
}

void MemberTable::setDeparted(const TargetIncarnation& departed)
{
    MemberRecord before = m_self;
    m_self.departed = departed;
    ++m_self.version;
    updateDigest(before, m_self);
}

void MemberTable::refute(uint64_t seenVersion)
{
    MemberRecord before = m_self;
    m_self.version = std::max(m_self.version, seenVersion) + 1;
    updateDigest(before, m_self);
}

bool MemberTable::replaces(const MemberRecord& offered, const MemberRecord& held)
{
    // Leaving is final, but a leaving node may still publish updates, such as a target that is removed before the node
    // exits.
    if (held.state == MemberState::Leaving)
        return offered.state == MemberState::Leaving && offered.version > held.version;
    if (offered.state == MemberState::Leaving)
        return true;
    if (offered.version != held.version)
        return offered.version > held.version;
    return statePrecedence(offered.state) > statePrecedence(held.state);
}

void MemberTable::changeState(Member& member, MemberState state, Instant now)
{
    if (isPresent(member.record.state) && !isPresent(state))
        --m_presentCount;
    if (!isPresent(member.record.state) && isPresent(state))
        ++m_presentCount;
    member.record.state = state;
    member.stateSince = now;
}

MergeResult MemberTable::merge(const MemberRecord& offered, Instant now)
{
    if (offered.node == m_self.node || offered.node.isNull())
        return MergeResult::Unchanged;
    auto it = m_others.find(offered.node);
    if (it == m_others.end()) {
        m_others.emplace(offered.node, Member { .record = offered, .firstSeen = now, .stateSince = now });
        m_digest[bucketOf(offered.node)] ^= hashOf(offered);
        if (isPresent(offered.state))
            ++m_presentCount;
        return MergeResult::New;
    }
    Member& member = it->second;
    uint64_t configuration = std::max(member.record.configurationVersion, offered.configurationVersion);
    member.record.configurationVersion = configuration;
    if (!replaces(offered, member.record))
        return MergeResult::Unchanged;
    MemberRecord before = member.record;
    bool isStateChanged = before.state != offered.state;
    if (isStateChanged)
        changeState(member, offered.state, now);
    member.record = offered;
    member.record.configurationVersion = configuration;
    updateDigest(before, member.record);
    if (isStateChanged)
        return MergeResult::StateChanged;
    return hasSameContent(before, offered) ? MergeResult::Unchanged : MergeResult::Updated;
}

bool MemberTable::setState(NodeId node, uint64_t version, MemberState state, Instant now)
{
    auto it = m_others.find(node);
    if (it == m_others.end())
        return false;
    Member& member = it->second;
    MemberRecord offered = member.record;
    offered.version = version;
    offered.state = state;
    if (version < member.record.version || !replaces(offered, member.record))
        return false;
    MemberRecord before = member.record;
    changeState(member, state, now);
    member.record.version = version;
    updateDigest(before, member.record);
    return true;
}

void MemberTable::removeExpired(Instant now)
{
    std::erase_if(m_others, [&](auto& entry) {
        const Member& member = entry.second;
        bool hasLeft = member.record.state == MemberState::Leaving;
        bool isDead = member.record.state == MemberState::Dead;
        Duration retention = hasLeft ? m_options.leftRetention : m_options.deadRetention;
        if ((!hasLeft && !isDead) || now - member.stateSince < retention)
            return false;
        m_digest[bucketOf(member.record.node)] ^= hashOf(member.record);
        return true;
    });
}

const Member* MemberTable::find(NodeId node) const
{
    auto it = m_others.find(node);
    return it == m_others.end() ? nullptr : &it->second;
}

std::vector<NodeId> MemberTable::presentNodes() const
{
    std::vector<NodeId> nodes;
    nodes.reserve(m_presentCount);
    for (auto& [node, member] : m_others) {
        if (isPresent(member.record.state))
            nodes.push_back(node);
    }
    // The iteration order of a hash map differs between builds; the probe order must not.
    std::ranges::sort(nodes);
    return nodes;
}

GossipDigest MemberTable::digest() const { return m_digest; }

std::vector<MemberRecord> MemberTable::recordsInBucket(uint8_t bucket) const
{
    std::vector<MemberRecord> records;
    if (bucketOf(m_self.node) == bucket)
        records.push_back(m_self);
    for (auto& [node, member] : m_others) {
        if (bucketOf(node) == bucket)
            records.push_back(member.record);
    }
    std::ranges::sort(records, {}, &MemberRecord::node);
    return records;
}

} // namespace Berylport
