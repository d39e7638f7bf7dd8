// Keeps a node that is configured through a shared store current: the operators' routes, the other nodes, and the
// departures of its own targets. Takes the place of the configuration task on such nodes.
#pragma once

#include "Node/NodeContext.h"
#include "Node/NodeRow.h"

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
    void listRows();
    void rowsListed(const std::vector<TableRow>&);
    void writeRow();
    void rowWritten(bool isDone);

    void noteStore(bool isReachable, std::string_view operation, std::string_view reason);
    void wake();
    std::string rowKey() const;

    NodeContext& m_context;
    Mailbox<ConfigurationMessage> m_mailbox;
    StorePorts m_store;
    SourceFollower m_follower;
    Timer m_timer;
    NodeRow m_row;
    // The row in the store differs from m_row.
    bool m_isRowStale { true };
    bool m_isWritingRow { false };
    bool m_isListing { false };
    // The own row of an earlier process has been read.
    bool m_isRowRead { false };
    Instant m_nextWrite;
    Instant m_nextList;
    std::optional<Instant> m_firstListed;
    // Wait until the row that is to be written next is durable.
    std::vector<std::function<void()>> m_waitingForRow;
};

} // namespace Berylport
