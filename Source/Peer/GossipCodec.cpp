// Encodes and decodes Gossip.capnp messages. Every field is validated on decoding.
#include "Peer/CodecSupport.h"
#include "Peer/GossipSocket.h"

#include <Gossip.capnp.h>
#include <algorithm>
#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace Berylport {

using namespace Codec;

namespace {

constexpr uint16_t gossipProtocolVersion = 1;
// Limits the memory that a crafted datagram can claim; valid datagrams of 1,400 bytes unpack to much less.
constexpr uint64_t maximumUnpackedWords = 8192;
constexpr size_t maximumRecords = 128;
constexpr size_t maximumTargets = 32;
constexpr size_t maximumInstanceBytes = 200;
constexpr size_t maximumSuspects = 16;
constexpr size_t maximumEnds = 8;
// A good end that is not told.
constexpr uint32_t noAge = UINT32_MAX;
constexpr size_t ipv4Size = 4;
constexpr size_t ipv6Size = 16;

static_assert(static_cast<int>(Schema::MemberState::DEAD) == static_cast<int>(MemberState::Dead));
static_assert(static_cast<int>(Schema::GossipTargetState::DOWN) == static_cast<int>(TargetState::Down));

// An IP address in network byte order.
struct AddressBytes {
    kj::byte buf[ipv6Size];
    size_t size { 0 };
    capnp::Data::Reader reader() const { return kj::arrayPtr(buf, size); }
};

AddressBytes toBytes(const std::string& address)
{
    AddressBytes bytes;
    if (inet_pton(AF_INET, address.c_str(), bytes.buf) == 1)
        bytes.size = ipv4Size;
    else if (inet_pton(AF_INET6, address.c_str(), bytes.buf) == 1)
        bytes.size = ipv6Size;
    require(bytes.size, "endpoint without an IP address");
    return bytes;
}

Endpoint toEndpoint(capnp::Data::Reader address, uint16_t port)
{
    require(address.size() == ipv4Size || address.size() == ipv6Size, "invalid address");
    require(port, "endpoint without a port");
    char text[INET6_ADDRSTRLEN];
    inet_ntop(address.size() == ipv4Size ? AF_INET : AF_INET6, address.begin(), text, sizeof text);
    return { .address = text, .port = port };
}

void writeRecord(Schema::MemberRecord::Builder builder, const MemberRecord& record)
{
    builder.setNode(record.node.value);
    builder.setGossipAddress(toBytes(record.gossip.address).reader());
    builder.setGossipPort(record.gossip.port);
    AddressBytes peerAddress = toBytes(record.peer.address);
    if (record.peer.address != record.gossip.address)
        builder.setPeerAddress(peerAddress.reader());
    builder.setPeerPort(record.peer.port);
    builder.setZone(textOf(record.zone.text));
    builder.setRegion(textOf(record.region.text));
    builder.setVersion(record.version);
    builder.setState(static_cast<Schema::MemberState>(record.state));
    builder.setConfigurationVersion(record.configurationVersion);
    if (record.targets.empty())
        return;
    auto targets = builder.initTargets(static_cast<unsigned>(record.targets.size()));
    unsigned i = 0;
    for (const auto& it : record.targets) {
        auto target = targets[i++];
        target.setService(textOf(it.service.text));
        target.setSlots(it.slots);
        target.setState(static_cast<Schema::GossipTargetState>(it.state));
        target.setStateVersion(it.stateVersion);
    }
}

MemberTarget readTarget(Schema::MemberTarget::Reader reader)
{
    return {
        .service = readName<struct ServiceNameTag>(reader.getService()),
        .slots = reader.getSlots(),
        .state = readEnum(reader.getState(), TargetState::Down),
        .stateVersion = reader.getStateVersion(),
    };
}

MemberRecord readRecord(Schema::MemberRecord::Reader reader)
{
    MemberRecord record;
    record.node = NodeId { reader.getNode() };
    require(!record.node.isNull(), "record without a node");
    auto gossipAddress = reader.getGossipAddress();
    record.gossip = toEndpoint(gossipAddress, reader.getGossipPort());
    auto peerAddress = reader.hasPeerAddress() ? reader.getPeerAddress() : gossipAddress;
    record.peer = toEndpoint(peerAddress, reader.getPeerPort());
    record.zone = readName<struct ZoneNameTag>(reader.getZone());
    record.region = readName<struct RegionNameTag>(reader.getRegion());
    record.version = reader.getVersion();
    record.state = readEnum(reader.getState(), MemberState::Dead);
    record.configurationVersion = reader.getConfigurationVersion();
    auto targets = reader.getTargets();
    require(targets.size() <= maximumTargets, "too many targets");
    for (auto it : targets)
        record.targets.push_back(readTarget(it));
    return record;
}

void writeDepartures(Schema::GossipMessage::Builder builder, const std::vector<MemberRecord>& records)
{
    auto count = std::ranges::count_if(records, [](auto& it) { return it.departed.has_value(); });
    if (!count)
        return;
    auto departures = builder.initDepartures(static_cast<unsigned>(count));
    unsigned i = 0;
    for (size_t n = 0; n < records.size(); ++n) {
        if (!records[n].departed)
            continue;
        auto departure = departures[i++];
        departure.setRecord(static_cast<uint8_t>(n));
        departure.setInstance(textOf(records[n].departed->instance));
        departure.setStartMs(records[n].departed->startedAtMilliseconds);
    }
}

void readDepartures(Schema::GossipMessage::Reader reader, std::vector<MemberRecord>& records)
{
    for (auto it : reader.getDepartures()) {
        require(it.getRecord() < records.size(), "departure without a record");
        auto instance = it.getInstance();
        require(instance.size() <= maximumInstanceBytes, "instance id too long");
        records[it.getRecord()].departed
            = TargetIncarnation { .instance = std::string(instance.begin(), instance.size()),
                  .startedAtMilliseconds = it.getStartMs() };
    }
}

void writeConfirmation(Schema::GossipMessage::Builder builder, const SourceConfirmation& confirmation, Instant now)
{
    int64_t age = toMilliseconds(std::max(now - confirmation.at, Duration::zero()));
    if (age > UINT16_MAX)
        return;
    builder.setConfirmedBy(confirmation.reader.value);
    builder.setConfirmedMsAgo(static_cast<uint16_t>(age));
    if (confirmation.sourceTime)
        builder.setConfirmedSourceMs(static_cast<uint64_t>(toMilliseconds(*confirmation.sourceTime)));
}

uint32_t ageOf(Instant at, Instant now)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(toMilliseconds(now - at), 0, noAge - 1));
}

