// Connects the quota limiter with the other tasks.
#include "Node/QuotaTask.h"

#include "Log/Log.h"

#include <algorithm>
#include <cstdio>

namespace Berylport {

namespace {

QuotaTolerance toleranceOf(const QuotaSection& settings)
{
    return { .excess = settings.excess, .slack = settings.slack, .window = settings.window };
}

// Changed accounts that a log line names.
constexpr size_t maximumNamed = 10;

// Names accounts whose limit has changed, with the new limit.
std::string describeChanges(
    const AccountTable& accounts, const std::vector<AccountQuota>& before, const std::vector<AccountQuota>& after)
{
    std::string text;
    size_t count = 0;
    for (auto& account : accounts.accounts()) {
        uint64_t key = quotaKey(account.name.text);
        auto held = std::ranges::find(before, key, &AccountQuota::account);
        auto applied = std::ranges::find(after, key, &AccountQuota::account);
        if (held == before.end() || applied == after.end() || *held == *applied)
            continue;
        if (++count > maximumNamed)
            break;
        char buf[64];
        std::snprintf(buf, sizeof(buf), "=%.1f+%.1f", account.requestsPerSecond, account.burst);
        text += (text.empty() ? "" : ",") + account.name.text + buf;
    }
    return text;
}

std::vector<AccountQuota> quotasOf(const ServiceCatalogue& catalogue, const QuotaTolerance& tolerance)
{
    std::vector<AccountQuota> quotas;
    if (!catalogue.accounts)
        return quotas;
    for (auto& it : catalogue.accounts->accounts()) {
        if (it.requestsPerSecond > 0)
            quotas.push_back(makeAccountQuota(it.name.text, it.requestsPerSecond, it.burst, tolerance));
    }
    return quotas;
}

} // namespace

void performQuotaActions(NodeContext& context, QuotaActions& actions)
{
    auto perform = Overloaded {
        [&](SendQuota& it) {
            context.ports.membership.post(QuotaMessageDue { .to = it.to, .message = std::move(it.message) });
        },
        [&](DecideQuota& it) { context.ports.entry.post(QuotaDecided { .decided = it }); },
        [](QuotaOwnerReplaced& it) {
            logEvent(Event::QuotaOwnerReplaced,
                { { "node", toText(it.owner) }, { "avoided_ms", std::to_string(toMilliseconds(it.avoidance)) } });
        },
    };
    for (auto& it : actions)
        std::visit(perform, it);
}

QuotaTask::QuotaTask(NodeContext& context)
    : Task(context.loop, "quota")
    , m_context(context)
    , m_mailbox(context.loop, guarded([this](QuotaTaskMessage&& message) {
        std::visit([this](auto& it) { handle(std::move(it)); }, message);
    }))
    , m_timer(context.loop, guarded([this] { wake(); }))
{
}

void QuotaTask::start()
{
    m_context.ports.quota.attach(&m_mailbox);
    applyCatalogue(*m_context.status.catalogue);
}

void QuotaTask::stop() noexcept
{
    m_context.ports.quota.detach();
    m_timer.stop();
}

void QuotaTask::handle(CatalogueChanged&& message) { applyCatalogue(*message.catalogue); }

void QuotaTask::applyCatalogue(const ServiceCatalogue& catalogue)
{
    auto quotas = quotasOf(catalogue, toleranceOf(m_context.settings.quota));
    if (quotas == m_quotas)
        return;
    logEvent(Event::QuotasChanged,
        { { "accounts", std::to_string(quotas.size()) }, { "version", std::to_string(catalogue.version) },
            { "changed", catalogue.accounts ? describeChanges(*catalogue.accounts, m_quotas, quotas) : "" } });
    m_quotas = std::move(quotas);
    QuotaActions actions;
    m_context.quota.setAccounts(m_quotas, steadyNow(), actions);
    performQuotaActions(m_context, actions);
    schedule();
}

void QuotaTask::handle(QuotaMembersChanged&& message)
{
    QuotaActions actions;
    m_context.quota.setMembers(message.candidates, message.knownVms, steadyNow(), actions);
    performQuotaActions(m_context, actions);
    schedule();
}

void QuotaTask::handle(QuotaMessageReceived&& received)
{
    m_context.metrics.add("berylport_quota_messages_total");
    QuotaActions actions;
    m_context.quota.receive(received.message, steadyNow(), actions);
    performQuotaActions(m_context, actions);
    schedule();
}

void QuotaTask::handle(QuotaRequested&&) { schedule(); }

void QuotaTask::wake()
{
    Instant now = steadyNow();
    QuotaActions actions;
    m_context.quota.tick(now, actions);
    performQuotaActions(m_context, actions);
    m_context.metrics.set("berylport_quota_issued_share", m_context.quota.issuedShare(now));
    m_context.metrics.set("berylport_quota_waiting", static_cast<double>(m_context.quota.waitingCount()));
    schedule();
}

void QuotaTask::schedule()
{
    if (m_context.quota.isActive())
        m_timer.startAt(m_context.quota.nextWake());
    else
        m_timer.stop();
}

} // namespace Berylport
