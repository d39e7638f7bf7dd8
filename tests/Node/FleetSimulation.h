// Simulates a fleet in virtual time: the membership services and node registrars of all nodes, the datagrams between
// them, and the shared store with its faults. VMs can be started, killed, partitioned, and rejected by the store.
#pragma once

#include "Membership/Membership.h"
#include "Node/NodeRegistrar.h"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace Berylport {

class FleetSimulation {
public:
    explicit FleetSimulation(uint64_t seed)
        : m_random(seed)
    {
    }

    Random& random() { return m_random; }
    Instant now() const { return m_now; }

    // Starts a process on the VM. None may be running on it.
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
        process->service->shareSuspects(process->suspects);
        process->rows = std::make_unique<NodeRegistrar>(NodeRegistrar::Options { .seed = m_random.next() },
            "vm" + std::to_string(vm),
            NodeRow { .node = process->id, .gossip = endpointOf(vm), .departed = std::nullopt });
        m_processes[vm] = std::move(process);
    }
    void kill(size_t vm) { m_processes.erase(vm); }
    void copyStore() { m_storeCopy = { .rows = m_rows, .version = m_storeVersion }; }
    // The store comes back from its copy; every node sees its new era in some response.
    void restoreStore()
    {
        m_rows = m_storeCopy.rows;
        m_storeVersion = m_storeCopy.version;
        ++m_storeEra;
        for (auto& [vm, process] : m_processes)
            process->rows->eraSeen(m_storeEra, m_now);
    }
    const StoredRow* storedRow(size_t vm) const
    {
        auto it = m_rows.find("vm" + std::to_string(vm));
        return it == m_rows.end() ? nullptr : &it->second;
    }
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
        m_processes.at(vm)->rows->setDeparted(departed, m_now);
        perform(vm, actions);
    }
    const SuspectTable& suspects(size_t vm) { return m_processes.at(vm)->suspects; }
    // A target ended while it ran the request for a caller of the VM.
    void recordEnd(size_t vm, const RequestFingerprint& fingerprint, uint64_t targetEnd)
    {
        m_processes.at(vm)->suspects.recordEnd(fingerprint, targetEnd, m_now);
        tellSuspects(vm);
    }
    void recordGoodEnd(size_t vm, const RequestFingerprint& fingerprint)
    {
        m_processes.at(vm)->suspects.recordGoodEnd(fingerprint, m_now);
        tellSuspects(vm);
    }
    const std::optional<TargetIncarnation>& restoredDeparture(size_t vm)
    {
        return m_processes.at(vm)->restoredDeparture;
    }

    // Drops all datagrams between VMs below the boundary and the others. Zero ends the partition.
    void partitionAt(size_t boundary) { m_boundary = boundary; }
    // VMs whose store calls are rejected.
    std::set<size_t> rejectedVms;
    bool isStoreDown { false };
    // Fraction of store calls whose response is lost although they were executed.
    double responseLossRate { 0 };
    Duration storeDelay { std::chrono::milliseconds(4) };
    size_t storeCalls { 0 };
    uint64_t datagrams { 0 };
    uint64_t bytes { 0 };

    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(5);
        for (Instant end = m_now + duration; m_now < end; m_now += step) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                auto action = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                action();
            }
            for (auto& [vm, process] : m_processes)
                tick(vm, *process);
        }
    }

    // Whether every running node has every other one as present in its membership table.
    bool isConverged() const
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

    // Runs until the fleet has converged. Returns the elapsed time, or the limit.
    Duration timeToConverge(Duration limit)
    {
        Instant begin = m_now;
        while (!isConverged() && m_now - begin < limit)
            run(std::chrono::milliseconds(50));
        return m_now - begin;
    }