void writeSuspect(Schema::Suspect::Builder builder, const SuspectRecord& record, Instant now)
{
    auto& [head, body] = record.fingerprint;
    auto bytes = builder.initFingerprint(static_cast<unsigned>(head.size() + body.size()));
    std::ranges::copy(body, std::ranges::copy(head, bytes.begin()).out);
    if (!record.ends.empty())
        builder.setEnds(kj::arrayPtr(record.ends.data(), record.ends.size()));
    builder.setIsRefused(record.isRefused);
    builder.setLastEndMsAgo(ageOf(record.lastEndAt, now));
    if (record.goodEndAt)
        builder.setGoodEndMsAgo(ageOf(*record.goodEndAt, now));
}

SuspectRecord readSuspect(Schema::Suspect::Reader reader, Instant now)
{
    SuspectRecord record;
    auto& [head, body] = record.fingerprint;
    auto bytes = reader.getFingerprint();
    require(bytes.size() == head.size() + body.size(), "invalid fingerprint");
    std::copy_n(bytes.begin(), head.size(), head.begin());
    std::copy_n(bytes.begin() + head.size(), body.size(), body.begin());
    require(reader.getEnds().size() <= maximumEnds, "too many target ends");
    for (uint64_t it : reader.getEnds())
        record.ends.push_back(it);
    require(std::ranges::is_sorted(record.ends), "unsorted target ends");
    record.isRefused = reader.getIsRefused();
    record.lastEndAt = now - std::chrono::milliseconds(reader.getLastEndMsAgo());
    if (reader.getGoodEndMsAgo() != noAge)
        record.goodEndAt = now - std::chrono::milliseconds(reader.getGoodEndMsAgo());
    return record;
}

