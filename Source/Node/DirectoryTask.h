// Keeps a node that is configured through a shared store current: the operators' routes, the other nodes, and the
// departures of its own targets. Takes the place of the configuration task on such nodes.
#pragma once

#include "Node/NodeContext.h"
#include "Node/RowKeeper.h"

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
    // --- messages
    void handle(PeerVersion&&);
    void handle(ContactLost&&);
    void handle(ZoneMembersChanged&&);
    void handle(ConfigurationFetched&&);
    void handle(ConfigurationFetchFailed&&);
    void handle(RecordDeparture&&);
    void handle(BeginDrain&&);
    // What only concerns nodes with the product's own table.
    template <typename Message> void handle(Message&&) { }

    // --- configuration
    void perform(std::vector<FollowerAction>&);
    void perform(const ReadSource&);
    void perform(const FollowSource&);
    void perform(const FetchFromPeer&);
    void sourceAnswered(const StoreResult<ConfigurationSnapshot>&);
    void adopt(std::string document, std::string_view origin);

    // --- own row and seeds
    void perform(std::vector<RowAction>&);
    void perform(const ReadRows&);
    void perform(const WriteRow&);
    void tickRows();
    void rowsListed(const std::vector<TableRow>&);
    void answerDepartures();

    void noteStore(bool isReachable, std::string_view operation, std::string_view reason);
    void wake();
    void chooseReader();

    NodeContext& m_context;
    Mailbox<ConfigurationMessage> m_mailbox;
    StorePorts m_store;
    SourceFollower m_follower;
    // Nodes of the zone that are present, this one included.
    std::vector<NodeId> m_zoneMembers;
    bool m_isCutOff { false };
    bool m_hasChosenReader { false };
    Timer m_timer;
    RowKeeper m_rows;
    // When others were found in the rows for the first time.
    std::optional<Instant> m_seedsFound;
    // Wait until the own row is durable.
    std::vector<std::function<void()>> m_waitingForRow;
};

} // namespace Berylport
