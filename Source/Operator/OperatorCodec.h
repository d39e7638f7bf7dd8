// Conversions between the operator types and Operator.capnp. Everything is checked on read. Heavy to compile.
#pragma once

#include "Operator/OperatorTypes.h"
#include "Peer/PeerError.h"

#include <Operator.capnp.h>

namespace Berylport {

// Limits the size of requests that a node accepts, and of replies that a client accepts.
constexpr size_t maximumOperatorRequestBytes = 64 * 1024;
constexpr size_t maximumOperatorReplyBytes = 16 * 1024 * 1024;

// 1 to 128 printable characters without spaces.
bool isValidOperatorToken(std::string_view);

void write(Schema::OperatorError::Builder, const OperatorError&);
void write(Schema::ServiceList::Builder, const ServiceList&);
void write(Schema::ChangeRequest::Builder, const ServiceChangeRequest&);
void write(Schema::ChangeReply::Builder, const ServiceChangeReply&);
void write(Schema::TargetRow::Builder, const TargetRow&);
void write(Schema::MemberRow::Builder, const MemberRow&);
void write(Schema::ZoneList::Builder, const ZoneList&);
void write(Schema::MeasureRow::Builder, const MeasureRow&);
void write(Schema::NodeStatus::Builder, const OperatorNodeStatus&);
void write(Schema::ActionReply::Builder, const ActionReply&);

Result<OperatorError, PeerError> readOperatorError(Schema::OperatorError::Reader);
Result<ServiceList, PeerError> readServiceList(Schema::ServiceList::Reader);
Result<ServiceChangeRequest, PeerError> readServiceChangeRequest(Schema::ChangeRequest::Reader);
Result<ServiceChangeReply, PeerError> readServiceChangeReply(Schema::ChangeReply::Reader);
Result<std::vector<TargetRow>, PeerError> readTargetRows(capnp::List<Schema::TargetRow>::Reader);
Result<std::vector<MemberRow>, PeerError> readMemberRows(capnp::List<Schema::MemberRow>::Reader);
Result<ZoneList, PeerError> readZoneList(Schema::ZoneList::Reader);
Result<std::vector<MeasureRow>, PeerError> readMeasureRows(capnp::List<Schema::MeasureRow>::Reader);
Result<OperatorNodeStatus, PeerError> readNodeStatus(Schema::NodeStatus::Reader);
Result<ActionReply, PeerError> readActionReply(Schema::ActionReply::Reader);
Result<ZoneName, PeerError> readZoneName(capnp::Text::Reader);
Result<std::string, PeerError> readOperatorToken(capnp::Text::Reader);

} // namespace Berylport