void writeSuspects(Schema::GossipMessage::Builder builder, const GossipContent& content, Instant now)
{
    builder.setSuspectDigest(content.suspectDigest);
    if (content.suspects.empty())
        return;
    auto suspects = builder.initSuspects(static_cast<unsigned>(content.suspects.size()));
    unsigned i = 0;
    for (auto& it : content.suspects)
        writeSuspect(suspects[i++], it, now);
}

void writeEvacuation(Schema::Evacuation::Builder builder, const EvacuatedZones& evacuation)
{
    builder.setEra(evacuation.era);
    builder.setVersion(evacuation.version);
    // Receivers reject a message with more zones as a whole.
    auto count = static_cast<unsigned>(std::min(evacuation.zones.size(), maximumEvacuatedZones));
    auto zones = builder.initZones(count);
    for (unsigned i = 0; i < count; ++i)
        zones.set(i, textOf(evacuation.zones[i].text));
}

EvacuatedZones readEvacuation(Schema::Evacuation::Reader reader)
{
    EvacuatedZones evacuation { .era = reader.getEra(), .version = reader.getVersion() };
    require(reader.getZones().size() <= maximumEvacuatedZones, "too many evacuated zones");
    for (auto it : reader.getZones())
        evacuation.zones.emplace_back(std::string(it.begin(), it.size()));
    require(std::ranges::is_sorted(evacuation.zones), "unsorted evacuated zones");
    return evacuation;
}

void writeContent(Schema::GossipMessage::Builder builder, const GossipContent& content, Instant now)
{
    if (!content.records.empty()) {
        auto records = builder.initRecords(static_cast<unsigned>(content.records.size()));
        unsigned i = 0;
        for (const auto& it : content.records)
            writeRecord(records[i++], it);
    }
    writeDepartures(builder, content.records);
    if (content.digest)
        builder.setDigest(kj::arrayPtr(content.digest->data(), content.digest->size()));
    if (!content.requestedBuckets.empty()) {
        const auto& buckets = content.requestedBuckets;
        builder.setRequestedBuckets(kj::arrayPtr(buckets.data(), buckets.size()));
    }
    builder.setStoreEra(content.storeEra);
    if (content.evacuation)
        writeEvacuation(builder.initEvacuation(), *content.evacuation);
    writeSuspects(builder, content, now);
    if (content.confirmation)
        writeConfirmation(builder, *content.confirmation, now);
    if (content.coordinator) {
        auto coordinator = builder.initCoordinator();
        coordinator.setZone(textOf(content.coordinator->zone.text));
        coordinator.setFencingToken(content.coordinator->fencingToken);
        coordinator.setNode(content.coordinator->node.value);
    }
}

GossipContent readContent(Schema::GossipMessage::Reader reader, Instant now)
{
    GossipContent content;
    auto records = reader.getRecords();
    require(records.size() <= maximumRecords, "too many records");
    for (auto it : records)
        content.records.push_back(readRecord(it));
    readDepartures(reader, content.records);
    content.storeEra = reader.getStoreEra();
    if (reader.hasEvacuation())
        content.evacuation = readEvacuation(reader.getEvacuation());
    content.suspectDigest = reader.getSuspectDigest();
    require(reader.getSuspects().size() <= maximumSuspects, "too many suspects");
    for (auto it : reader.getSuspects())
        content.suspects.push_back(readSuspect(it, now));
    if (reader.getConfirmedBy())
        content.confirmation = SourceConfirmation { .at = now - std::chrono::milliseconds(reader.getConfirmedMsAgo()),
            .reader = NodeId { reader.getConfirmedBy() } };
    if (content.confirmation && reader.getConfirmedSourceMs())
        content.confirmation->sourceTime = std::chrono::milliseconds(reader.getConfirmedSourceMs());
    auto digest = reader.getDigest();
    require(!digest.size() || digest.size() == gossipBucketCount, "invalid digest");
    if (digest.size()) {
        content.digest.emplace();
        for (unsigned i = 0; i < gossipBucketCount; ++i)
            (*content.digest)[i] = digest[i];
    }
    auto buckets = reader.getRequestedBuckets();
    require(buckets.size() <= gossipBucketCount, "too many buckets");
    for (uint8_t it : buckets) {
        require(it < gossipBucketCount, "invalid bucket");
        content.requestedBuckets.push_back(it);
    }
    if (reader.hasCoordinator()) {
        auto coordinator = reader.getCoordinator();
        content.coordinator = CoordinatorInfo {
            .zone = readName<struct ZoneNameTag>(coordinator.getZone()),
            .fencingToken = coordinator.getFencingToken(),
            .node = NodeId { coordinator.getNode() },
        };
    }
    return content;
}

