// Measures memory, CPU time and message sizes of the decision modules at several sizes, as the basis of
// docs/CAPACITY.md. Time is virtual; CPU time is that of this process. Prints Markdown tables.
#include "Admission/Admission.h"
#include "Configuration/Configuration.h"
#include "Membership/GossipNetwork.h"
#include "Membership/Membership.h"
#include "Peer/GossipSocket.h"
#include "Peer/PeerCodec.h"
#include "Routing/Routing.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <malloc.h>
#include <new>

using namespace Berylport;

namespace {

// The allocator's own word before each block.
constexpr size_t blockHeader = 8;
size_t s_liveBytes = 0;

void* countedAllocation(size_t size)
{
    void* block = std::malloc(size);
    if (!block)
        throw std::bad_alloc();
    s_liveBytes += malloc_usable_size(block) + blockHeader;
    return block;
}

void countedRelease(void* block) noexcept
{
    if (!block)
        return;
    s_liveBytes -= malloc_usable_size(block) + blockHeader;
    std::free(block);
}

} // namespace

void* operator new(size_t size) { return countedAllocation(size); }
void operator delete(void* block) noexcept { countedRelease(block); }
void operator delete(void* block, size_t) noexcept { countedRelease(block); }

namespace {

constexpr size_t zones = 6;
constexpr size_t regions = 3;
constexpr size_t services = 330;
constexpr Duration probePeriod = std::chrono::milliseconds(500);

double cpuMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Mean CPU time of one call in microseconds.
template <typename Function> double timeEach(size_t repeats, Function&& function)
{
    double begin = cpuMicroseconds();
    for (size_t n = 0; n < repeats; ++n)
        function(n);
    return (cpuMicroseconds() - begin) / static_cast<double>(repeats);
}

double perItem(size_t bytes, size_t items) { return static_cast<double>(bytes) / static_cast<double>(items); }

// --- membership

std::string numbered(const char* prefix, size_t n) { return prefix + std::to_string(n); }

MemberRecord makeRecord(size_t n)
{
    Endpoint endpoint { .address
        = "10." + std::to_string(n % zones) + "." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1),
        .port = 7084 };
    // Spreads the numbers, as real ids are random 64-bit numbers.
    return { .node = NodeId { (n + 1) * 0x9E3779B97F4A7C15ull },
        .gossip = endpoint,
        .peer = endpoint,
        .zone = ZoneName(numbered("availability-", n % zones)),
        .region = RegionName(numbered("region-", n % regions)),
        .version = 1,
        .targets = { { .service = ServiceName(numbered("service-", n % services)),
            .state = TargetState::Ready,
            .stateVersion = 1 } },
        .configurationVersion = 123'456 };
}

// The index that makeRecord has put into the address.
size_t indexOf(const Endpoint& endpoint)
{
    unsigned high = 0;
    unsigned low = 0;
    (void)std::sscanf(endpoint.address.c_str(), "10.%*u.%u.%u", &high, &low);
    return high * 250 + low - 1;
}

GossipMessage makeAck(uint64_t sequence, const MemberRecord& sender, std::vector<MemberRecord> records)
{
    return GossipAck { .sequence = sequence, .sender = sender.node, .content = { .records = std::move(records) } };
}

// One node that knows `size` members, all of them alive.
class KnownFleet {
public:
    explicit KnownFleet(size_t size)
        : m_service({}, makeRecord(0), 1, m_now)
    {
        // While a node catches up it does not spread what it learns.
        MembershipActions actions;
        m_service.join({}, m_now, actions);
        for (size_t n = 1; n < size; ++n)
            m_records.push_back(makeRecord(n));
        size_t before = s_liveBytes;
        m_joinTime = timeEach(m_records.size(), [&](size_t n) { merge(m_records[n]); });
        m_bytes = s_liveBytes - before;
        m_now += std::chrono::seconds(31);
        m_service.tick(m_now, actions);
    }

    size_t bytes() const { return m_bytes; }
    // What the last publication held at once.
    size_t publishedBytes() const { return m_publishedBytes; }
    double joinTime() const { return m_joinTime; }
    // What this node, standing for any member of the fleet, sends in answer to a message.
    MembershipActions answer(const GossipMessage& message, const Endpoint& from)
    {
        MembershipActions actions;
        m_service.receive(message, from, m_now, actions);
        return actions;
    }

