// A blocking client of one node, for the command line.
#pragma once

#include "Operator/OperatorTypes.h"

#include <memory>

namespace Berylport {

enum class OperatorClientError : uint8_t {
    InvalidAddress,
    // Nothing was sent after these two.
    ConnectFailed,
    ConnectTimeout,
    // The request may have been carried out after all that follow.
    Timeout,
    ConnectionLost,
    Rejected,
    MalformedReply,
};

std::string_view toText(OperatorClientError);
// True when the request certainly has not left this process.
bool isNotSent(OperatorClientError);

struct OperatorClientOptions {
    Duration connectTimeout { std::chrono::seconds(2) };
    // Limit on each call, including the connect. Above the 4 s that a node waits for confirmations.
    Duration timeout { std::chrono::seconds(10) };
};

// Has its own event loop, so a thread that runs another one must not use it.
class OperatorClient {
public:
    template <typename T> using Reply = Result<T, OperatorClientError>;

    explicit OperatorClient(Endpoint, OperatorClientOptions = {});
    ~OperatorClient();
    OperatorClient(const OperatorClient&) = delete;
    OperatorClient& operator=(const OperatorClient&) = delete;

    Reply<ServiceList> listServices();
    Reply<ServiceChangeReply> changeService(const ServiceChangeRequest&);
    Reply<std::vector<TargetRow>> listTargets();
    Reply<OperatorError> drainTarget(NodeId, const ServiceName&, bool isDrained);
    Reply<std::vector<MemberRow>> listMembers();
    Reply<ZoneList> listZones();
    Reply<OperatorError> retireZone(const ZoneName&);
    Reply<std::vector<MeasureRow>> measures();
    Reply<OperatorNodeStatus> status();
    Reply<ActionReply> findAction(const std::string& token);

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Berylport
