// The operators' RPC service of a node: listens, checks requests, and hands them to a handler.
#pragma once

#include "Loop/EventLoop.h"
#include "Operator/OperatorTypes.h"

#include <functional>
#include <memory>

namespace Berylport {

template <typename T> using OperatorReply = std::function<void(T)>;

// The requests have been checked. The reply functions may be called once, now or later, but must not outlive the event
// loop; a reply to a lost connection is dropped. What a handler throws ends the loop.
class OperatorHandler {
public:
    virtual ~OperatorHandler() = default;
    virtual void listServices(OperatorReply<ServiceList>) = 0;
    virtual void changeService(ServiceChangeRequest, OperatorReply<ServiceChangeReply>) = 0;
    virtual void listTargets(OperatorReply<std::vector<TargetRow>>) = 0;
    virtual void drainTarget(NodeId, ServiceName, bool isDrained, OperatorReply<OperatorError>) = 0;
    virtual void listMembers(OperatorReply<std::vector<MemberRow>>) = 0;
    virtual void listZones(OperatorReply<ZoneList>) = 0;
    virtual void retireZone(ZoneName, OperatorReply<OperatorError>) = 0;
    virtual void measures(OperatorReply<std::vector<MeasureRow>>) = 0;
    virtual void status(OperatorReply<OperatorNodeStatus>) = 0;
    virtual void findAction(std::string token, OperatorReply<ActionReply>) = 0;
};

enum class OperatorServerError : uint8_t {
    InvalidAddress,
    ListenFailed,
};

constexpr std::string_view toText(OperatorServerError error)
{
    return error == OperatorServerError::InvalidAddress ? "invalid-address" : "listen-failed";
}

struct OperatorServerOptions {
    size_t maximumConnections { 64 };
    size_t maximumRequestBytes { 64 * 1024 };
    // A connection that sends nothing for this long is closed, so that idle clients cannot take all connections.
    Duration idleLimit { std::chrono::seconds(60) };
};

struct OperatorServerCounters {
    uint64_t accepted { 0 };
    // Closed at once, as there were too many connections.
    uint64_t rejected { 0 };
    uint64_t malformedRequests { 0 };
    uint64_t idleConnections { 0 };
};

class OperatorServer {
public:
    // The handler must outlive the server.
    OperatorServer(EventLoop&, OperatorHandler&, OperatorServerOptions = {});
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    // Returns the endpoint with the actual port. Port zero lets the system choose.
    Result<Endpoint, OperatorServerError> listen(const Endpoint&);
    // Accepts no more connections; the open ones stay.
    void stopListening();

    size_t connectionCount() const;
    const OperatorServerCounters& counters() const;

private:
    class Private;
    std::shared_ptr<Private> m_private;
};

} // namespace Berylport