    // No datagram is lost: each probe is answered at once, without news.
    double probePeriodTime()
    {
        return timeEach(repeats, [&](size_t) {
            m_now += probePeriod;
            MembershipActions actions;
            m_service.tick(m_now, actions);
            answerProbes(actions);
        });
    }

    double pingTime(bool withDigest)
    {
        return timeEach(repeats, [&](size_t n) {
            const MemberRecord& sender = m_records[n % m_records.size()];
            GossipPing ping { .sequence = n, .sender = sender.node, .content = { .records = { sender } } };
            if (withDigest)
                ping.content.digest = m_service.table().digest();
            MembershipActions actions;
            m_service.receive(ping, sender.gossip, m_now, actions);
        });
    }

    // Another state of a target: the member stays in the same state.
    double updateTime()
    {
        return timeEach(repeats, [&](size_t n) {
            MemberRecord& record = m_records[n % m_records.size()];
            ++record.version;
            merge(record);
        });
    }

    // Suspected and alive in turn.
    double stateChangeTime()
    {
        return timeEach(repeats, [&](size_t n) {
            MemberRecord& record = m_records[n / 2 % m_records.size()];
            record.version += n % 2 ? 1 : 0;
            record.state = n % 2 ? MemberState::Alive : MemberState::Suspect;
            merge(record);
        });
    }

    double presentNodesTime() const
    {
        size_t sum = 0;
        double time = timeEach(repeats, [&](size_t) { sum += m_service.table().presentNodes().size(); });
        return sum ? time : 0;
    }

    // The steps of MembershipTask::publishMembers, except for posting the results.
    double publishTime()
    {
        size_t before = s_liveBytes;
        return timeEach(200, [&](size_t) {
            std::vector<MemberRecord> members { m_service.table().self() };
            std::unordered_map<NodeId, Endpoint> book;
            for (auto& [node, member] : m_service.table().others()) {
                book[node] = member.record.peer;
                members.push_back(member.record);
            }
            std::ranges::sort(members, {}, &MemberRecord::node);
            auto targets = m_service.targets();
            auto copyForEntry = targets;
            auto present = m_service.presentInZone(makeRecord(0).zone);
            m_publishedBytes = s_liveBytes - before;
        });
    }

private:
    static constexpr size_t repeats = 1000;

    void merge(const MemberRecord& record)
    {
        MembershipActions actions;
        m_service.receive(makeAck(0, m_records.front(), { record }), record.gossip, m_now, actions);
    }

    void answerProbes(const MembershipActions& sent)
    {
        for (auto& it : sent) {
            const auto* send = std::get_if<SendGossip>(&it);
            const auto* ping = send ? std::get_if<GossipPing>(&send->message) : nullptr;
            if (!ping)
                continue;
            MemberRecord peer = makeRecord(indexOf(send->to));
            MembershipActions actions;
            m_service.receive(makeAck(ping->sequence, peer, {}), send->to, m_now, actions);
        }
    }

