// A fleet in virtual time: membership and row keepers of all nodes, joined by datagrams, and the shared store with its
// faults. VMs can be started, killed, cut from each other and turned away by the store.
#pragma once

#include "Membership/Membership.h"
#include "Node/RowKeeper.h"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace Berylport {

class FleetWorld {
public:
    explicit FleetWorld(uint64_t seed)
        : m_random(seed)
    {
    }

    Random& random() { return m_random; }
    Instant now() const { return m_now; }

    // Starts a process on the VM; an earlier one must have been killed.
    void start(size_t vm)
    {
        auto process = std::make_unique<Process>();
        process->id = NodeId { ++m_lastNode * 0x9E3779B97F4A7C15 };
        MemberRecord self { .node = process->id,
            .gossip = endpointOf(vm),
            .peer = endpointOf(vm),
            .zone = ZoneName(vm % 3 ? "kandy-a" : "colombo-a"),
            .region = RegionName("central"),
            .version = 1 };
        process->service = std::make_unique<MembershipService>(MembershipOptions {}, self, m_random.next(), m_now);
        process->rows
            = std::make_unique<RowKeeper>(RowKeeper::Options { .seed = m_random.next() }, "vm" + std::to_string(vm),
                NodeRow { .node = process->id, .gossip = endpointOf(vm), .departed = std::nullopt });
        m_processes[vm] = std::move(process);
    }
    void kill(size_t vm) { m_processes.erase(vm); }
    bool isRunning(size_t vm) const { return m_processes.contains(vm); }
    MembershipService& service(size_t vm) { return *m_processes.at(vm)->service; }
    void leave(size_t vm)
    {
        MembershipActions actions;
        service(vm).leave(m_now, actions);
        perform(vm, actions);
    }
    void setDeparted(size_t vm, const TargetIncarnation& departed)
    {
        MembershipActions actions;
        service(vm).setDeparted(departed, actions);
        perform(vm, actions);
    }
    const std::optional<TargetIncarnation>& remembered(size_t vm) { return m_processes.at(vm)->remembered; }

    // Datagrams between VMs below the boundary and the others are lost; zero: none is.
    void cutAt(size_t boundary) { m_boundary = boundary; }
    // VMs that the store turns away.
    std::set<size_t> refused;
    bool isStoreDown { false };
    // Share of store calls whose answer is lost although they are carried out.
    double lostAnswers { 0 };
    Duration storeDelay { std::chrono::milliseconds(4) };
    size_t storeCalls { 0 };
    uint64_t datagrams { 0 };
    uint64_t bytes { 0 };

    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(5);
        for (Instant end = m_now + duration; m_now < end; m_now += step) {
            while (!m_due.empty() && m_due.begin()->first <= m_now) {
                auto action = std::move(m_due.begin()->second);
                m_due.erase(m_due.begin());
                action();
            }
            for (auto& [vm, process] : m_processes)
                tick(vm, *process);
        }
    }

    // Every running node knows every other one as present.
    bool isOneFleet() const
    {
        return std::ranges::all_of(m_processes, [&](auto& entry) {
            return std::ranges::all_of(m_processes, [&](auto& other) {
                if (entry.first == other.first)
                    return true;
                const Member* member = entry.second->service->table().find(other.second->id);
                return member && isPresent(member->record.state);
            });
        });
    }

    // Runs until all know each other; returns how long that took, or the limit.
    Duration timeToOneFleet(Duration limit)
    {
        Instant begin = m_now;
        while (!isOneFleet() && m_now - begin < limit)
            run(std::chrono::milliseconds(50));
        return m_now - begin;
    }

