// Carries out the keeper's actions.
#include "Store/LeaseDriver.h"

#include "Base/Overloaded.h"

namespace Berylport {

LeaseDriver::LeaseDriver(TableClient& table, LeaseOptions options)
    : m_state(std::make_shared<State>(State { .table = table, .keeper = LeaseKeeper(std::move(options)) }))
{
}

void LeaseDriver::acquire(Instant now)
{
    m_state->keeper.acquire(now);
    run(m_state, now);
}

void LeaseDriver::release(Instant now)
{
    m_state->keeper.release(now);
    run(m_state, now);
}

void LeaseDriver::tick(Instant now) { run(m_state, now); }

void LeaseDriver::run(const std::shared_ptr<State>& state, Instant now)
{
    std::vector<LeaseAction> actions;
    state->keeper.tick(now, actions);
    std::weak_ptr<State> weak = state;
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [&](const ReadLease& it) {
                           state->table.get(it.key, [weak](Instant at, StoreResult<TableRow> result) {
                               if (auto self = weak.lock()) {
                                   self->keeper.readFinished(at, result);
                                   run(self, at);
                               }
                           });
                       },
                       [&](const WriteLease& it) {
                           state->table.transact(it.transaction,
                               [weak, token = it.transaction.token](Instant at, StoreResult<TransactionResult> result) {
                                   if (auto self = weak.lock()) {
                                       self->keeper.writeFinished(at, token, result);
                                       run(self, at);
                                   }
                               });
                       },
                   },
            action);
    }
}

} // namespace Berylport
