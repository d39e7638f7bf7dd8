// Drives the quota limiter of this node: applies configuration and members to it, runs its timer, and passes its
// messages on. The entry task asks the limiter itself, as most decisions need no message.
#pragma once

#include "Node/NodeContext.h"

namespace Berylport {

class QuotaTask : public Task {
public:
    explicit QuotaTask(NodeContext&);

    void start() override;
    void stop() noexcept override;

private:
    void handle(CatalogueChanged&&);
    void handle(QuotaMembersChanged&&);
    void handle(QuotaMessageReceived&&);
    void handle(QuotaRequested&&);

    void applyCatalogue(const ServiceCatalogue&);
    void wake();
    void schedule();

    NodeContext& m_context;
    Mailbox<QuotaTaskMessage> m_mailbox;
    Timer m_timer;
    // Accounts with a limit, as last applied.
    std::vector<AccountQuota> m_quotas;
};

// Sends the messages and delivers the decisions to the entry task.
void performQuotaActions(NodeContext&, QuotaActions&);

} // namespace Berylport
