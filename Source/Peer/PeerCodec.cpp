// Encoding and decoding of Peer.capnp messages.
#include "Peer/PeerCodec.h"

#include "Peer/CodecSupport.h"

#include <algorithm>
#include <limits>

namespace Berylport {

using namespace Codec;

namespace {

// Limits of the HTTP side (design, section 4.1), with headroom for headers that Berylport adds.
constexpr size_t maximumRequestBodyBytes = 4 * 1024 * 1024;
constexpr size_t maximumResponseBodyBytes = 4 * 1024 * 1024;
constexpr size_t maximumHeaderBytes = 32 * 1024;
constexpr size_t maximumHeaders = 512;
constexpr size_t maximumMethodLength = 32;
constexpr size_t maximumTargetLength = 16 * 1024;
constexpr size_t maximumReasonLength = 1024;
constexpr size_t maximumRequestIdLength = 256;
constexpr size_t maximumRouteLength = 256;
constexpr size_t maximumDocumentBytes = 1024 * 1024;
constexpr uint32_t maximumDepth = 32;
constexpr uint32_t maximumRetryTokens = 8;
constexpr size_t maximumServices = 4096;
constexpr Duration maximumRetryAfter = std::chrono::hours(1);
// The difference of two clock values up to this limit cannot overflow.
constexpr int64_t maximumClock = int64_t(1) << 61;
// Allowance for the structs and pointers of one message and of one list element.
constexpr size_t messageOverhead = 1024;
constexpr size_t elementOverhead = 64;

static_assert(static_cast<int>(Schema::RequestKind::PATIENT) == static_cast<int>(RequestKind::Patient));
static_assert(static_cast<int>(Schema::Priority::BULK) == static_cast<int>(Priority::Bulk));
static_assert(static_cast<int>(Schema::RefusalReason::ENDS_TARGETS) == static_cast<int>(RefusalReason::EndsTargets));
static_assert(
    static_cast<int>(Schema::RefusalReason::ZONE_EVACUATED) == static_cast<int>(RefusalReason::ZoneEvacuated));
static_assert(static_cast<int>(Schema::RefusalReason::DRAINING) == static_cast<int>(RefusalReason::Draining));
static_assert(static_cast<int>(Schema::LossReason::ANSWER_DROPPED) == static_cast<int>(LossReason::AnswerDropped));

bool isSafeFieldText(const std::string& text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

template <typename Headers> void writeHeaders(Headers builders, const std::vector<HttpHeader>& headers)
{
    unsigned i = 0;
    for (const auto& it : headers) {
        auto builder = builders[i++];
        builder.setName(textOf(it.name));
        builder.setValue(textOf(it.value));
    }
}

// Rejects line breaks, so that a peer cannot inject header lines (HTTP header injection).
std::vector<HttpHeader> readHeaders(capnp::List<Schema::HttpHeader>::Reader readers)
{
    require(readers.size() <= maximumHeaders, "too many headers");
    std::vector<HttpHeader> headers;
    size_t left = maximumHeaderBytes;
    for (auto it : readers) {
        HttpHeader header;
        header.name = readText(it.getName(), left);
        left -= header.name.size();
        header.value = readText(it.getValue(), left);
        left -= header.value.size();
        require(
            !header.name.empty() && isSafeFieldText(header.name) && isSafeFieldText(header.value), "invalid header");
        headers.push_back(std::move(header));
    }
    return headers;
}

size_t estimateHeadersSize(const std::vector<HttpHeader>& headers)
{
    size_t size = 0;
    for (const auto& it : headers)
        size += it.name.size() + it.value.size() + elementOverhead;
    return size;
}

size_t estimateAnswerSize(const CallAnswered& reply)
{
    const HttpResponse& http = reply.http;
    return messageOverhead + http.reason.size() + estimateHeadersSize(http.headers) + http.body.size();
}

AttemptId decodeAttemptId(Schema::AttemptId::Reader reader)
{
    AttemptId id;
    id.call.origin = NodeId { reader.getOrigin() };
    id.call.sequence = reader.getSequence();
    id.attempt = reader.getAttempt();
    require(!id.call.origin.isNull(), "attempt without origin");
    return id;
}

Instant decodeClock(int64_t n)
{
    require(n >= 0 && n <= maximumClock, "clock out of range");
    return instantFromMicroseconds(n);
}

void writeLoad(Schema::LoadReport::Builder builder, const LoadReport& load)
{
    constexpr int64_t maximum = std::numeric_limits<uint32_t>::max();
    builder.setSlots(load.slots);
    builder.setRunning(load.running);
    builder.setQueued(load.queued);
    builder.setIsWarmingUp(load.isWarmingUp);
    builder.setServiceTimeMicroseconds(
        static_cast<uint32_t>(std::clamp<int64_t>(load.serviceTime.count(), 0, maximum)));
    builder.setSlownessPercent(load.slownessPercent);
    builder.setStartWaitMicroseconds(static_cast<uint32_t>(std::clamp<int64_t>(load.startWait.count(), 0, maximum)));
    builder.setStartIntervalMicroseconds(
        static_cast<uint32_t>(std::clamp<int64_t>(load.startInterval.count(), 0, maximum)));
}

LoadReport readLoad(Schema::LoadReport::Reader reader)
{
    return {
        .slots = reader.getSlots(),
        .running = reader.getRunning(),
        .queued = reader.getQueued(),
        .serviceTime = Duration(reader.getServiceTimeMicroseconds()),
        .slownessPercent = reader.getSlownessPercent(),
        .isWarmingUp = reader.getIsWarmingUp(),
        .startWait = Duration(reader.getStartWaitMicroseconds()),
        .startInterval = Duration(reader.getStartIntervalMicroseconds()),
    };
}

void writeReply(Schema::CallReply::Builder builder, const CallAnswered& reply)
{
    write(builder.initId(), reply.id);
    auto answered = builder.initAnswered();
    auto http = answered.initHttp();
    http.setStatus(reply.http.status);
    http.setReason(textOf(reply.http.reason));
    writeHeaders(http.initHeaders(static_cast<unsigned>(reply.http.headers.size())), reply.http.headers);
    http.setBody(bytesOf(reply.http.body));
    writeLoad(answered.initLoad(), reply.load);
    answered.setRetryTokensUsed(reply.retryTokensUsed);
}

void writeReply(Schema::CallReply::Builder builder, const CallRefused& reply)
{
    write(builder.initId(), reply.id);
    auto refused = builder.initRefused();
    refused.setReason(static_cast<Schema::RefusalReason>(reply.reason));
    int64_t retryAfter = std::clamp(reply.retryAfter, Duration::zero(), maximumRetryAfter).count();
    refused.setRetryAfterMicroseconds(static_cast<uint64_t>(retryAfter));
    writeLoad(refused.initLoad(), reply.load);
}

void writeReply(Schema::CallReply::Builder builder, const CallLost& reply)
{
    write(builder.initId(), reply.id);
    auto lost = builder.initLost();
    lost.setReason(static_cast<Schema::LossReason>(reply.reason));
    writeLoad(lost.initLoad(), reply.load);
    lost.setTargetEnd(reply.targetEnd);
}

void writeReply(Schema::CallReply::Builder builder, const CallPending& reply)
{
    write(builder.initId(), reply.id);
    builder.setPending();
}

CallAnswered readAnswered(const AttemptId& id, Schema::CallAnswered::Reader reader)
{
    CallAnswered reply;
    reply.id = id;
    auto http = reader.getHttp();
    reply.http.status = http.getStatus();
    require(reply.http.status >= 100 && reply.http.status <= 999, "invalid status");
    reply.http.reason = readText(http.getReason(), maximumReasonLength);
    require(isSafeFieldText(reply.http.reason), "invalid reason");
    reply.http.headers = readHeaders(http.getHeaders());
    reply.http.body = readBytes(http.getBody(), maximumResponseBodyBytes);
    reply.load = readLoad(reader.getLoad());
    reply.retryTokensUsed = reader.getRetryTokensUsed();
    return reply;
}

CallRefused readRefused(const AttemptId& id, Schema::CallRefused::Reader reader)
{
    CallRefused reply;
    reply.id = id;
    reply.reason = readEnum(reader.getReason(), RefusalReason::ZoneEvacuated);
    uint64_t retryAfter = reader.getRetryAfterMicroseconds();
    require(retryAfter <= static_cast<uint64_t>(maximumRetryAfter.count()), "retry-after out of range");
    reply.retryAfter = Duration(static_cast<int64_t>(retryAfter));
    reply.load = readLoad(reader.getLoad());
    return reply;
}

CallLost readLost(const AttemptId& id, Schema::CallLost::Reader reader)
{
    CallLost reply;
    reply.id = id;
    reply.reason = readEnum(reader.getReason(), LossReason::AnswerDropped);
    reply.load = readLoad(reader.getLoad());
    reply.targetEnd = reader.getTargetEnd();
    return reply;
}

QueryReply decodeQueryReply(Schema::CallReply::Reader reader)
{
    AttemptId id = decodeAttemptId(reader.getId());
    switch (reader.which()) {
    case Schema::CallReply::ANSWERED:
        return readAnswered(id, reader.getAnswered());
    case Schema::CallReply::REFUSED:
        return readRefused(id, reader.getRefused());
    case Schema::CallReply::LOST:
        return readLost(id, reader.getLost());
    case Schema::CallReply::PENDING:
        return CallPending { .id = id };
    }
    throw Malformed("unknown kind of reply");
}

HttpRequest readHttpRequest(Schema::HttpRequest::Reader reader)
{
    HttpRequest http;
    http.method = readText(reader.getMethod(), maximumMethodLength);
    http.target = readText(reader.getTarget(), maximumTargetLength);
    require(!http.method.empty() && isSafeFieldText(http.method), "invalid method");
    require(!http.target.empty() && isSafeFieldText(http.target), "invalid target");
    http.headers = readHeaders(reader.getHeaders());
    http.body = readBytes(reader.getBody(), maximumRequestBodyBytes);
    return http;
}

TenantName readTenant(capnp::Text::Reader text)
{
    // The tenant is optional.
    return text.size() ? readName<struct TenantNameTag>(text) : TenantName();
}

ServiceDefinition decodeServiceDefinition(Schema::ServiceDefinition::Reader reader)
{
    ServiceDefinition result;
    result.name = readName<struct ServiceNameTag>(reader.getName());
    result.kind = readEnum(reader.getKind(), RequestKind::Patient);
    result.priority = readEnum(reader.getPriority(), Priority::Bulk);
    uint64_t wait = reader.getCallerWaitMicroseconds();
    require(wait <= static_cast<uint64_t>(maximumClock), "caller wait out of range");
    result.callerWait = Duration(static_cast<int64_t>(wait));
    result.retryTokens = reader.getRetryTokens();
    result.isHedged = reader.getIsHedged();
    result.deduplicates = reader.getDeduplicates();
    result.queueLimit = reader.getQueueLimit();
    result.version = reader.getVersion();
    require(!validate(result), "invalid definition");
    return result;
}

} // namespace

void write(Schema::AttemptId::Builder builder, const AttemptId& id)
{
    builder.setOrigin(id.call.origin.value);
    builder.setSequence(id.call.sequence);
    builder.setAttempt(id.attempt);
}

void write(Schema::CallRequest::Builder builder, const CallRequest& request)
{
    write(builder.initId(), request.id);
    builder.setReceiver(request.receiver.value);
    builder.setService(textOf(request.service.text));
    builder.setTenant(textOf(request.tenant.text));
    builder.setKind(static_cast<Schema::RequestKind>(request.kind));
    builder.setPriority(static_cast<Schema::Priority>(request.priority));
    builder.setDeadline(toMicroseconds(request.deadline));
    builder.setObjective(toMicroseconds(request.objective));
    builder.setRequestId(textOf(request.requestId));
    builder.setRoute(textOf(request.route));
    builder.setMayHandOn(request.mayHandOn);
    builder.setIsSuspect(request.isSuspect);
    builder.setMeanLoad(static_cast<float>(request.meanLoad));
    builder.setRetryTokens(request.retryTokens);
    builder.setDepth(request.depth);
    auto http = builder.initHttp();
    http.setMethod(textOf(request.http.method));
    http.setTarget(textOf(request.http.target));
    writeHeaders(http.initHeaders(static_cast<unsigned>(request.http.headers.size())), request.http.headers);
    http.setBody(bytesOf(request.http.body));
}

void write(Schema::CallQuery::Builder builder, const CallQuery& query)
{
    write(builder.initId(), query.id);
    builder.setReceiver(query.receiver.value);
    builder.setDeadline(toMicroseconds(query.deadline));
    builder.setService(textOf(query.service.text));
}

void write(Schema::CallReply::Builder builder, const CallReply& reply)
{
    std::visit([&](const auto& it) { writeReply(builder, it); }, reply);
}

void write(Schema::CallReply::Builder builder, const QueryReply& reply)
{
    std::visit([&](const auto& it) { writeReply(builder, it); }, reply);
}

void write(Schema::ServiceDefinition::Builder builder, const ServiceDefinition& definition)
{
    builder.setName(textOf(definition.name.text));
    builder.setKind(static_cast<Schema::RequestKind>(definition.kind));
    builder.setPriority(static_cast<Schema::Priority>(definition.priority));
    builder.setCallerWaitMicroseconds(static_cast<uint64_t>(definition.callerWait.count()));
    builder.setRetryTokens(definition.retryTokens);
    builder.setIsHedged(definition.isHedged);
    builder.setDeduplicates(definition.deduplicates);
    builder.setQueueLimit(definition.queueLimit);
    builder.setVersion(definition.version);
}

void write(Schema::Configuration::Builder builder, const ConfigurationOffer& offer)
{
    const ConfigurationDelta& delta = offer.delta;
    builder.setVersion(delta.version);
    builder.setBaseVersion(delta.baseVersion);
    builder.setIsServing(offer.isServing);
    builder.setDocument(bytesOf(offer.document));
    auto services = builder.initServices(static_cast<unsigned>(delta.changed.size()));
    unsigned i = 0;
    for (const auto& it : delta.changed)
        write(services[i++], it);
    auto removed = builder.initRemoved(static_cast<unsigned>(delta.removed.size()));
    i = 0;
    for (const auto& it : delta.removed) {
        removed[i].setName(textOf(it.name.text));
        removed[i++].setVersion(it.version);
    }
}

Result<AttemptId, PeerError> readAttemptId(Schema::AttemptId::Reader reader)
{
    return decode<AttemptId>([&] { return decodeAttemptId(reader); });
}

Result<CallRequest, PeerError> readCallRequest(Schema::CallRequest::Reader reader)
{
    return decode<CallRequest>([&] {
        CallRequest request;
        request.id = decodeAttemptId(reader.getId());
        request.receiver = NodeId { reader.getReceiver() };
        request.service = readName<struct ServiceNameTag>(reader.getService());
        request.tenant = readTenant(reader.getTenant());
        request.kind = readEnum(reader.getKind(), RequestKind::Patient);
        request.priority = readEnum(reader.getPriority(), Priority::Bulk);
        request.deadline = decodeClock(reader.getDeadline());
        request.objective = decodeClock(reader.getObjective());
        request.requestId = readText(reader.getRequestId(), maximumRequestIdLength);
        request.route = readText(reader.getRoute(), maximumRouteLength);
        request.mayHandOn = reader.getMayHandOn();
        request.isSuspect = reader.getIsSuspect();
        request.meanLoad = reader.getMeanLoad();
        request.retryTokens = reader.getRetryTokens();
        request.depth = reader.getDepth();
        // A load report has 16 bits each for running and queued calls.
        require(request.meanLoad >= 0 && request.meanLoad <= 2 * UINT16_MAX, "mean load out of range");
        require(request.retryTokens <= maximumRetryTokens, "too many retry tokens");
        require(request.depth <= maximumDepth, "call depth exceeds limit");
        request.http = readHttpRequest(reader.getHttp());
        return request;
    });
}

Result<CallQuery, PeerError> readCallQuery(Schema::CallQuery::Reader reader)
{
    return decode<CallQuery>([&] {
        return CallQuery {
            .id = decodeAttemptId(reader.getId()),
            .service = readName<struct ServiceNameTag>(reader.getService()),
            .receiver = NodeId { reader.getReceiver() },
            .deadline = decodeClock(reader.getDeadline()),
        };
    });
}

Result<CallReply, PeerError> readCallReply(Schema::CallReply::Reader reader)
{
    return decode<CallReply>([&] {
        auto toCallReply = Overloaded {
            [](CallPending&&) -> CallReply { throw Malformed("pending is not a valid reply to a call"); },
            [](auto&& it) -> CallReply { return std::move(it); },
        };
        return std::visit(toCallReply, decodeQueryReply(reader));
    });
}

Result<QueryReply, PeerError> readQueryReply(Schema::CallReply::Reader reader)
{
    return decode<QueryReply>([&] { return decodeQueryReply(reader); });
}

Result<ConfigurationOffer, PeerError> readConfiguration(Schema::Configuration::Reader reader)
{
    return decode<ConfigurationOffer>([&] {
        ConfigurationOffer offer { .delta = {}, .isServing = reader.getIsServing() };
        offer.delta.version = reader.getVersion();
        offer.delta.baseVersion = reader.getBaseVersion();
        auto services = reader.getServices();
        auto removed = reader.getRemoved();
        require(services.size() <= maximumServices && removed.size() <= maximumServices, "too many services");
        for (auto it : services)
            offer.delta.changed.push_back(decodeServiceDefinition(it));
        for (auto it : removed) {
            offer.delta.removed.push_back(
                { .name = readName<struct ServiceNameTag>(it.getName()), .version = it.getVersion() });
        }
        offer.document = readBytes(reader.getDocument(), maximumDocumentBytes);
        return offer;
    });
}

Result<ServiceDefinition, PeerError> readServiceDefinition(Schema::ServiceDefinition::Reader reader)
{
    return decode<ServiceDefinition>([&] { return decodeServiceDefinition(reader); });
}

Result<ServiceName, PeerError> readServiceName(capnp::Text::Reader reader)
{
    return decode<ServiceName>([&] { return readName<struct ServiceNameTag>(reader); });
}

Result<Instant, PeerError> readClock(int64_t microseconds)
{
    return decode<Instant>([&] { return decodeClock(microseconds); });
}

size_t estimateSize(const CallRequest& request)
{
    return messageOverhead + request.service.text.size() + request.tenant.text.size() + request.http.method.size()
        + request.http.target.size() + estimateHeadersSize(request.http.headers) + request.http.body.size();
}

size_t estimateSize(const QueryReply& reply)
{
    const auto* answered = std::get_if<CallAnswered>(&reply);
    return answered ? estimateAnswerSize(*answered) : messageOverhead;
}

size_t estimateSize(const CallReply& reply)
{
    const auto* answered = std::get_if<CallAnswered>(&reply);
    return answered ? estimateAnswerSize(*answered) : messageOverhead;
}

size_t estimateSize(const ConfigurationOffer& offer)
{
    constexpr size_t definitionSize = 160;
    return messageOverhead + (offer.delta.changed.size() + offer.delta.removed.size()) * definitionSize
        + offer.document.size();
}

} // namespace Berylport
