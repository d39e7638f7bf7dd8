// Keeps the configuration of this node up to date, decides whether the node may serve, and executes configuration
// changes of operators.
#pragma once

#include "Node/ConfigurationTable.h"
#include "Node/NodeContext.h"

#include <map>
#include <memory>

namespace Berylport {

class ConfigurationTask : public Task {
public:
    explicit ConfigurationTask(NodeContext&);
    ~ConfigurationTask() override;

    void start() override;
    void stop() noexcept override;

private:
    struct Change {
        std::unique_ptr<ChangeTracker> tracker;
        std::function<void(ChangeFinished)> done;
    };

    // --- handlers of messages from other tasks
    void handle(PeerVersion&&);
    void handle(RecordDeparture&&);
    // This task has a pause detector of its own.
    void handle(PauseNoticed&&) { }
    // The native table keeps what it has acknowledged.
    void handle(StoreEraSeen&&) { }
    void handle(EvacuationSeen&&) { }
    void handle(ConfigurationFetched&&);
    void handle(ConfigurationFetchFailed&&);
    void handle(ZoneMembersChanged&&);
    void handle(ZoneMemberLeft&&);
    void handle(SelfDeclaredDead&&);
    void handle(ConnectivityChanged&&);
    void handle(OperatorChange&&);
    void handle(ListZones&&);
    void handle(RetireZone&&);
    void handle(BeginDrain&&);

    // --- actions requested by the coordinator and the change trackers
    void perform(ReadHead&&);
    void perform(WriteZoneConfirmation&&);
    void perform(RemindMembers&&);
    void runChange(uint64_t number, std::vector<ChangeAction>&);
    void perform(uint64_t number, ReadForChange&&);
    void perform(uint64_t number, WriteChange&&);
    void perform(uint64_t number, ReadZoneConfirmations&&);
    void perform(uint64_t number, FinishChange&&);

    void registerNode();
    void findSeeds();
    void readHead(bool isForCoordinator);
    void headReceived(uint64_t head, Instant askedAt);
    void readFromTable();
    void apply(const ConfigurationDelta&);
    void fetchFrom(NodeId);
    void fetchFromRandomPeer();
    void publishGuard();
    void updateStoreReachability(bool isReachable);
    void driveLease(Instant now);
    void wake();
    std::string newToken(std::string_view purpose);
    template <typename Function> void withChange(uint64_t number, Function&&);

    NodeContext& m_context;
    Mailbox<ConfigurationMessage> m_mailbox;
    HttpTableClient m_client;
    ConfigurationTable m_table;
    ConfigurationStore m_store;
    ConfigurationCoordinator m_coordinator;
    ConfirmationGuard m_guard;
    LeaseDriver m_lease;
    Timer m_timer;
    PauseDetector m_pauses;
    Random m_random;
    std::map<uint64_t, Change> m_changes;
    uint64_t m_lastChange { 0 };
    uint64_t m_lastToken { 0 };
    bool m_isRegistered { false };
    bool m_isRegistering { false };
    bool m_hasSeeds { false };
    bool m_isReadingTable { false };
    bool m_isReadingHead { false };
    bool m_isCutOff { false };
    bool m_isDraining { false };
    // Peer of the fetch in progress. One at a time, so that a new version does not cause one fetch for each peer that
    // advertises it.
    std::optional<NodeId> m_fetchingFrom;
    Instant m_fetchDeadline;
    Instant m_nextPoll;
    Instant m_nextRegistration;
    GuardState m_publishedGuard { GuardState::Unconfirmed };
};

} // namespace Berylport
