// JSON form of an action's row, and names.
#include "Patient/ActionRecord.h"

#include "Store.capnp.h"
#include "Store/JsonCodec.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace Berylport {

namespace {

constexpr size_t maxTokenLength = 128;

template <typename Out> void fillHeaders(Out out, const std::vector<HttpHeader>& headers)
{
    for (unsigned n = 0; n < headers.size(); ++n) {
        out[n].setName(headers[n].name);
        out[n].setValue(headers[n].value);
    }
}

template <typename In> std::vector<HttpHeader> readHeaders(In in)
{
    std::vector<HttpHeader> headers;
    for (auto it : in)
        headers.push_back({ .name = Json::toString(it.getName()), .value = Json::toString(it.getValue()) });
    return headers;
}

// FNV-1a, 64 bits.
uint64_t hashBytes(std::string_view bytes, uint64_t hash)
{
    for (unsigned char c : bytes)
        hash = (hash ^ c) * 0x100000001B3ull;
    return hash;
}

// Spreads the bits of a hash over the whole word.
uint64_t mixBits(uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ull;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBull;
    return value ^ (value >> 31);
}

std::string partitionText(uint32_t partition)
{
    char text[16];
    std::snprintf(text, sizeof(text), "%02u", partition);
    return text;
}

} // namespace

std::string encodeActionRecord(const ActionRecord& record)
{
    return Json::encode<StoreSchema::ActionRecord>([&](auto out) {
        out.setState(static_cast<StoreSchema::ActionRecord::State>(record.state));
        out.setService(record.service.text);
        out.setTenant(record.tenant.text);
        out.setMethod(record.http.method);
        out.setTarget(record.http.target);
        fillHeaders(out.initHeaders(record.http.headers.size()), record.http.headers);
        out.setBody(Json::toData(record.http.body));
        out.setBodyObject(record.bodyObject);
        out.setFingerprint(record.fingerprint);
        out.setDeduplicates(record.deduplicates);
        out.setAttempts(record.attempts);
        out.setFencingToken(record.current.fencingToken);
        out.setNode(record.current.node.value);
        out.setCallOrigin(record.current.id.call.origin.value);
        out.setCallSequence(record.current.id.call.sequence);
        out.setDeadlineUnixMs(record.current.deadlineUnixMs);
        out.setFinishedUnixMs(record.finishedUnixMs);
        out.setStatus(record.result.status);
        out.setReason(record.result.reason);
        fillHeaders(out.initResultHeaders(record.result.headers.size()), record.result.headers);
        out.setResult(Json::toData(record.result.body));
        out.setResultObject(record.resultObject);
    });
}

std::optional<ActionRecord> decodeActionRecord(std::string_view text)
{
    ActionRecord record;
    bool isValid = Json::decode<StoreSchema::ActionRecord>(text, [&](auto in) {
        record.state = static_cast<ActionState>(in.getState());
        record.service = ServiceName(Json::toString(in.getService()));
        record.tenant = TenantName(Json::toString(in.getTenant()));
        record.http.method = Json::toString(in.getMethod());
        record.http.target = Json::toString(in.getTarget());
        record.http.headers = readHeaders(in.getHeaders());
        record.http.body = Json::toString(in.getBody());
        record.bodyObject = Json::toString(in.getBodyObject());
        record.fingerprint = Json::toString(in.getFingerprint());
        record.deduplicates = in.getDeduplicates();
        record.attempts = in.getAttempts();
        record.current.fencingToken = in.getFencingToken();
        record.current.node = NodeId { in.getNode() };
        record.current.id.call = { .origin = NodeId { in.getCallOrigin() }, .sequence = in.getCallSequence() };
        record.current.id.attempt = in.getAttempts();
        record.current.deadlineUnixMs = in.getDeadlineUnixMs();
        record.finishedUnixMs = in.getFinishedUnixMs();
        record.result.status = in.getStatus();
        record.result.reason = Json::toString(in.getReason());
        record.result.headers = readHeaders(in.getResultHeaders());
        record.result.body = Json::toString(in.getResult());
        record.resultObject = Json::toString(in.getResultObject());
    });
    if (!isValid || record.state > ActionState::InDoubt || record.service.isEmpty())
        return std::nullopt;
    return record;
}

bool isValidActionToken(std::string_view token)
{
    auto isAllowed
        = [](char c) { return c > ' ' && c <= '~' && std::string_view("/\\\"%?#").find(c) == std::string_view::npos; };
    return !token.empty() && token.size() <= maxTokenLength && std::ranges::all_of(token, isAllowed);
}

uint32_t actionPartition(std::string_view token)
{
    return static_cast<uint32_t>(mixBits(hashBytes(token, 0xCBF29CE484222325ull)) % actionPartitionCount);
}

std::string openActionPrefix(uint32_t partition) { return "action-open/" + partitionText(partition) + "/"; }
std::string endedActionPrefix(uint32_t partition) { return "action-ended/" + partitionText(partition) + "/"; }

std::string openActionKey(std::string_view token)
{
    return openActionPrefix(actionPartition(token)) + std::string(token);
}

std::string endedActionKey(std::string_view token)
{
    return endedActionPrefix(actionPartition(token)) + std::string(token);
}

std::string partitionLeaseName(uint32_t partition) { return "actions-" + partitionText(partition); }

std::string actionFingerprint(const ServiceName& service, const TenantName& tenant, const HttpRequest& http)
{
    // Two hashes of 64 bits that differ in their start. Accidental equality is what matters: a caller who made two
    // bodies of equal hash would only deceive himself, as tokens are not shared between tenants.
    uint64_t first = 0xCBF29CE484222325ull;
    uint64_t second = 0x9AE16A3B2F90404Full;
    for (std::string_view part : { std::string_view(service.text), std::string_view(tenant.text),
             std::string_view(http.method), std::string_view(http.target), std::string_view(http.body) }) {
        // The length keeps the parts apart.
        auto length = std::to_string(part.size()) + ":";
        first = hashBytes(part, hashBytes(length, first));
        second = mixBits(hashBytes(part, hashBytes(length, second)));
    }
    char text[48];
    std::snprintf(text, sizeof(text), "%016llx%016llx-%zu", static_cast<unsigned long long>(first),
        static_cast<unsigned long long>(second), http.body.size());
    return text;
}

std::string bodyObjectName(std::string_view token, std::string_view fingerprint)
{
    return "action-body/" + std::string(token) + "/" + std::string(fingerprint);
}

std::string resultObjectName(std::string_view token, uint32_t attempt)
{
    return "action-result/" + std::string(token) + "/" + std::to_string(attempt);
}

} // namespace Berylport