private:
    struct Process {
        NodeId id;
        SuspectTable suspects;
        std::unique_ptr<MembershipService> service;
        std::unique_ptr<NodeRegistrar> rows;
        std::optional<TargetIncarnation> restoredDeparture;
    };

    static Endpoint endpointOf(size_t vm) { return { .address = "127.0.0.1", .port = static_cast<uint16_t>(vm + 1) }; }

    void tellSuspects(size_t vm)
    {
        MembershipActions actions;
        service(vm).suspectsChanged(actions);
        perform(vm, actions);
    }

    void restoreRefused(size_t vm, Process& process, const RowsRead& rows)
    {
        process.suspects.restoreRefused(rows.refused, false, m_now);
        process.suspects.restoreRefused(rows.ownRefused, true, m_now);
        tellSuspects(vm);
    }

    void schedule(Duration delay, std::function<void()> action) { m_events.emplace(m_now + delay, std::move(action)); }

    Process* processOf(size_t vm, NodeId id)
    {
        auto it = m_processes.find(vm);
        return it != m_processes.end() && it->second->id == id ? it->second.get() : nullptr;
    }

    void tick(size_t vm, Process& process)
    {
        auto refused = process.suspects.ownRefused();
        std::ranges::sort(refused);
        process.rows->setRefused(std::move(refused), m_now);
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

    bool isRejected(size_t vm) const { return isStoreDown || rejectedVms.contains(vm); }

    // Delivers what `deliver(process)` reads from the store at the time of the response, unless the call fails.
    template <typename Function> void readStore(size_t vm, NodeId id, Function deliver)
    {
        ++storeCalls;
        bool isLost = m_random.chance(responseLossRate);
        schedule(storeDelay, [this, vm, id, isLost, deliver] {
            Process* process = processOf(vm, id);
            if (!process)
                return;
            if (isRejected(vm) || isLost)
                process->rows->readFailed(m_now);
            else
                deliver(*process);
        });
    }

    void callStore(size_t vm, NodeId id, const ReadRows&)
    {
        readStore(vm, id, [this, vm](Process& process) {
            std::vector<StoredRow> rows;
            for (auto& [key, row] : m_rows)
                rows.push_back(row);
            auto read = process.rows->rowsRead(rows, m_storeEra, m_now);
            if (!read)
                return;
            restoreRefused(vm, process, *read);
            MembershipActions actions;
            if (read->peers.empty() && process.rows->isPeerListComplete())
                process.service->joinAsFirst(m_now);
            process.service->join(read->peers, m_now, actions);
            perform(vm, actions);
        });
    }

    void callStore(size_t vm, NodeId id, const ReadOwnRow&)
    {
        readStore(vm, id, [this, vm](Process& process) {
            std::vector<StoredRow> rows;
            if (auto* row = storedRow(vm))
                rows.push_back(*row);
            if (auto read = process.rows->rowsRead(rows, m_storeEra, m_now))
                restoreRefused(vm, process, *read);
        });
    }

    void callStore(size_t vm, NodeId id, const WriteRow& write)
    {
        ++storeCalls;
        bool isLost = m_random.chance(responseLossRate);
        schedule(storeDelay, [this, vm, id, write, isLost] {
            bool isRefused = isRejected(vm);
            std::string key = "vm" + std::to_string(vm);
            uint64_t held = m_rows.contains(key) ? m_rows[key].version : 0;
            bool isWritten = !isRefused && held == write.expectedVersion;
            if (isWritten)
                m_rows[key] = { .key = key, .row = write.row, .version = ++m_storeVersion };
            Process* process = processOf(vm, id);
            if (!process)
                return;
            if (isWritten && !isLost)
                process->rows->written(m_storeVersion, m_storeEra, m_now);
            else
                process->rows->writeFailed(isRefused || isLost ? WriteFailure::Unknown : WriteFailure::Conflict, m_now);
        });
    }

    void perform(size_t vm, MembershipActions& actions)
    {
        for (auto& it : actions) {
            if (auto* send = std::get_if<SendGossip>(&it))
                this->send(vm, *send);
            if (auto* departure = std::get_if<PredecessorDepartureLearned>(&it))
                m_processes.at(vm)->restoredDeparture = departure->departed;
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
        schedule(Duration(500 + static_cast<int64_t>(m_random.below(1500))), [this, from, to, message = send.message] {
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
    std::multimap<Instant, std::function<void()>> m_events;
    std::map<std::string, StoredRow> m_rows;
    uint64_t m_storeVersion { 0 };
    uint64_t m_storeEra { 1 };
    struct StoreCopy {
        std::map<std::string, StoredRow> rows;
        uint64_t version { 0 };
    };
    StoreCopy m_storeCopy;
    uint64_t m_lastNode { 0 };
    size_t m_boundary { 0 };
};

} // namespace Berylport