private:
    struct Process {
        NodeId id;
        std::unique_ptr<MembershipService> service;
        std::unique_ptr<RowKeeper> rows;
        std::optional<TargetIncarnation> remembered;
    };

    static Endpoint endpointOf(size_t vm) { return { .address = "127.0.0.1", .port = static_cast<uint16_t>(vm + 1) }; }

    void at(Duration delay, std::function<void()> action) { m_due.emplace(m_now + delay, std::move(action)); }

    Process* processOf(size_t vm, NodeId id)
    {
        auto it = m_processes.find(vm);
        return it != m_processes.end() && it->second->id == id ? it->second.get() : nullptr;
    }

    void tick(size_t vm, Process& process)
    {
        std::vector<RowAction> rowActions;
        process.rows->tick(m_now, rowActions);
        for (auto& it : rowActions)
            std::visit([&](auto& action) { callStore(vm, process.id, action); }, it);
        if (m_now < process.service->nextWake())
            return;
        MembershipActions actions;
        process.service->tick(m_now, actions);
        perform(vm, actions);
    }

    bool isTurnedAway(size_t vm) const { return isStoreDown || refused.contains(vm); }

    void callStore(size_t vm, NodeId id, const ReadRows&)
    {
        ++storeCalls;
        bool isLost = m_random.chance(lostAnswers);
        at(storeDelay, [this, vm, id, isLost] {
            Process* process = processOf(vm, id);
            if (!process)
                return;
            if (isTurnedAway(vm) || isLost) {
                process->rows->readFailed(m_now);
                return;
            }
            std::vector<StoredRow> rows;
            for (auto& [key, row] : m_rows)
                rows.push_back(row);
            RowsRead found = process->rows->rowsRead(rows, m_now);
            MembershipActions actions;
            if (found.others.empty() && process->rows->areOthersKnown())
                process->service->joinAsFirst(m_now);
            process->service->join(found.others, m_now, actions);
            perform(vm, actions);
        });
    }

    void callStore(size_t vm, NodeId id, const WriteRow& write)
    {
        ++storeCalls;
        bool isLost = m_random.chance(lostAnswers);
        at(storeDelay, [this, vm, id, write, isLost] {
            bool isRefused = isTurnedAway(vm);
            std::string key = "vm" + std::to_string(vm);
            uint64_t held = m_rows.contains(key) ? m_rows[key].version : 0;
            bool isWritten = !isRefused && held == write.expectedVersion;
            if (isWritten)
                m_rows[key] = { .key = key, .row = write.row, .version = ++m_storeVersion };
            Process* process = processOf(vm, id);
            if (!process)
                return;
            if (isWritten && !isLost)
                process->rows->written(m_storeVersion);
            else
                process->rows->writeFailed(isRefused || isLost ? WriteFailure::Unknown : WriteFailure::Conflict, m_now);
        });
    }

    void perform(size_t vm, MembershipActions& actions)
    {
        for (auto& it : actions) {
            if (auto* send = std::get_if<SendGossip>(&it))
                this->send(vm, *send);
            if (auto* departure = std::get_if<DepartureRemembered>(&it))
                m_processes.at(vm)->remembered = departure->departed;
        }
    }

    void send(size_t from, const SendGossip& send)
    {
        size_t to = send.to.port - 1u;
        ++datagrams;
        std::visit(
            [&](auto& it) {
                bytes += 58 + (it.content.digest ? 4 * gossipBucketCount : 0);
                for (auto& record : it.content.records)
                    bytes += estimateBytes(record);
            },
            send.message);
        if (m_boundary && (from < m_boundary) != (to < m_boundary))
            return;
        at(Duration(500 + static_cast<int64_t>(m_random.below(1500))), [this, from, to, message = send.message] {
            auto it = m_processes.find(to);
            if (it == m_processes.end())
                return;
            MembershipActions actions;
            it->second->service->receive(message, endpointOf(from), m_now, actions);
            perform(to, actions);
        });
    }

    Random m_random;
    Instant m_now { instantFromMicroseconds(1) };
    std::map<size_t, std::unique_ptr<Process>> m_processes;
    std::multimap<Instant, std::function<void()>> m_due;
    std::map<std::string, StoredRow> m_rows;
    uint64_t m_storeVersion { 0 };
    uint64_t m_lastNode { 0 };
    size_t m_boundary { 0 };
};

} // namespace Berylport
