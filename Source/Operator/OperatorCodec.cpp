// Conversions for Operator.capnp.
#include "Operator/OperatorCodec.h"

#include "Peer/CodecSupport.h"
#include "Peer/PeerCodec.h"

#include <algorithm>
#include <limits>

namespace Berylport {

using namespace Codec;

namespace {

constexpr size_t maximumTokenLength = 128;
constexpr size_t maximumMessageLength = 4096;
constexpr size_t maximumFieldLength = 256;
// Well above the 3,900 members and 330 services of the design scale.
constexpr size_t maximumRows = 65'536;

static_assert(
    static_cast<int>(Schema::OperatorErrorCode::UNREACHABLE) == static_cast<int>(OperatorErrorCode::Unreachable));
static_assert(static_cast<int>(Schema::ChangeState::PENDING) == static_cast<int>(ServiceChangeState::Pending));

// Control characters would let a node send escape sequences to the operator's terminal.
std::string readPrintable(capnp::Text::Reader reader, size_t maximumSize)
{
    std::string text = readText(reader, maximumSize);
    require(std::none_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }),
        "control character in a text");
    return text;
}

std::string token(capnp::Text::Reader reader)
{
    std::string text = readText(reader, maximumTokenLength);
    require(isValidOperatorToken(text), "invalid token");
    return text;
}

OperatorError operatorError(Schema::OperatorError::Reader reader)
{
    OperatorError error;
    error.code = readEnum(reader.getCode(), OperatorErrorCode::Unreachable);
    error.message = readPrintable(reader.getMessage(), maximumMessageLength);
    error.foundVersion = reader.getFoundVersion();
    return error;
}

ServiceDefinition serviceDefinition(Schema::ServiceDefinition::Reader reader)
{
    auto definition = readServiceDefinition(reader);
    require(definition.has_value(), "invalid definition");
    return definition.value();
}

template <typename Row, typename Readers, typename Function>
std::vector<Row> readRows(const Readers& readers, Function&& readRow)
{
    require(readers.size() <= maximumRows, "too many rows");
    std::vector<Row> rows;
    rows.reserve(readers.size());
    for (auto it : readers)
        rows.push_back(readRow(it));
    return rows;
}

TargetRow targetRow(Schema::TargetRow::Reader reader)
{
    TargetRow row;
    row.service = readName<struct ServiceNameTag>(reader.getService());
    row.node = NodeId { reader.getNode() };
    row.zone = readName<struct ZoneNameTag>(reader.getZone());
    row.region = readName<struct RegionNameTag>(reader.getRegion());
    row.state = readPrintable(reader.getState(), maximumFieldLength);
    row.slots = reader.getSlots();
    row.isSuspect = reader.getIsSuspect();
    row.address = readPrintable(reader.getAddress(), maximumFieldLength);
    return row;
}

MemberRow memberRow(Schema::MemberRow::Reader reader)
{
    MemberRow row;
    row.node = NodeId { reader.getNode() };
    row.zone = readName<struct ZoneNameTag>(reader.getZone());
    row.region = readName<struct RegionNameTag>(reader.getRegion());
    row.state = readPrintable(reader.getState(), maximumFieldLength);
    row.address = readPrintable(reader.getAddress(), maximumFieldLength);
    row.configurationVersion = reader.getConfigurationVersion();
    return row;
}

MeasureRow measureRow(Schema::MeasureRow::Reader reader)
{
    MeasureRow row;
    row.name = readPrintable(reader.getName(), maximumFieldLength);
    row.label = readPrintable(reader.getLabel(), maximumFieldLength);
    row.value = reader.getValue();
    return row;
}

} // namespace

