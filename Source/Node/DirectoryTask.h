// Synchronizes a node with the shared store: reads the routes set by operators and the addresses of the other nodes,
// and persists the departures of its own targets. Replaces the configuration task on nodes that use a shared store.
#pragma once

#include "Node/NodeContext.h"
#include "Node/NodeRegistrar.h"

#include <memory>
#include <vector>

namespace Berylport {

class DirectoryTask : public Task {
public:
    explicit DirectoryTask(NodeContext&);
    ~DirectoryTask() override;

    void start() override;
    void stop() noexcept override;

private:
    // --- handlers of messages from other tasks
    void handle(PeerVersion&&);
    void handle(StoreEraSeen&&);
    void handle(EvacuationSeen&&);
    void handle(PauseNoticed&&);
    void handle(ConfigurationFetched&&);
    void handle(ConfigurationFetchFailed&&);
    void handle(RecordDeparture&&);
    void handle(BeginDrain&&);
    // Ignores messages that only concern nodes configured through the native table.
    template <typename Message> void handle(Message&&) { }

    // --- configuration
    void perform(std::vector<FollowerAction>&);
    void perform(const ReadSource&);
    void perform(const FollowSource&);
    void perform(const FetchFromPeer&);
    void perform(const AnnounceConfirmation&);
    void sourceAnswered(SourceRequestNumber, const StoreResult<ConfigurationSnapshot>&);
    // Passes what is known of the last confirmation on to the membership task.
    void publishConfirmation(bool isAnnounced);
    // Milliseconds, for logs.
    std::string confirmationAge() const;
    // Returns false if the document is unreadable; the version held stays in force.
    bool applyDocument(std::string document, std::string_view origin);
    void applyEvacuation(const ConfigurationSnapshot&);
    // Passes the held set on if it has changed, or if the members are to be told.
    void publishEvacuation(bool hasChanged, std::string_view origin);

    // --- row of this node and seeds
    void perform(std::vector<RowAction>&);
    void perform(const ReadRows&);
    void perform(const ReadOwnRow&);
    void perform(const WriteRow&);
    void tickRows();
    void rowsListed(const ListedRows&);
    void ownRowRead(const ListedRows&);
    void restoreDeparture(const TargetIncarnation&);
    void restoreRefused(const RowsRead&);
    // Keeps the requests that this node has found to end targets in its row.
    void storeRefused();
    // Called with each response of the store before its content is used, and with what members know.
    void noteEra(uint64_t era);
    void completeDepartures();

    void updateStoreReachability(bool isReachable, std::string_view operation, std::string_view reason);
    void wake();

    NodeContext& m_context;
    Mailbox<ConfigurationMessage> m_mailbox;
    SharedStore m_store;
    SourceFollower m_follower;
    EvacuationTracker m_evacuation;
    std::optional<EvacuatedZones> m_reportedEvacuation;
    std::optional<SourceConfirmation> m_publishedConfirmation;
    bool m_isFollowing { false };
    Timer m_timer;
    NodeRegistrar m_rows;
    uint64_t m_storeEra { 0 };
    // Revision of the table of suspects that the row was made from.
    uint64_t m_storedRevision { 0 };
    // When the rows were read for the first time.
    std::optional<Instant> m_seedsFoundAt;
    // Callbacks to invoke once the row of this node is durable.
    std::vector<std::function<void()>> m_pendingDepartures;
};

} // namespace Berylport
