// Guards the codecs of Peer.capnp against values that a peer must not send.
#include "Peer/PeerCodec.h"
#include "Peer/InactivityMonitor.h"
#include "Peer/PeerTestSupport.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

using namespace Berylport;
using namespace std::chrono_literals;

namespace {

// Encodes a valid request, lets the test change it, and reads it back.
Result<CallRequest, PeerError> readChanged(const std::function<void(Schema::CallRequest::Builder)>& change)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<Schema::CallRequest>();
    write(builder, createCall(NodeId { 0xa }, 1, NodeId { 0xb }));
    change(builder);
    return readCallRequest(builder.asReader());
}

Result<CallReply, PeerError> readChangedReply(const std::function<void(Schema::CallReply::Builder)>& change)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<Schema::CallReply>();
    write(builder, CallReply(createAnswer(createCall(NodeId { 0xa }, 1, NodeId { 0xb }), "x")));
    change(builder);
    return readCallReply(builder.asReader());
}

} // namespace

TEST(PeerCodec, RequestFieldsOutOfRangeAreMalformed)
{
    using Builder = Schema::CallRequest::Builder;
    EXPECT_TRUE(readChanged([](Builder) {}).has_value());
    EXPECT_TRUE(readChanged([](Builder it) { it.setTenant(""); }).has_value());
    std::vector<std::function<void(Builder)>> changes {
        [](Builder it) { it.setKind(static_cast<Schema::RequestKind>(3)); },
        [](Builder it) { it.setPriority(static_cast<Schema::Priority>(3)); },
        [](Builder it) { it.setService(""); },
        [](Builder it) { it.setService("Not Valid"); },
        [](Builder it) { it.setService(std::string(64, 'a').c_str()); },
        [](Builder it) { it.setTenant("Not Valid"); },
        [](Builder it) { it.setDeadline(-1); },
        [](Builder it) { it.setDeadline(INT64_MAX); },
        [](Builder it) { it.setRetryTokens(9); },
        [](Builder it) { it.setMeanLoad(-1); },
        [](Builder it) { it.setMeanLoad(std::numeric_limits<float>::quiet_NaN()); },
        [](Builder it) { it.setDepth(33); },
        [](Builder it) { it.getId().setOrigin(0); },
        [](Builder it) { it.getHttp().setMethod(""); },
        [](Builder it) { it.getHttp().setMethod("GET\r\n"); },
        [](Builder it) { it.getHttp().setTarget(""); },
        [](Builder it) { it.getHttp().setTarget(std::string(16 * 1024 + 1, 'a').c_str()); },
        [](Builder it) { it.getHttp().getHeaders()[0].setName(""); },
        [](Builder it) { it.getHttp().getHeaders()[0].setValue("a\nb"); },
        [](Builder it) { it.getHttp().getHeaders()[0].setValue(std::string(32 * 1024, 'a').c_str()); },
        [](Builder it) { it.getHttp().initHeaders(513); },
        [](Builder it) { it.getHttp().initBody(4 * 1024 * 1024 + 1); },
    };
    for (size_t i = 0; i < changes.size(); ++i)
        EXPECT_FALSE(readChanged(changes[i]).has_value()) << "change " << i;
}

TEST(PeerCodec, ReplyFieldsOutOfRangeAreMalformed)
{
    using Builder = Schema::CallReply::Builder;
    EXPECT_TRUE(readChangedReply([](Builder) {}).has_value());
    std::vector<std::function<void(Builder)>> changes {
        [](Builder it) { it.setPending(); },
        [](Builder it) { it.initRefused().setReason(static_cast<Schema::RefusalReason>(20)); },
        [](Builder it) { it.initRefused().setRetryAfterMicroseconds(UINT64_MAX); },
        [](Builder it) { it.initLost().setReason(static_cast<Schema::LossReason>(8)); },
        [](Builder it) { it.getAnswered().getHttp().setStatus(99); },
        [](Builder it) { it.getAnswered().getHttp().setReason("a\r\nb"); },
        [](Builder it) { it.getAnswered().getHttp().getHeaders()[0].setName("a\nb"); },
        [](Builder it) { it.getAnswered().getHttp().initBody(4 * 1024 * 1024 + 1); },
    };
    for (size_t i = 0; i < changes.size(); ++i)
        EXPECT_FALSE(readChangedReply(changes[i]).has_value()) << "change " << i;
}

