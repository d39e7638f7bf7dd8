// A runner without fencing and without a question before a second run. Shows that the property test finds such faults.
#pragma once

#include "Patient/Patient.h"

namespace Berylport::Testing {

class NaiveRunner {
public:
    NaiveRunner(ActionRunnerOptions options, ActionRunnerPorts ports)
        : m_options(options)
        , m_ports(std::move(ports))
    {
    }

    void tick(Instant now)
    {
        if (m_isBusy || now < m_nextScan)
            return;
        m_isBusy = true;
        m_nextScan = now + m_options.pollEvery;
        m_ports.table.scan(openActionPrefix(m_options.partition), 10, {},
            [this, alive = std::weak_ptr(m_alive)](Instant at, StoreResult<ScanPage> page) {
                if (alive.expired())
                    return;
                m_isBusy = false;
                if (!page)
                    return;
                for (auto& row : page.value().rows)
                    run(at, row);
            });
    }

    void noteOutcome(Instant, std::string_view token, const AttemptId&, ActionOutcome outcome)
    {
        auto it = m_running.find(std::string(token));
        auto* answer = std::get_if<CallAnswered>(&outcome);
        if (it == m_running.end() || !answer)
            return;
        auto record = it->second;
        record.state = ActionState::Done;
        record.result = answer->http;
        write({ { endedActionKey(token), encodeActionRecord(record) } }, { openActionKey(token) });
    }

    bool isStopped() const { return false; }

private:
    void run(Instant now, const TableRow& row)
    {
        auto token = row.key.substr(openActionPrefix(m_options.partition).size());
        auto node = m_ports.selectTarget(now, ServiceName("s"));
        if (m_running.count(token) || !node)
            return;
        auto record = decodeActionRecord(row.value).value();
        record.state = ActionState::Running;
        record.current = { .fencingToken = m_options.fencingToken,
            .node = *node,
            .id = { .call = m_ports.nextCallId(), .attempt = ++record.attempts } };
        m_running[token] = record;
        write({ { row.key, encodeActionRecord(record) } }, {});
        m_ports.perform(DispatchAction { .token = token,
            .attempt = record.current.id,
            .node = *node,
            .service = record.service,
            .tenant = record.tenant,
            .deadline = now + m_options.runTimeout,
            .http = record.http });
    }

    void write(std::vector<TablePut> puts, std::vector<std::string> deletes)
    {
        Transaction transaction { .token
            = "naive-" + std::to_string(m_options.instance) + "-" + std::to_string(++m_requests),
            .checks = {},
            .puts = std::move(puts),
            .deletes = std::move(deletes) };
        m_ports.table.transact(std::move(transaction), [](Instant, StoreResult<TransactionResult>) {});
    }

    ActionRunnerOptions m_options;
    ActionRunnerPorts m_ports;
    std::map<std::string, ActionRecord> m_running;
    bool m_isBusy { false };
    Instant m_nextScan {};
    uint64_t m_requests { 0 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

} // namespace Berylport::Testing
