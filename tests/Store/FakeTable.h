// TableClient in virtual time.
#pragma once

#include "StandIns/Table/TableState.h"
#include "Store/FakeStore.h"

namespace Berylport::Testing {

class FakeTable : public FakeStore {
public:
    FakeTable(VirtualTime& time, uint64_t seed)
        : FakeStore(time, seed)
        , m_time(time)
    {
    }

    TableState state;
    std::unique_ptr<TableClient> connect(std::shared_ptr<FakeProcess> process)
    {
        return std::make_unique<Client>(*this, std::move(process));
    }

private:
    class Client final : public TableClient {
    public:
        Client(FakeTable& table, std::shared_ptr<FakeProcess> process)
            : m_table(table)
            , m_process(std::move(process))
        {
        }

        void get(std::string key, Completion<TableRow> completion) override
        {
            m_table.request<TableRow>(
                m_process, false, [&table = m_table, key = std::move(key)] { return table.state.get(key); },
                std::move(completion));
        }

        void scan(std::string prefix, uint32_t limit, std::string after, Completion<ScanPage> completion) override
        {
            m_table.request<ScanPage>(
                m_process, false,
                [&table = m_table, prefix = std::move(prefix), limit, after = std::move(after)] {
                    return table.state.scan(prefix, limit, after);
                },
                std::move(completion));
        }

        void transact(Transaction transaction, Completion<TransactionResult> completion) override
        {
            m_table.request<TransactionResult>(
                m_process, true,
                [&table = m_table, transaction = std::move(transaction)] {
                    return table.state.transact(table.m_time.now(), transaction, table.counters);
                },
                std::move(completion));
        }

    private:
        FakeTable& m_table;
        std::shared_ptr<FakeProcess> m_process;
    };

    VirtualTime& m_time;
};

} // namespace Berylport::Testing