void writeKind(Schema::GossipMessage::Builder builder, const GossipPing&) { builder.setPing(); }

void writeKind(Schema::GossipMessage::Builder builder, const GossipAck&) { builder.setAck(); }

void writeKind(Schema::GossipMessage::Builder builder, const GossipPingRequest& message)
{
    auto request = builder.initPingRequest();
    request.setTarget(message.target.value);
    auto endpoint = request.initEndpoint();
    endpoint.setAddress(toBytes(message.targetEndpoint.address).reader());
    endpoint.setPort(message.targetEndpoint.port);
}

void writeKind(Schema::GossipMessage::Builder builder, const QuotaRequest& message)
{
    auto request = builder.initQuotaRequest();
    request.setOwner(message.owner.value);
    request.setKnownVms(message.knownVms);
    request.setLeasedUnits(message.leasedUnits);
    request.setLeasedUntilUs(message.leasedUntil.count());
    auto wants = request.initWants(static_cast<unsigned>(message.wants.size()));
    unsigned i = 0;
    for (auto& it : message.wants) {
        auto want = wants[i++];
        want.setAccount(it.account);
        want.setWaiting(it.waiting);
        want.setExpected(it.expected);
        want.setRefused(it.refused);
    }
}

void writeKind(Schema::GossipMessage::Builder builder, const QuotaReply& message)
{
    auto reply = builder.initQuotaReply();
    reply.setReceiver(message.receiver.value);
    reply.setClockUs(message.clock.count());
    auto issued = reply.initIssuedPermille(quotaSlotCount);
    for (unsigned slot = 0; slot < quotaSlotCount; ++slot)
        issued.set(slot, message.issuedPermille[slot]);
    auto shares = reply.initShares(static_cast<unsigned>(message.shares.size()));
    unsigned i = 0;
    for (auto& it : message.shares) {
        auto share = shares[i++];
        share.setAccount(it.account);
        share.setGranted(it.granted);
        share.setGrantedLifetimeMs(it.grantedLifetimeMs);
        share.setStocked(it.stocked);
        share.setStockedLifetimeMs(it.stockedLifetimeMs);
        share.setRetryAfterMs(it.retryAfterMs);
    }
}

QuotaRequest readQuotaRequest(Schema::GossipMessage::Reader message)
{
    auto reader = message.getQuotaRequest();
    QuotaRequest request { .sequence = static_cast<uint32_t>(message.getSequence()),
        .sender = NodeId { message.getSender() },
        .owner = NodeId { reader.getOwner() },
        .knownVms = reader.getKnownVms(),
        .leasedUnits = reader.getLeasedUnits(),
        .leasedUntil = Duration(reader.getLeasedUntilUs()) };
    require(reader.getWants().size() <= maximumQuotaItems, "too many wants");
    for (auto it : reader.getWants()) {
        request.wants.push_back({ .account = it.getAccount(),
            .waiting = it.getWaiting(),
            .expected = it.getExpected(),
            .refused = it.getRefused() });
    }
    return request;
}

QuotaReply readQuotaReply(Schema::GossipMessage::Reader message)
{
    auto reader = message.getQuotaReply();
    QuotaReply reply { .sequence = static_cast<uint32_t>(message.getSequence()),
        .sender = NodeId { message.getSender() },
        .receiver = NodeId { reader.getReceiver() },
        .clock = Duration(reader.getClockUs()) };
    auto issued = reader.getIssuedPermille();
    require(issued.size() == quotaSlotCount, "one issued share for each slot is expected");
    for (unsigned slot = 0; slot < quotaSlotCount; ++slot)
        reply.issuedPermille[slot] = issued[slot];
    require(reader.getShares().size() <= maximumQuotaItems, "too many shares");
    for (auto it : reader.getShares()) {
        reply.shares.push_back({ .account = it.getAccount(),
            .granted = it.getGranted(),
            .grantedLifetimeMs = it.getGrantedLifetimeMs(),
            .stocked = it.getStocked(),
            .stockedLifetimeMs = it.getStockedLifetimeMs(),
            .retryAfterMs = it.getRetryAfterMs() });
    }
    return reply;
}

