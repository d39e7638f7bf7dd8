# Interface between two nodes: one Cap'n Proto RPC link per peer.
@0x988a698662e94c34;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Berylport::Schema");

struct AttemptId {
  origin @0 :UInt64;
  sequence @1 :UInt64;
  attempt @2 :UInt32;
}

enum RequestKind {
  idempotent @0;
  atMostOnce @1;
  patient @2;
}

enum Priority {
  critical @0;
  normal @1;
  bulk @2;
}

enum RefusalReason {
  queueFull @0;
  tenantOverShare @1;
  deadlineTooNear @2;
  deadlinePassed @3;
  draining @4;
  noTarget @5;
  wrongNode @6;
  cancelled @7;
  refusedBefore @8;
  ledgerFull @9;
  connectFailed @10;
  unknownParent @11;
  depthExceeded @12;
  unconfirmed @13;
  overloaded @14;
  slowNow @15;
  busyNow @16;
  besideSuspect @17;
  endsTargets @18;
  zoneEvacuated @19;
}

enum LossReason {
  linkLost @0;
  targetClosed @1;
  targetTimeout @2;
  answerTooLarge @3;
  answerMalformed @4;
  nodeRestarted @5;
  nodeStopped @6;
  answerDropped @7;
}

struct HttpHeader {
  name @0 :Text;
  value @1 :Text;
}

struct HttpRequest {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(HttpHeader);
  body @3 :Data;
}

struct HttpResponse {
  status @0 :UInt16;
  reason @1 :Text;
  headers @2 :List(HttpHeader);
  body @3 :Data;
}

struct LoadReport {
  slots @0 :UInt16;
  running @1 :UInt16;
  queued @2 :UInt16;
  isWarmingUp @3 :Bool;
  serviceTimeMicroseconds @4 :UInt32;
  # How long work takes on the target's VM at present; 100 is its usual speed, zero is unknown.
  slownessPercent @5 :UInt16;
  # Time until the target's request limit lets one more call start, and the mean time between starts; zero without one.
  startWaitMicroseconds @6 :UInt32;
  startIntervalMicroseconds @7 :UInt32;
}

struct CallRequest {
  id @0 :AttemptId;
  receiver @1 :UInt64;
  service @2 :Text;
  tenant @3 :Text;
  kind @4 :RequestKind;
  priority @5 :Priority;
  # Microseconds on the sender's steady clock.
  deadline @6 :Int64;
  retryTokens @7 :UInt32;
  depth @8 :UInt32;
  http @9 :HttpRequest;
  # Microseconds on the sender's steady clock; an answer by then is worth the most to the caller.
  objective @10 :Int64;
  # The caller's own name for the request, for logs.
  requestId @11 :Text;
  # Calls of one route cost a target about the same. Empty for services without routes.
  route @12 :Text;
  # The receiver may refuse it because its VM is slow or its target is full just now; the sender then asks another node.
  mayHandOn @13 :Bool;
  # Calls that run and wait at a target of the service on average, as the sender knows it.
  meanLoad @14 :Float32;
  # A target has ended under this request, so it does not run beside another such request.
  isSuspect @15 :Bool;
}

struct CallQuery {
  id @0 :AttemptId;
  receiver @1 :UInt64;
  # Microseconds on the sender's steady clock.
  deadline @2 :Int64;
  service @3 :Text;
}

struct CallAnswered {
  http @0 :HttpResponse;
  load @1 :LoadReport;
  retryTokensUsed @2 :UInt32;
}

struct CallRefused {
  reason @0 :RefusalReason;
  retryAfterMicroseconds @1 :UInt64;
  load @2 :LoadReport;
}

struct CallLost {
  reason @0 :LossReason;
  load @1 :LoadReport;
  # Names the end of the target's process while it ran the request; zero if it did not end.
  targetEnd @2 :UInt64;
}

# Answers call and query. Only a query may be answered with pending.
struct CallReply {
  id @0 :AttemptId;
  union {
    answered @1 :CallAnswered;
    refused @2 :CallRefused;
    lost @3 :CallLost;
    pending @4 :Void;
  }
}

struct Hello {
  protocolVersion @0 :UInt32;
  node @1 :UInt64;
  # Zero when the opener does not know which node listens on the address.
  expected @2 :UInt64;
}

enum HelloStatus {
  accepted @0;
  wrongNode @1;
  wrongVersion @2;
}

struct HelloReply {
  status @0 :HelloStatus;
  protocolVersion @1 :UInt32;
  node @2 :UInt64;
  # The steady clock of the replying node, in microseconds.
  clock @3 :Int64;
}

struct ServiceDefinition {
  name @0 :Text;
  kind @1 :RequestKind;
  priority @2 :Priority;
  callerWaitMicroseconds @3 :UInt64;
  retryTokens @4 :UInt32;
  isHedged @5 :Bool;
  deduplicates @6 :Bool;
  queueLimit @7 :UInt32;
  version @8 :UInt64;
}

struct RemovedService {
  name @0 :Text;
  version @1 :UInt64;
}

# What a node that holds the base version lacks; base version zero for a whole configuration.
struct Configuration {
  version @0 :UInt64;
  services @1 :List(ServiceDefinition);
  baseVersion @2 :UInt64;
  removed @3 :List(RemovedService);
  # The answering node itself serves calls.
  isServing @4 :Bool;
  # The whole configuration in the form of the operators' source, where that is not this product's own table. Empty
  # when the asking node holds this version.
  document @5 :Data;
}

interface Peer {
  # Must be the first call on a link.
  hello @0 (hello :Hello) -> (reply :HelloReply);
  # clock: the sender's steady clock. echoedClock: the clock in the last answer that the sender got on this link, and
  # echoReceivedAt the sender's clock when it got that answer; both zero when there is none.
  ping @1 (clock :Int64, echoedClock :Int64, echoReceivedAt :Int64) -> (clock :Int64);
  call @2 (request :CallRequest) -> (reply :CallReply);
  cancel @3 (id :AttemptId) -> ();
  query @4 (query :CallQuery) -> (reply :CallReply);
  fetchConfiguration @5 (since :UInt64) -> (configuration :Configuration);
  # Stops new work to the target of a service on the receiving node's VM, or allows it again.
  drainTarget @6 (service :Text, isDrained :Bool) -> (isKnown :Bool);
}
