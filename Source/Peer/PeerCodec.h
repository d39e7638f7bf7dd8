// Encodes and decodes Peer.capnp messages. Every field is validated on decoding. Slow to compile: pulls in Cap'n Proto.
#pragma once

#include "Base/Base.h"
#include "Peer/PeerError.h"

#include <Peer.capnp.h>

namespace Berylport {

void write(Schema::AttemptId::Builder, const AttemptId&);
void write(Schema::CallRequest::Builder, const CallRequest&);
void write(Schema::CallQuery::Builder, const CallQuery&);
void write(Schema::CallReply::Builder, const CallReply&);
void write(Schema::CallReply::Builder, const QueryReply&);
void write(Schema::ServiceDefinition::Builder, const ServiceDefinition&);
void write(Schema::Configuration::Builder, const ConfigurationOffer&);

Result<AttemptId, PeerError> readAttemptId(Schema::AttemptId::Reader);
Result<CallRequest, PeerError> readCallRequest(Schema::CallRequest::Reader);
Result<CallQuery, PeerError> readCallQuery(Schema::CallQuery::Reader);
Result<CallReply, PeerError> readCallReply(Schema::CallReply::Reader);
Result<QueryReply, PeerError> readQueryReply(Schema::CallReply::Reader);
Result<ConfigurationOffer, PeerError> readConfiguration(Schema::Configuration::Reader);
Result<ServiceDefinition, PeerError> readServiceDefinition(Schema::ServiceDefinition::Reader);
Result<ServiceName, PeerError> readServiceName(capnp::Text::Reader);
// Rejects clock values so large that their difference could overflow.
Result<Instant, PeerError> readClock(int64_t microseconds);

// Upper bounds on the encoded size, for size checks before sending.
size_t estimateSize(const CallRequest&);
size_t estimateSize(const QueryReply&);
size_t estimateSize(const CallReply&);
size_t estimateSize(const ConfigurationOffer&);

} // namespace Berylport
