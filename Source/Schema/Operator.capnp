# Remote procedure calls between an operator's client and any node.
@0xb1f07d6a5c3e4f21;

using Cxx = import "/capnp/c++.capnp";
using Peer = import "Peer.capnp";
$Cxx.namespace("Berylport::Schema");

enum OperatorErrorCode {
  none @0;
  # The service, target, node, zone or action does not exist.
  notFound @1;
  alreadyExists @2;
  # The service has another version than the operator saw; foundVersion names it.
  conflict @3;
  invalid @4;
  # Nothing was written, as the platform's store did not answer.
  storeUnavailable @5;
  # The change may have been written; the same token can be sent again without harm.
  unresolved @6;
  # The node beside the target cannot be reached.
  unreachable @7;
}

struct OperatorError {
  code @0 :OperatorErrorCode;
  message @1 :Text;
  foundVersion @2 :UInt64;
}

struct ChangeRequest {
  union {
    put @0 :Peer.ServiceDefinition;
    remove @1 :Text;
  }
  # Version of the service that the operator saw; zero to create it.
  expectedVersion @2 :UInt64;
  # Unique for each change; the same for its repetitions.
  token @3 :Text;
}

enum ChangeState {
  # Every registered zone has confirmed it.
  accepted @0;
  # Durable and never withdrawn; the zones named have not confirmed it yet.
  pending @1;
}

struct ChangeReply {
  error @0 :OperatorError;
  state @1 :ChangeState;
  version @2 :UInt64;
  missingZones @3 :List(Text);
}

struct ServiceList {
  configurationVersion @0 :UInt64;
  services @1 :List(Peer.ServiceDefinition);
}

struct TargetRow {
  service @0 :Text;
  node @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  state @4 :Text;
  slots @5 :UInt16;
  isSuspect @6 :Bool;
  # Peer endpoint of the node beside the target.
  address @7 :Text;
}

struct MemberRow {
  node @0 :UInt64;
  zone @1 :Text;
  region @2 :Text;
  state @3 :Text;
  address @4 :Text;
  configurationVersion @5 :UInt64;
}

struct ZoneRow {
  zone @0 :Text;
  confirmedVersion @1 :UInt64;
}

struct ZoneList {
  error @0 :OperatorError;
  headVersion @1 :UInt64;
  zones @2 :List(ZoneRow);
}

struct MeasureRow {
  name @0 :Text;
  label @1 :Text;
  value @2 :Float64;
}

struct NodeStatus {
  node @0 :UInt64;
  zone @1 :Text;
  region @2 :Text;
  # confirmed, unconfirmed or isolated.
  guard @3 :Text;
  isDraining @4 :Bool;
  isStoreReachable @5 :Bool;
  configurationVersion @6 :UInt64;
  members @7 :UInt32;
  uptimeMilliseconds @8 :UInt64;
  isCoordinator @9 :Bool;
}

struct ActionReply {
  error @0 :OperatorError;
  token @1 :Text;
  service @2 :Text;
  # accepted, running, done or in-doubt.
  state @3 :Text;
  resultStatus @4 :UInt16;
}

interface Operator {
  listServices @0 () -> (list :ServiceList);
  changeService @1 (request :ChangeRequest) -> (reply :ChangeReply);
  listTargets @2 () -> (targets :List(TargetRow));
  # Stops new work to a target, on any node; it holds until it is undone or the node beside the target ends.
  drainTarget @3 (node :UInt64, service :Text, isDrained :Bool) -> (error :OperatorError);
  listMembers @4 () -> (members :List(MemberRow));
  listZones @5 () -> (zones :ZoneList);
  # States that a zone is switched off, so that changes no longer wait for it.
  retireZone @6 (zone :Text) -> (error :OperatorError);
  measures @7 () -> (rows :List(MeasureRow));
  status @8 () -> (status :NodeStatus);
  findAction @9 (token :Text) -> (action :ActionReply);
}
