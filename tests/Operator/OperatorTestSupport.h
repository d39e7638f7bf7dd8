// A node's operator service with a scripted handler, on a loopback socket in a thread of its own.
#pragma once

#include "Loop/Loop.h"
#include "Operator/Operator.h"
#include "Support/RawClient.h"

#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Berylport {

// Far above any delay of a busy machine; only a hang reaches it.
constexpr Duration testLimit = std::chrono::seconds(60);

// Answers with what the test has set. The test sets and reads it only between calls.
class FakeOperatorHandler : public OperatorHandler {
public:
    void listServices(OperatorReply<ServiceList> reply) override { answer(reply, services); }
    void changeService(ServiceChangeRequest request, OperatorReply<ServiceChangeReply> reply) override
    {
        changes.push_back(std::move(request));
        answer(reply, changeReply);
    }
    void listTargets(OperatorReply<std::vector<TargetRow>> reply) override { answer(reply, targets); }
    void drainTarget(NodeId node, ServiceName service, bool isDrained, OperatorReply<OperatorError> reply) override
    {
        drains.push_back(toText(node) + " " + service.text + (isDrained ? " drain" : " undrain"));
        answer(reply, error);
    }
    void listMembers(OperatorReply<std::vector<MemberRow>> reply) override { answer(reply, members); }
    void listZones(OperatorReply<ZoneList> reply) override { answer(reply, zones); }
    void retireZone(ZoneName zone, OperatorReply<OperatorError> reply) override
    {
        retired.push_back(zone);
        answer(reply, error);
    }
    void measures(OperatorReply<std::vector<MeasureRow>> reply) override { answer(reply, rows); }
    void status(OperatorReply<OperatorNodeStatus> reply) override { answer(reply, nodeStatus); }
    void findAction(std::string token, OperatorReply<ActionReply> reply) override
    {
        tokens.push_back(token);
        answer(reply, action);
    }

    void releaseHeld() { m_held.clear(); }

    enum class Mode {
        Answer,
        // Keeps the reply function without calling it.
        Hold,
        // Destroys the reply function without calling it.
        Drop,
    };
    std::atomic<Mode> mode { Mode::Answer };
    ServiceList services;
    ServiceChangeReply changeReply;
    std::vector<TargetRow> targets;
    std::vector<MemberRow> members;
    ZoneList zones;
    std::vector<MeasureRow> rows;
    OperatorNodeStatus nodeStatus;
    ActionReply action;
    OperatorError error;
    std::vector<ServiceChangeRequest> changes;
    std::vector<std::string> drains;
    std::vector<ZoneName> retired;
    std::vector<std::string> tokens;

private:
    template <typename T> void answer(const OperatorReply<T>& reply, const T& value)
    {
        if (mode == Mode::Answer)
            reply(value);
        else if (mode == Mode::Hold)
            m_held.push_back([reply] {});
    }
    std::vector<std::function<void()>> m_held;
};

// The client blocks its thread, so the server runs in another.
class OperatorFixture {
public:
    explicit OperatorFixture(OperatorServerOptions options = {})
    {
        std::promise<Endpoint> started;
        auto future = started.get_future();
        m_thread = std::thread([this, options, &started] { serve(options, started); });
        endpoint = future.get();
    }
    ~OperatorFixture()
    {
        m_isStopping = true;
        m_thread.join();
    }
    OperatorFixture(const OperatorFixture&) = delete;
    OperatorFixture& operator=(const OperatorFixture&) = delete;

    // Waits until the server has counted what the test expects.
    bool waitFor(const std::function<bool(const OperatorServerCounters&, size_t connections)>& condition)
    {
        Instant end = steadyNow() + testLimit;
        while (steadyNow() < end) {
            {
                std::lock_guard lock(m_mutex);
                if (condition(m_counters, m_connections))
                    return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    FakeOperatorHandler handler;
    Endpoint endpoint;

private:
    void serve(OperatorServerOptions options, std::promise<Endpoint>& started)
    {
        EventLoop loop;
        {
            OperatorServer server(loop, handler, options);
            started.set_value(server.listen({ .address = "127.0.0.1", .port = 0 }).value());
            while (!m_isStopping) {
                loop.runOnce(std::chrono::milliseconds(5));
                std::lock_guard lock(m_mutex);
                m_counters = server.counters();
                m_connections = server.connectionCount();
            }
        }
        // The replies that the handler keeps must end before the loop.
        handler.releaseHeld();
        loop.runOnce(std::chrono::milliseconds(5));
    }

    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    OperatorServerCounters m_counters;
    size_t m_connections { 0 };
    std::thread m_thread;
};

inline ServiceDefinition createDefinition(std::string_view name, uint64_t version)
{
    ServiceDefinition definition;
    definition.name = ServiceName(name);
    definition.kind = RequestKind::Idempotent;
    definition.priority = Priority::Critical;
    definition.callerWait = std::chrono::milliseconds(750);
    definition.retryTokens = 3;
    definition.isHedged = true;
    definition.queueLimit = 40;
    definition.version = version;
    return definition;
}

} // namespace Berylport