    Instant m_now { instantFromMicroseconds(0) };
    MembershipService m_service;
    std::vector<MemberRecord> m_records;
    size_t m_bytes { 0 };
    size_t m_publishedBytes { 0 };
    double m_joinTime { 0 };
};

void printMembership()
{
    std::puts("## Membership of one node\n");
    std::puts("| members | bytes a member | probe period, us | ping, us | ping with digest, us | record update, us | "
              "state change, us | join, us | presentNodes, us | publish, us | publish, bytes a member |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|");
    for (size_t size : { 100, 400, 1000, 3900 }) {
        KnownFleet fleet(size);
        std::printf("| %zu | %.0f | %.1f ", size, perItem(fleet.bytes(), size), fleet.probePeriodTime());
        std::printf("| %.1f | %.1f ", fleet.pingTime(false), fleet.pingTime(true));
        std::printf("| %.1f | %.1f | %.1f ", fleet.updateTime(), fleet.stateChangeTime(), fleet.joinTime());
        std::printf("| %.1f | %.0f ", fleet.presentNodesTime(), fleet.publishTime());
        std::printf("| %.0f |\n", perItem(fleet.publishedBytes(), size));
    }
}

GossipMessage makePing(size_t records, bool withDigest)
{
    GossipPing ping { .sequence = 123'456, .sender = makeRecord(0).node };
    for (size_t n = 0; n < records; ++n)
        ping.content.records.push_back(makeRecord(n));
    if (withDigest) {
        Random random(1);
        ping.content.digest.emplace();
        for (auto& it : *ping.content.digest)
            it = static_cast<uint32_t>(random.next());
    }
    ping.content.coordinator = { .zone = makeRecord(0).zone, .fencingToken = 99, .node = makeRecord(0).node };
    return ping;
}

size_t datagramSize(size_t records, bool withDigest)
{
    auto encoded = encodeGossip(makePing(records, withDigest), steadyNow());
    return encoded ? encoded.value().size() : 0;
}

void measureDatagram(size_t records)
{
    GossipMessage message = makePing(records, false);
    std::string encoded = encodeGossip(message, steadyNow()).value();
    bool isValid = true;
    double encodeTime = timeEach(5000, [&](size_t) { isValid &= encodeGossip(message, steadyNow()).has_value(); });
    double decodeTime = timeEach(5000, [&](size_t) { isValid &= decodeGossip(encoded, steadyNow()).has_value(); });
    std::printf("| %zu | %zu | %zu | %.1f | %.1f |\n", records, encoded.size(), datagramSize(records, true),
        isValid ? encodeTime : 0, isValid ? decodeTime : 0);
}

void printDatagrams()
{
    std::puts("\n## Gossip datagrams, bytes without 28 bytes of IP and UDP headers\n");
    std::puts("| records | without digest | with digest | encode, us | decode, us |\n|---|---|---|---|---|");
    for (size_t records : { 0, 1, 5, 8 })
        measureDatagram(records);
}

// A new node joins a fleet. All its datagrams are answered by one node that knows every member, 5 ms later.
class JoiningNode {
public:
    explicit JoiningNode(size_t fleetSize)
        : m_fleetSize(fleetSize)
        , m_fleet(fleetSize)
        , m_record(makeRecord(fleetSize))
        , m_service({}, m_record, 1, m_now)
    {
        MembershipActions actions;
        m_service.join(std::vector { makeRecord(0).gossip }, m_now, actions);
        send(actions);
    }

    void run()
    {
        while (m_service.table().others().size() < m_fleetSize && m_now < limit) {
            m_now += std::chrono::milliseconds(5);
            perform([&](MembershipActions& actions) { m_service.tick(m_now, actions); });
            for (auto& it : std::exchange(m_incoming, {}))
                perform([&](MembershipActions& actions) { m_service.receive(it.second, it.first, m_now, actions); });
        }
    }

    void print() const
    {
        double seconds = static_cast<double>(toMicroseconds(m_now)) / 1e6;
        std::printf("| %zu | %zu | %.1f ", m_fleetSize, m_service.table().others().size(), seconds);
        std::printf("| %.0f | %.0f ", static_cast<double>(m_bytesSent) / seconds,
            static_cast<double>(m_bytesReceived) / seconds);
        std::printf("| %.0f | %zu |\n", m_cpu / 1e3, m_publications);
    }

private:
    static constexpr size_t datagramHeaders = 28;
    static constexpr Instant limit = instantFromMicroseconds(60'000'000);

    static size_t wireSize(const GossipMessage& message)
    {
        auto encoded = encodeGossip(message, steadyNow());
        return encoded ? encoded.value().size() + datagramHeaders : 0;
    }

    template <typename Input> void perform(Input&& input)
    {
        MembershipActions actions;
        m_cpu += timeEach(1, [&](size_t) { input(actions); });
        m_publications
            += std::ranges::any_of(actions, [](auto& it) { return std::holds_alternative<MembersChanged>(it); });
        send(actions);
    }

    void send(const MembershipActions& actions)
    {
        for (auto& it : actions) {
            if (auto* gossip = std::get_if<SendGossip>(&it))
                deliver(*gossip);
        }
    }

    void deliver(const SendGossip& sent)
    {
        m_bytesSent += wireSize(sent.message);
        for (auto& it : m_fleet.answer(sent.message, m_record.gossip)) {
            auto* answer = std::get_if<SendGossip>(&it);
            if (!answer)
                continue;
            m_bytesReceived += wireSize(answer->message);
            // The failure detector expects the answer of the member that it has asked.
            if (auto* ack = std::get_if<GossipAck>(&answer->message))
                ack->sender = makeRecord(indexOf(sent.to)).node;
            m_incoming.emplace_back(sent.to, std::move(answer->message));
        }
    }

    Instant m_now { instantFromMicroseconds(0) };
    size_t m_fleetSize;
    KnownFleet m_fleet;
    MemberRecord m_record;
    MembershipService m_service;
    std::vector<std::pair<Endpoint, GossipMessage>> m_incoming;
    size_t m_bytesSent { 0 };
    size_t m_bytesReceived { 0 };
    size_t m_publications { 0 };
    // Of the new node alone, in microseconds.
    double m_cpu { 0 };
};

void printJoin()
{
    std::puts("\n## A new node until it knows all members (at most 60 s); CPU without publications and codec\n");
    std::puts("| members | known | seconds | bytes/s sent | bytes/s received | CPU, ms | publications |");
    std::puts("|---|---|---|---|---|---|---|");
    for (size_t size : { 100, 400, 1000, 3900 }) {
        JoiningNode node(size);
        node.run();
        node.print();
    }
}

// Bytes that each living node has sent on average since the last call.
double takeBytesSent(GossipNetwork& network, size_t firstAlive)
{
    uint64_t sum = 0;
    for (size_t n = firstAlive; n < network.size(); ++n)
        sum += std::exchange(network.node(n).bytesSent, 0);
    return static_cast<double>(sum) / static_cast<double>(network.size() - firstAlive);
}

// The nodes of the first zone are killed at once. Sizes are the upper estimates of GossipNetwork.
void measureZoneLoss(size_t size)
{
    GossipNetwork network(1);
    size_t perZone = size / zones;
    for (size_t n = 0; n < size; ++n)
        network.addNode(numbered("zone-", n / perZone), numbered("region-", n / perZone / 2));
    network.run(std::chrono::seconds(90));
    takeBytesSent(network, perZone);
    network.run(std::chrono::seconds(10));
    double atRest = takeBytesSent(network, perZone) / 10;
    for (size_t n = 0; n < perZone; ++n)
        network.kill(n);
    double highest = 0;
    int seconds = 0;
    while (network.countState(size - 1, MemberState::Dead) < perZone && seconds < 120) {
        network.run(std::chrono::seconds(1));
        highest = std::max(highest, takeBytesSent(network, perZone));
        ++seconds;
    }
    std::printf("| %zu | %zu | %.0f | %.0f | %d |\n", size, perZone, atRest, highest, seconds);
}

void printZoneLoss()
{
    std::puts("\n## Loss of one of six zones, simulated fleet, bytes sent by a node\n");
    std::puts("| nodes | lost | bytes/s at rest | highest bytes/s | seconds until one observer holds all as dead |");
    std::puts("|---|---|---|---|---|");
    for (size_t size : { 30, 60, 120 })
        measureZoneLoss(size);
}

// --- configuration

ServiceDefinition makeDefinition(size_t n, uint64_t version)
{
    return { .name = ServiceName(numbered("service-", n)), .version = version };
}

ConfigurationDelta makeWhole(size_t count)
{
    ConfigurationDelta delta { .version = count };
    for (size_t n = 0; n < count; ++n)
        delta.changed.push_back(makeDefinition(n, n + 1));
    return delta;
}

ConfigurationDelta makeChange(uint64_t version)
{
    return { .baseVersion = version - 1, .version = version, .changed = { makeDefinition(0, version) } };
}

size_t encodedSize(const ConfigurationDelta& delta)
{
    capnp::MallocMessageBuilder builder;
    write(builder.initRoot<Schema::Configuration>(), ConfigurationOffer { .delta = delta });
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

void measureConfiguration(size_t count)
{
    ConfigurationDelta whole = makeWhole(count);
    size_t before = s_liveBytes;
    ConfigurationStore store;
    store.apply(whole);
    size_t bytes = s_liveBytes - before;
    double wholeTime = timeEach(200, [&](size_t) { ConfigurationStore().apply(whole); });
    double changeTime = timeEach(1000, [&](size_t n) { store.apply(makeChange(count + n + 1)); });
    std::printf("| %zu | %zu | %.1f | %.1f | %zu | %zu |\n", count, bytes, wholeTime, changeTime,
        encodedSize(makeChange(count + 1)), encodedSize(whole));
}

void printConfiguration()
{
    std::puts("\n## Configuration of one node\n");
    std::puts("| services | bytes | apply whole, us | apply one change, us | change, bytes on a link | whole, bytes |");
    std::puts("|---|---|---|---|---|---|");
    for (size_t count : { 33, 100, 330 })
        measureConfiguration(count);
}

// --- routing

std::vector<TargetRecord> makeTargets(size_t count)
{
    std::vector<TargetRecord> targets;
    for (size_t n = 0; n < count; ++n) {
        MemberRecord record = makeRecord(n);
        targets.push_back({ .id = { .node = record.node, .service = ServiceName("service-one") },
            .zone = record.zone,
            .region = record.region,
            .state = TargetState::Ready });
    }
    return targets;
}

void printRouting()
{
    std::puts("\n## One TargetSelector\n");
    std::puts("| targets | bytes a target | updateTargets, us |\n|---|---|---|");
    for (size_t count : { 10, 100, 400 }) {
        auto targets = makeTargets(count);
        size_t before = s_liveBytes;
        TargetSelector selector { RoutingOptions {} };
        selector.updateTargets(targets, instantFromMicroseconds(0));
        size_t bytes = s_liveBytes - before;
        double time = timeEach(200, [&](size_t n) {
            targets[0].state = n % 2 ? TargetState::Ready : TargetState::Draining;
            selector.updateTargets(targets, instantFromMicroseconds(0));
        });
        std::printf("| %zu | %.0f | %.1f |\n", count, perItem(bytes, count), time);
    }
}

// --- admission

void runCall(AdmissionController& controller, Instant now, uint64_t sequence, size_t bodyBytes)
{
    AdmissionActions actions;
    AttemptId id { .call = { .origin = NodeId { 2 }, .sequence = sequence } };
    CallRequest request { .id = id,
        .receiver = NodeId { 1 },
        .service = ServiceName("bookings"),
        .tenant = TenantName("tenant"),
        .deadline = now + std::chrono::seconds(2) };
    controller.offer(now, LinkId {}, std::move(request), actions);
    HttpResponse answer { .status = 200, .reason = {}, .headers = {}, .body = std::string(bodyBytes, 'x') };
    controller.targetAnswered(now, id, std::move(answer), actions);
}

void measureLedger(size_t bodyBytes)
{
    constexpr size_t callsPerSecond = 141;
    constexpr size_t seconds = 60;
    AdmissionController controller({ .self = NodeId { 1 }, .service = ServiceName("bookings") });
    AdmissionActions actions;
    controller.setDefinition({ .name = ServiceName("bookings") });
    controller.setTargetState(instantFromMicroseconds(0), TargetState::Ready, actions);
    size_t before = s_liveBytes;
    for (size_t n = 0; n < callsPerSecond * seconds; ++n)
        runCall(controller, instantFromMicroseconds(static_cast<int64_t>(n * 1'000'000 / callsPerSecond)), n + 1,
            bodyBytes);
    size_t bytes = s_liveBytes - before;
    size_t entries = controller.ledger().size();
    std::printf("| %zu | %zu | %.0f | %zu |\n", bodyBytes, entries, perItem(bytes, entries), bytes);
}

void printLedger()
{
    std::puts("\n## Call ledger after 60 s of 141 calls/s, deadline 2 s\n");
    std::puts("| body bytes | entries | bytes an entry | bytes |\n|---|---|---|---|");
    for (size_t body : { 0, 2048 })
        measureLedger(body);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc > 1) {
        bool isHelp = !std::strcmp(argv[1], "--help");
        std::fputs("usage: capacity-benchmark\nMeasures the decision modules and prints Markdown tables.\n",
            isHelp ? stdout : stderr);
        return isHelp ? 0 : 2;
    }
    printMembership();
    printDatagrams();
    printJoin();
    printConfiguration();
    printRouting();
    printLedger();
    printZoneLoss();
    return 0;
}
