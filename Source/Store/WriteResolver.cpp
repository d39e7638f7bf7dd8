// Repetition and its end.
#include "Store/WriteResolver.h"

#include <algorithm>
#include <vector>

namespace Berylport {

WriteResolver::WriteResolver(TableClient& table, WriteResolverOptions options)
    : m_table(table)
    , m_state(std::make_shared<State>())
{
    m_state->options = options;
}

void WriteResolver::transact(
    Instant now, Transaction transaction, Instant deadline, Completion<TransactionResult> completion)
{
    auto number = m_nextNumber++;
    auto& write = m_state->writes[number];
    write.transaction = std::move(transaction);
    write.deadline = std::min(deadline, now + longestDeadline);
    write.completion = std::move(completion);
    write.pause = m_state->options.pauseMin;
    send(number);
}

void WriteResolver::send(uint64_t number)
{
    auto& write = m_state->writes.at(number);
    write.sendAt.reset();
    m_table.transact(
        write.transaction, [weak = std::weak_ptr(m_state), number](Instant now, StoreResult<TransactionResult> result) {
            if (auto state = weak.lock())
                noteResult(*state, now, number, std::move(result));
        });
}

void WriteResolver::noteResult(State& state, Instant now, uint64_t number, StoreResult<TransactionResult> result)
{
    auto it = state.writes.find(number);
    // Given up meanwhile.
    if (it == state.writes.end())
        return;
    auto& write = it->second;
    if (result) {
        complete(state, now, number, std::move(result));
        return;
    }
    auto code = result.error().code;
    if (code == StoreErrorCode::Timeout)
        write.mayHaveApplied = true;
    bool isUncertain
        = code == StoreErrorCode::Timeout || code == StoreErrorCode::Unavailable || code == StoreErrorCode::Throttled;
    if (!write.mayHaveApplied || !isUncertain) {
        complete(state, now, number, std::move(result));
        return;
    }
    write.sendAt = now + std::max(write.pause, result.error().retryAfter);
    write.pause = std::min(write.pause * 2, state.options.pauseMax);
}

void WriteResolver::complete(State& state, Instant now, uint64_t number, StoreResult<TransactionResult> result)
{
    auto node = state.writes.extract(number);
    if (node.empty())
        return;
    node.mapped().completion(now, std::move(result));
}

void WriteResolver::tick(Instant now)
{
    // A completion may start further writes or destroy the resolver.
    auto state = m_state;
    std::vector<uint64_t> due;
    std::vector<uint64_t> expired;
    for (auto& [number, write] : state->writes) {
        if (now >= write.deadline)
            expired.push_back(number);
        else if (write.sendAt && now >= *write.sendAt)
            due.push_back(number);
    }
    for (auto number : due)
        send(number);
    for (auto number : expired) {
        complete(*state, now, number,
            StoreError { .code = StoreErrorCode::Timeout, .text = "result of the write is unknown at its deadline" });
    }
}

std::optional<Instant> WriteResolver::nextWake() const
{
    std::optional<Instant> earliest;
    for (auto& [number, write] : m_state->writes) {
        auto at = write.sendAt ? std::min(*write.sendAt, write.deadline) : write.deadline;
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

} // namespace Berylport