Datagram readMessage(Schema::GossipMessage::Reader reader, Instant now)
{
    require(reader.getProtocolVersion() == gossipProtocolVersion, "unknown protocol version");
    uint64_t sequence = reader.getSequence();
    NodeId sender { reader.getSender() };
    require(!sender.isNull(), "message without a sender");
    if (reader.isQuotaRequest())
        return QuotaMessage(readQuotaRequest(reader));
    if (reader.isQuotaReply())
        return QuotaMessage(readQuotaReply(reader));
    GossipContent content = readContent(reader, now);
    switch (reader.which()) {
    case Schema::GossipMessage::PING:
        return GossipMessage(GossipPing { .sequence = sequence, .sender = sender, .content = std::move(content) });
    case Schema::GossipMessage::ACK:
        return GossipMessage(GossipAck { .sequence = sequence, .sender = sender, .content = std::move(content) });
    case Schema::GossipMessage::PING_REQUEST:
        break;
    default:
        throw Malformed("unknown kind of message");
    }
    auto request = reader.getPingRequest();
    NodeId target { request.getTarget() };
    auto endpoint = request.getEndpoint();
    require(!target.isNull(), "ping request without a target");
    return GossipMessage(GossipPingRequest {
        .sequence = sequence,
        .sender = sender,
        .target = target,
        .targetEndpoint = toEndpoint(endpoint.getAddress(), endpoint.getPort()),
        .content = std::move(content),
    });
}

Result<std::string, PeerError> pack(capnp::MallocMessageBuilder& builder)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    auto bytes = stream.getArray();
    if (bytes.size() > maximumGossipBytes)
        return PeerError::MessageTooLarge;
    return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

} // namespace

Result<std::string, PeerError> encodeGossip(const GossipMessage& message, Instant now, uint64_t system)
{
    return decode<std::string>([&]() -> Result<std::string, PeerError> {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<Schema::GossipMessage>();
        root.setProtocolVersion(gossipProtocolVersion);
        root.setSystem(system);
        auto writeAll = [&root, now](const auto& it) {
            root.setSequence(it.sequence);
            root.setSender(it.sender.value);
            writeContent(root, it.content, now);
            writeKind(root, it);
        };
        std::visit(writeAll, message);
        return pack(builder);
    });
}

Result<std::string, PeerError> encodeQuota(const QuotaMessage& message, uint64_t system)
{
    return decode<std::string>([&]() -> Result<std::string, PeerError> {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<Schema::GossipMessage>();
        root.setProtocolVersion(gossipProtocolVersion);
        root.setSystem(system);
        std::visit(
            [&root](const auto& it) {
                root.setSequence(it.sequence);
                root.setSender(it.sender.value);
                writeKind(root, it);
            },
            message);
        return pack(builder);
    });
}

Result<GossipMessage, PeerError> decodeGossip(std::string_view datagram, Instant now, uint64_t system)
{
    auto message = decodeDatagram(datagram, now, system);
    if (!message)
        return message.error();
    if (auto* gossip = std::get_if<GossipMessage>(&message.value()))
        return std::move(*gossip);
    return PeerError::Malformed;
}

Result<Datagram, PeerError> decodeDatagram(std::string_view datagram, Instant now, uint64_t system)
{
    if (datagram.size() > maximumGossipBytes)
        return PeerError::MessageTooLarge;
    return decode<Datagram>([&]() -> Result<Datagram, PeerError> {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maximumUnpackedWords;
        kj::ArrayInputStream stream(kj::arrayPtr(reinterpret_cast<const kj::byte*>(datagram.data()), datagram.size()));
        capnp::PackedMessageReader reader(stream, options);
        auto root = reader.getRoot<Schema::GossipMessage>();
        // Nodes of earlier versions name no system; they take part in a rolling upgrade.
        bool isForeign = system && root.getSystem() && root.getSystem() != system;
        if (isForeign)
            return PeerError::ForeignSystem;
        return readMessage(root, now);
    });
}

} // namespace Berylport