bool isValidOperatorToken(std::string_view text)
{
    return !text.empty() && text.size() <= maximumTokenLength
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

void write(Schema::OperatorError::Builder builder, const OperatorError& error)
{
    builder.setCode(static_cast<Schema::OperatorErrorCode>(error.code));
    builder.setMessage(textOf(error.message));
    builder.setFoundVersion(error.foundVersion);
}

void write(Schema::ServiceList::Builder builder, const ServiceList& list)
{
    builder.setConfigurationVersion(list.configurationVersion);
    auto services = builder.initServices(static_cast<unsigned>(list.services.size()));
    unsigned i = 0;
    for (const auto& it : list.services)
        write(services[i++], it);
}

void write(Schema::ChangeRequest::Builder builder, const ServiceChangeRequest& change)
{
    std::visit(Overloaded {
                   [&](const PutService& put) { write(builder.initPut(), put.definition); },
                   [&](const RemoveService& remove) { builder.setRemove(textOf(remove.name.text)); },
               },
        change.change);
    builder.setExpectedVersion(change.expectedVersion);
    builder.setToken(textOf(change.token));
}

void write(Schema::ChangeReply::Builder builder, const ServiceChangeReply& reply)
{
    write(builder.initError(), reply.error);
    builder.setState(static_cast<Schema::ChangeState>(reply.state));
    builder.setVersion(reply.version);
    auto zones = builder.initMissingZones(static_cast<unsigned>(reply.missingZones.size()));
    unsigned i = 0;
    for (const auto& it : reply.missingZones)
        zones.set(i++, textOf(it.text));
}

void write(Schema::TargetRow::Builder builder, const TargetRow& row)
{
    builder.setService(textOf(row.service.text));
    builder.setNode(row.node.value);
    builder.setZone(textOf(row.zone.text));
    builder.setRegion(textOf(row.region.text));
    builder.setState(textOf(row.state));
    builder.setSlots(row.slots);
    builder.setIsSuspect(row.isSuspect);
    builder.setAddress(textOf(row.address));
}

void write(Schema::MemberRow::Builder builder, const MemberRow& row)
{
    builder.setNode(row.node.value);
    builder.setZone(textOf(row.zone.text));
    builder.setRegion(textOf(row.region.text));
    builder.setState(textOf(row.state));
    builder.setAddress(textOf(row.address));
    builder.setConfigurationVersion(row.configurationVersion);
}

void write(Schema::ZoneList::Builder builder, const ZoneList& list)
{
    write(builder.initError(), list.error);
    builder.setHeadVersion(list.headVersion);
    auto zones = builder.initZones(static_cast<unsigned>(list.zones.size()));
    unsigned i = 0;
    for (const auto& it : list.zones) {
        auto zone = zones[i++];
        zone.setZone(textOf(it.zone.text));
        zone.setConfirmedVersion(it.confirmedVersion);
    }
}

void write(Schema::MeasureRow::Builder builder, const MeasureRow& row)
{
    builder.setName(textOf(row.name));
    builder.setLabel(textOf(row.label));
    builder.setValue(row.value);
}

void write(Schema::NodeStatus::Builder builder, const OperatorNodeStatus& status)
{
    builder.setNode(status.node.value);
    builder.setZone(textOf(status.zone.text));
    builder.setRegion(textOf(status.region.text));
    builder.setGuard(textOf(status.guard));
    builder.setIsDraining(status.isDraining);
    builder.setIsStoreReachable(status.isStoreReachable);
    builder.setConfigurationVersion(status.configurationVersion);
    builder.setMembers(status.members);
    builder.setUptimeMilliseconds(static_cast<uint64_t>(std::max<int64_t>(0, toMilliseconds(status.uptime))));
    builder.setIsCoordinator(status.isCoordinator);
}

void write(Schema::ActionReply::Builder builder, const ActionReply& reply)
{
    write(builder.initError(), reply.error);
    builder.setToken(textOf(reply.token));
    builder.setService(textOf(reply.service.text));
    builder.setState(textOf(reply.state));
    builder.setResultStatus(reply.resultStatus);
}

Result<OperatorError, PeerError> readOperatorError(Schema::OperatorError::Reader reader)
{
    return decode<OperatorError>([&] { return operatorError(reader); });
}

Result<ServiceList, PeerError> readServiceList(Schema::ServiceList::Reader reader)
{
    return decode<ServiceList>([&] {
        ServiceList list;
        list.configurationVersion = reader.getConfigurationVersion();
        list.services = readRows<ServiceDefinition>(reader.getServices(), serviceDefinition);
        return list;
    });
}

Result<ServiceChangeRequest, PeerError> readServiceChangeRequest(Schema::ChangeRequest::Reader reader)
{
    return decode<ServiceChangeRequest>([&] {
        ServiceChangeRequest change;
        if (reader.isPut()) {
            change.change = PutService { serviceDefinition(reader.getPut()) };
        } else {
            require(reader.isRemove(), "unknown change");
            change.change = RemoveService { readName<struct ServiceNameTag>(reader.getRemove()) };
        }
        change.expectedVersion = reader.getExpectedVersion();
        change.token = token(reader.getToken());
        return change;
    });
}

Result<ServiceChangeReply, PeerError> readServiceChangeReply(Schema::ChangeReply::Reader reader)
{
    return decode<ServiceChangeReply>([&] {
        ServiceChangeReply reply;
        reply.error = operatorError(reader.getError());
        reply.state = readEnum(reader.getState(), ServiceChangeState::Pending);
        reply.version = reader.getVersion();
        reply.missingZones = readRows<ZoneName>(
            reader.getMissingZones(), [](capnp::Text::Reader it) { return readName<struct ZoneNameTag>(it); });
        return reply;
    });
}

Result<std::vector<TargetRow>, PeerError> readTargetRows(capnp::List<Schema::TargetRow>::Reader readers)
{
    return decode<std::vector<TargetRow>>([&] { return readRows<TargetRow>(readers, targetRow); });
}

Result<std::vector<MemberRow>, PeerError> readMemberRows(capnp::List<Schema::MemberRow>::Reader readers)
{
    return decode<std::vector<MemberRow>>([&] { return readRows<MemberRow>(readers, memberRow); });
}

Result<ZoneList, PeerError> readZoneList(Schema::ZoneList::Reader reader)
{
    return decode<ZoneList>([&] {
        ZoneList list;
        list.error = operatorError(reader.getError());
        list.headVersion = reader.getHeadVersion();
        list.zones = readRows<ZoneRow>(reader.getZones(), [](Schema::ZoneRow::Reader it) {
            return ZoneRow { readName<struct ZoneNameTag>(it.getZone()), it.getConfirmedVersion() };
        });
        return list;
    });
}

Result<std::vector<MeasureRow>, PeerError> readMeasureRows(capnp::List<Schema::MeasureRow>::Reader readers)
{
    return decode<std::vector<MeasureRow>>([&] { return readRows<MeasureRow>(readers, measureRow); });
}

Result<OperatorNodeStatus, PeerError> readNodeStatus(Schema::NodeStatus::Reader reader)
{
    return decode<OperatorNodeStatus>([&] {
        OperatorNodeStatus status;
        status.node = NodeId { reader.getNode() };
        status.zone = readName<struct ZoneNameTag>(reader.getZone());
        status.region = readName<struct RegionNameTag>(reader.getRegion());
        status.guard = readPrintable(reader.getGuard(), maximumFieldLength);
        status.isDraining = reader.getIsDraining();
        status.isStoreReachable = reader.getIsStoreReachable();
        status.configurationVersion = reader.getConfigurationVersion();
        status.members = reader.getMembers();
        constexpr auto maximumUptime = std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()).count();
        require(reader.getUptimeMilliseconds() <= static_cast<uint64_t>(maximumUptime), "uptime out of range");
        status.uptime = std::chrono::milliseconds(reader.getUptimeMilliseconds());
        status.isCoordinator = reader.getIsCoordinator();
        return status;
    });
}

Result<ActionReply, PeerError> readActionReply(Schema::ActionReply::Reader reader)
{
    return decode<ActionReply>([&] {
        ActionReply reply;
        reply.error = operatorError(reader.getError());
        // The reply to an unknown token names no action.
        if (reply.error.isError())
            return reply;
        reply.token = token(reader.getToken());
        reply.service = readName<struct ServiceNameTag>(reader.getService());
        reply.state = readPrintable(reader.getState(), maximumFieldLength);
        reply.resultStatus = reader.getResultStatus();
        return reply;
    });
}

Result<ZoneName, PeerError> readZoneName(capnp::Text::Reader reader)
{
    return decode<ZoneName>([&] { return readName<struct ZoneNameTag>(reader); });
}

Result<std::string, PeerError> readOperatorToken(capnp::Text::Reader reader)
{
    return decode<std::string>([&] { return token(reader); });
}

} // namespace Berylport
