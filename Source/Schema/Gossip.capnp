# Gossip between nodes: one packed message in one UDP datagram.
@0xcc16bb093e92f5d4;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Berylport::Schema");

struct GossipEndpoint {
  # 4 or 16 bytes in network order.
  address @0 :Data;
  port @1 :UInt16;
}

enum MemberState {
  alive @0;
  leaving @1;
  suspect @2;
  dead @3;
}

enum GossipTargetState {
  starting @0;
  ready @1;
  draining @2;
  down @3;
}

struct MemberTarget {
  service @0 :Text;
  slots @1 :UInt16;
  state @2 :GossipTargetState;
  stateVersion @3 :UInt64;
}

struct MemberRecord {
  node @0 :UInt64;
  # 4 or 16 bytes in network order. Flat, as a GossipEndpoint each would take 22 bytes more.
  gossipAddress @1 :Data;
  # Absent when it is the gossip address.
  peerAddress @2 :Data;
  zone @3 :Text;
  region @4 :Text;
  version @5 :UInt64;
  state @6 :MemberState;
  targets @7 :List(MemberTarget);
  configurationVersion @8 :UInt64;
  gossipPort @9 :UInt16;
  peerPort @10 :UInt16;
}

struct Coordinator {
  zone @0 :Text;
  fencingToken @1 :UInt64;
  node @2 :UInt64;
}

# The start of a target whose leaving the node of a record acknowledged last. Apart from the record, as few have one.
struct Departure {
  # Position of the record in the message.
  record @0 :UInt8;
  instance @1 :Text;
  startMs @2 :UInt64;
}

# A request under which targets ended.
struct Suspect {
  # 24 bytes.
  fingerprint @0 :Data;
  # Numbers of the target ends under it; empty if it is refused.
  ends @1 :List(UInt64);
  isRefused @2 :Bool;
  lastEndMsAgo @3 :UInt32;
  # When it last ended well; the largest number if it did not.
  goodEndMsAgo @4 :UInt32 = 0xffffffff;
}

# The zones that an operator has evacuated, as of a version of the shared store.
struct Evacuation {
  era @0 :UInt64;
  version @1 :UInt64;
  # At most 16, in ascending order.
  zones @2 :List(Text);
}

# What a node needs for one client account; the key is a hash of its name.
struct QuotaWant {
  account @0 :UInt64;
  waiting @1 :UInt16;
  expected @2 :UInt16;
  refused @3 :UInt16;
}

# Tokens for one client account.
struct QuotaShare {
  account @0 :UInt64;
  granted @1 :UInt16;
  grantedLifetimeMs @2 :UInt16;
  stocked @3 :UInt16;
  stockedLifetimeMs @4 :UInt16;
  retryAfterMs @5 :UInt16;
}

struct GossipMessage {
  protocolVersion @0 :UInt16;
  sequence @1 :UInt64;
  sender @2 :UInt64;
  records @3 :List(MemberRecord);
  # Absent, or exactly 64 bucket hashes.
  digest @4 :List(UInt32);
  # Buckets whose records the sender asks for, each below 64.
  requestedBuckets @5 :List(UInt8);
  # Absent when the sender knows no coordinator.
  coordinator @6 :Coordinator;
  departures @11 :List(Departure);
  # Rises each time the shared store has lost changes that it had acknowledged. Zero when the sender knows none.
  storeEra @12 :UInt64;
  # Who last asked the source of the configuration whether a version newer than the sender's exists, and how long ago.
  # Zero when the sender knows of nobody, or if it is too long ago to be of use.
  confirmedBy @13 :UInt64;
  confirmedMsAgo @14 :UInt16;
  # The same moment on the clock of that source; zero if it does not tell.
  confirmedSourceMs @27 :UInt64;
  suspects @15 :List(Suspect);
  # Over all suspects that the sender knows; zero for none.
  suspectDigest @16 :UInt64;
  # Absent while no zone was evacuated.
  evacuation @17 :Evacuation;
  # Identity of the sender's system; zero from nodes that have none.
  system @18 :UInt64;
  union {
    ping @7 :Void;
    ack @8 :Void;
    # Asks the receiver to ping this node on behalf of the sender.
    pingRequest :group {
      target @9 :UInt64;
      endpoint @10 :GossipEndpoint;
    }
    # Shares of limits, leased to the receiver, and needs of the sender. Has no content but sequence and sender.
    quotaRequest :group {
      owner @19 :UInt64;
      knownVms @20 :UInt32;
      # One bit for each half of a slot, first halves before second ones.
      leasedUnits @21 :UInt16;
      # On the clock of the receiver.
      leasedUntilUs @22 :Int64;
      wants @23 :List(QuotaWant);
    }
    # Answers the request with the same sequence number.
    quotaReply :group {
      receiver @24 :UInt64;
      clockUs @25 :Int64;
      shares @26 :List(QuotaShare);
      # One for each slot.
      issuedPermille @28 :List(UInt16);
    }
  }
}
