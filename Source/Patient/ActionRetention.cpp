// Objects first, then the row that names them, so that a crash in between leaves no nameless object.
#include "Patient/ActionRetention.h"

#include <utility>

namespace Berylport {

struct ActionRetention::Page {
    std::vector<TableRow> rows;
    std::vector<std::string> objects;
};

ActionRetention::ActionRetention(TableClient& table, ObjectClient& objects, WriteBudget& budget,
    std::function<bool(Instant)> holds, std::function<int64_t()> unixMilliseconds, ActionRetentionOptions options)
    : m_table(table)
    , m_objects(objects)
    , m_budget(budget)
    , m_holds(std::move(holds))
    , m_unixMilliseconds(std::move(unixMilliseconds))
    , m_options(options)
{
}

void ActionRetention::tick(Instant now)
{
    if (m_isBusy || now < m_nextPage || !m_holds(now))
        return;
    m_isBusy = true;
    readPage();
}

std::optional<Instant> ActionRetention::nextWake() const
{
    if (m_isBusy)
        return std::nullopt;
    return m_nextPage;
}

void ActionRetention::readPage()
{
    m_table.scan(endedActionPrefix(m_options.partition), m_options.pageRows, m_after,
        [this, alive = std::weak_ptr(m_alive)](Instant now, StoreResult<ScanPage> result) {
            if (alive.expired())
                return;
            if (result)
                notePage(now, std::move(result.value()));
            else
                finishPage(now);
        });
}

void ActionRetention::notePage(Instant now, ScanPage page)
{
    m_after = page.hasMore && !page.rows.empty() ? page.rows.back().key : std::string();
    auto expired = std::make_shared<Page>();
    auto oldest = m_unixMilliseconds() - toMilliseconds(m_options.retention);
    auto prefix = endedActionPrefix(m_options.partition);
    for (auto& row : page.rows) {
        auto record = decodeActionRecord(row.value);
        if (!record || record->finishedUnixMs > oldest)
            continue;
        if (!record->bodyObject.empty())
            expired->objects.push_back(record->bodyObject);
        // An attempt before the last may have left a result, too.
        auto token = std::string_view(row.key).substr(prefix.size());
        for (uint32_t n = 1; n <= record->attempts; ++n) {
            if (n < record->attempts || !record->resultObject.empty())
                expired->objects.push_back(resultObjectName(token, n));
        }
        expired->rows.push_back(std::move(row));
    }
    if (expired->rows.empty() || !m_holds(now))
        finishPage(now);
    else if (expired->objects.empty())
        removeRows(now, expired);
    else
        removeObjects(expired);
}

void ActionRetention::removeObjects(const std::shared_ptr<Page>& page)
{
    m_objects.remove(
        page->objects.back(), [this, alive = std::weak_ptr(m_alive), page](Instant now, StoreResult<Done> result) {
            if (alive.expired())
                return;
            // A failure leaves the rows to the next round.
            if (!result && result.error().code != StoreErrorCode::NotFound) {
                finishPage(now);
                return;
            }
            page->objects.pop_back();
            if (page->objects.empty())
                removeRows(now, page);
            else
                removeObjects(page);
        });
}

void ActionRetention::removeRows(Instant now, const std::shared_ptr<Page>& page)
{
    if (!m_holds(now) || !m_budget.take(now)) {
        finishPage(now);
        return;
    }
    Transaction transaction { .token = "retain-" + toText(m_options.node) + "-" + std::to_string(m_options.instance)
            + "-" + std::to_string(++m_requests),
        .checks
        = { { fenceKey(partitionLeaseName(m_options.partition)), RowVersionEquals { m_options.fencingToken } } },
        .puts = {},
        .deletes = {} };
    for (auto& row : page->rows) {
        transaction.checks.push_back({ row.key, RowVersionEquals { row.version } });
        transaction.deletes.push_back(row.key);
    }
    // A lost confirmation needs no repetition: the next round finds what is left.
    m_table.transact(
        std::move(transaction), [this, alive = std::weak_ptr(m_alive)](Instant at, StoreResult<TransactionResult>) {
            if (!alive.expired())
                finishPage(at);
        });
}

void ActionRetention::finishPage(Instant now)
{
    m_isBusy = false;
    m_nextPage = now + m_options.pageEvery;
}

} // namespace Berylport
