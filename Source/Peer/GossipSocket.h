// Gossip datagrams: packed Cap'n Proto messages over UDP.
#pragma once

#include "Base/GossipMessages.h"
#include "Base/QuotaMessages.h"
#include "Base/Result.h"
#include "Loop/EventLoop.h"
#include "Peer/PeerError.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Berylport {

// Times are ages on the wire, so both take the present time. The system is the identity of this node's one, zero for
// none; a message of another system fails with ForeignSystem.
Result<std::string, PeerError> encodeGossip(const GossipMessage&, Instant now, uint64_t system = 0);
Result<GossipMessage, PeerError> decodeGossip(std::string_view, Instant now, uint64_t system = 0);
Result<std::string, PeerError> encodeQuota(const QuotaMessage&, uint64_t system = 0);

using Datagram = std::variant<GossipMessage, QuotaMessage>;
Result<Datagram, PeerError> decodeDatagram(std::string_view, Instant now, uint64_t system = 0);

struct GossipCounters {
    uint64_t sent { 0 };
    uint64_t sentBytes { 0 };
    uint64_t sendFailures { 0 };
    uint64_t received { 0 };
    uint64_t receivedBytes { 0 };
    // Dropped datagrams: oversized, undecodable, or with a field out of range.
    uint64_t malformed { 0 };
    // Datagrams of nodes of another system, dropped too.
    uint64_t foreign { 0 };
};

class GossipSocket {
public:
    using Receiver = std::function<void(const Endpoint& from, GossipMessage)>;
    using QuotaReceiver = std::function<void(QuotaMessage)>;

    // Told of each datagram of another system that is dropped.
    using ForeignHandler = std::function<void(const Endpoint& from)>;

    // system as in decodeGossip.
    GossipSocket(EventLoop&, Receiver, uint64_t system = 0, ForeignHandler = {});
    ~GossipSocket();
    GossipSocket(const GossipSocket&) = delete;
    GossipSocket& operator=(const GossipSocket&) = delete;

    // Returns the bound endpoint. With port zero, the operating system chooses the port.
    Result<Endpoint, PeerError> listen(const Endpoint&);
    // Returns the size of the datagram. A message that encodes to more than 1,400 bytes is not sent (MessageTooLarge).
    Result<size_t, PeerError> send(const Endpoint& to, const GossipMessage&);
    Result<size_t, PeerError> send(const Endpoint& to, const QuotaMessage&);
    // Messages about quotas are dropped until this is called.
    void setQuotaReceiver(QuotaReceiver);
    const GossipCounters& counters() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Berylport