// Every enum value must keep its meaning over the wire.
TEST(PeerCodec, EveryReasonReadsBack)
{
    AttemptId id { .call = { .origin = NodeId { 1 }, .sequence = 2 }, .attempt = 3 };
    auto readBack = [](const CallReply& reply) {
        capnp::MallocMessageBuilder message;
        auto builder = message.initRoot<Schema::CallReply>();
        write(builder, reply);
        return readCallReply(builder.asReader()).value();
    };
    for (int i = 0; i <= static_cast<int>(RefusalReason::EndsTargets); ++i) {
        auto reason = static_cast<RefusalReason>(i);
        CallReply reply = readBack(CallRefused { .id = id, .reason = reason, .retryAfter = {}, .load = {} });
        EXPECT_EQ(std::get<CallRefused>(reply).reason, reason);
        EXPECT_EQ(std::get<CallRefused>(reply).id, id);
    }
    for (int i = 0; i <= static_cast<int>(LossReason::AnswerDropped); ++i) {
        auto reason = static_cast<LossReason>(i);
        CallReply reply = readBack(CallLost { .id = id, .reason = reason, .load = {}, .targetEnd = UINT64_MAX });
        EXPECT_EQ(std::get<CallLost>(reply).reason, reason);
        EXPECT_EQ(std::get<CallLost>(reply).targetEnd, UINT64_MAX);
    }
}

TEST(PeerCodec, TheWaitForARequestLimitReadsBack)
{
    AttemptId id { .call = { .origin = NodeId { 1 }, .sequence = 2 }, .attempt = 3 };
    auto readBack = [&](Duration wait, Duration interval) {
        capnp::MallocMessageBuilder message;
        auto builder = message.initRoot<Schema::CallReply>();
        CallReply reply = CallRefused { .id = id, .load = { .startWait = wait, .startInterval = interval } };
        write(builder, reply);
        return std::get<CallRefused>(readCallReply(builder.asReader()).value()).load;
    };
    EXPECT_EQ(readBack(300ms, 150ms).startWait, 300ms);
    EXPECT_EQ(readBack(300ms, 150ms).startInterval, 150ms);
    EXPECT_EQ(readBack(1h, 1h).startWait, 1h);
}

TEST(PeerCodec, InvalidServiceDefinitionIsMalformed)
{
    auto isReadable = [](const ServiceDefinition& definition) {
        capnp::MallocMessageBuilder message;
        auto builder = message.initRoot<Schema::Configuration>();
        write(builder, ConfigurationOffer { .delta = { .version = 1, .changed = { definition } } });
        return readConfiguration(builder.asReader()).has_value();
    };
    EXPECT_TRUE(isReadable({ .name = ServiceName("bookings") }));
    EXPECT_FALSE(isReadable({ .name = ServiceName("bookings"), .kind = RequestKind::AtMostOnce, .isHedged = true }));
    EXPECT_FALSE(isReadable({ .name = ServiceName("bookings"), .callerWait = 6min }));
    EXPECT_FALSE(isReadable({ .name = ServiceName("") }));
}

// Fails when a damaged message crashes the reader instead of being malformed.
RC_GTEST_PROP(PeerCodec, DamagedRequestsNeverCrash, ())
{
    capnp::MallocMessageBuilder message;
    write(message.initRoot<Schema::CallRequest>(), createCall(NodeId { 0xa }, 1, NodeId { 0xb }));
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    using Damage = std::vector<std::pair<size_t, uint8_t>>;
    auto damage = *rc::gen::container<Damage>(
        rc::gen::pair(rc::gen::inRange<size_t>(0, bytes.size()), rc::gen::arbitrary<uint8_t>()));
    for (auto [position, value] : damage)
        bytes[position] = value;
    try {
        capnp::FlatArrayMessageReader reader(words);
        (void)readCallRequest(reader.getRoot<Schema::CallRequest>());
    } catch (const kj::Exception&) {
        // The frame itself is damaged; the RPC system handles this case.
    }
}

// Fails when a pause of the own process counts as silence of the peer.
TEST(InactivityMonitor, OwnPauseDoesNotCount)
{
    Instant now(1s);
    InactivityMonitor watch(500ms, now);
    now += 1h;
    EXPECT_LE(watch.update(now), 1s);
    for (int i = 0; i < 4; ++i)
        EXPECT_LT(watch.update(now += 500ms), 3s + 1us);
    watch.recordActivity();
    EXPECT_EQ(watch.update(now += 500ms), 500ms);
}

TEST(InactivityMonitor, RegularTicksAddUp)
{
    Instant now(1s);
    InactivityMonitor watch(500ms, now);
    for (int i = 0; i < 5; ++i)
        EXPECT_LT(watch.update(now += 500ms), 3s);
    EXPECT_EQ(watch.update(now += 500ms), 3s);
}
