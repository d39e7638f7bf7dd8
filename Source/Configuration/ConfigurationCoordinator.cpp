// Confirms a version once every live member of the zone has reported it.
#include "Configuration/ConfigurationCoordinator.h"

#include <algorithm>

namespace Berylport {

void ConfigurationCoordinator::start(Instant now)
{
    m_isActive = true;
    m_isReadingHead = false;
    m_isConfirming = false;
    m_nextPoll = now;
    m_nextReminder = now + m_options.reminderInterval;
}

void ConfigurationCoordinator::stop()
{
    m_isActive = false;
    // The next lease holder confirms again; the zone's row never regresses because its writer compares versions.
    m_confirmedVersion = 0;
}

void ConfigurationCoordinator::updateMembers(std::span<const NodeId> alive, Instant now)
{
    for (auto& [node, member] : m_members) {
        if (!member.deadSince)
            member.deadSince = now;
    }
    for (NodeId it : alive)
        m_members[it].deadSince.reset();
}

void ConfigurationCoordinator::memberLeft(NodeId node) { m_members.erase(node); }

void ConfigurationCoordinator::removeExpiredMembers(Instant now)
{
    std::erase_if(m_members, [&](auto& entry) {
        auto& deadSince = entry.second.deadSince;
        return deadSince && now - *deadSince >= m_options.deadMemberRetention;
    });
}

void ConfigurationCoordinator::memberReported(NodeId member, uint64_t version)
{
    m_newestVersion = std::max(m_newestVersion, version);
    // A reporting node that membership does not list yet is a new member and must be waited for.
    uint64_t& reported = m_members[member].reportedVersion;
    reported = std::max(reported, version);
}

void ConfigurationCoordinator::ownVersionChanged(NodeId self, uint64_t version) { memberReported(self, version); }

void ConfigurationCoordinator::headRead(uint64_t version)
{
    m_isReadingHead = false;
    m_newestVersion = std::max(m_newestVersion, version);
}

void ConfigurationCoordinator::headReadFailed() { m_isReadingHead = false; }

void ConfigurationCoordinator::confirmationWritten(uint64_t version)
{
    m_isConfirming = false;
    m_confirmedVersion = std::max(m_confirmedVersion, version);
}

void ConfigurationCoordinator::confirmationFailed() { m_isConfirming = false; }

uint64_t ConfigurationCoordinator::lowestReportedVersion() const
{
    uint64_t lowest = m_newestVersion;
    for (auto& [node, member] : m_members)
        lowest = std::min(lowest, member.reportedVersion);
    return m_members.empty() ? 0 : lowest;
}

void ConfigurationCoordinator::pollHead(Instant now, std::vector<CoordinatorAction>& actions)
{
    if (m_isReadingHead || now < m_nextPoll)
        return;
    m_isReadingHead = true;
    m_nextPoll = now + m_options.pollInterval;
    actions.push_back(ReadHead {});
}

void ConfigurationCoordinator::confirm(std::vector<CoordinatorAction>& actions)
{
    uint64_t lowest = lowestReportedVersion();
    if (m_isConfirming || m_isCutOff || lowest <= m_confirmedVersion)
        return;
    m_isConfirming = true;
    actions.push_back(WriteZoneConfirmation { .version = lowest });
}

void ConfigurationCoordinator::remind(Instant now, std::vector<CoordinatorAction>& actions)
{
    if (now < m_nextReminder)
        return;
    m_nextReminder = now + m_options.reminderInterval;
    RemindMembers reminder { .members = {}, .version = m_newestVersion };
    for (auto& [node, member] : m_members) {
        bool isBehind = member.reportedVersion < m_newestVersion && !member.deadSince;
        if (isBehind && reminder.members.size() < m_options.maximumReminders)
            reminder.members.push_back(node);
    }
    if (!reminder.members.empty())
        actions.push_back(std::move(reminder));
}

void ConfigurationCoordinator::tick(Instant now, std::vector<CoordinatorAction>& actions)
{
    if (!m_isActive)
        return;
    removeExpiredMembers(now);
    pollHead(now, actions);
    confirm(actions);
    remind(now, actions);
}

} // namespace Berylport
