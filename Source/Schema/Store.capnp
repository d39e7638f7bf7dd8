# Messages of the platform's table service and object store (JSON over HTTP), and the records that Berylport
# keeps in table rows.
@0xdc60285fd53bce1e;

using Cxx = import "/capnp/c++.capnp";
using Json = import "/capnp/compat/json.capnp";

$Cxx.namespace("Berylport::StoreSchema");

struct KeyRequest {
  key @0 :Text;
}

struct Row {
  key @0 :Text;
  value @1 :Data $Json.base64;
  version @2 :UInt64;
}

struct ScanRequest {
  prefix @0 :Text;
  limit @1 :UInt32;
  # Only keys greater than this one are returned.
  after @2 :Text;
}

struct ScanReply {
  rows @0 :List(Row);
  # More keys with this prefix follow.
  hasMore @1 :Bool;
}

struct Check {
  enum Requirement {
    any @0;
    absent @1;
    versionEquals @2;
  }
  key @0 :Text;
  requirement @1 :Requirement;
  version @2 :UInt64;
}

struct Put {
  key @0 :Text;
  value @1 :Data $Json.base64;
}

struct TransactRequest {
  # Client request token: a repeated transaction gets the first one's result and changes nothing.
  token @0 :Text;
  checks @1 :List(Check);
  puts @2 :List(Put);
  deletes @3 :List(Text);
}

struct TransactReply {
  # New version of each put row, in the order of the puts.
  versions @0 :List(UInt64);
}

struct ObjectPut {
  name @0 :Text;
  bytes @1 :Data $Json.base64;
}

struct ObjectBytes {
  bytes @0 :Data $Json.base64;
}

struct Empty {}

# Body of every answer whose status is not 200.
struct Failure {
  enum Code {
    unavailable @0;
    timeout @1;
    conflict @2;
    notFound @3;
    malformed @4;
    throttled @5;
  }
  code @0 :Code;
  key @1 :Text;
  versionFound @2 :UInt64;
  retryAfterMs @3 :UInt32;
  text @4 :Text;
}

# Body of POST /control of the stand-ins. It replaces all fault settings.
struct FaultControl {
  enum Down {
    up @0;
    # Accepts connections and closes them without an answer.
    close @1;
    # Does not listen.
    refuse @2;
  }
  down @0 :Down;
  # Delay of each answer.
  slowMs @1 :UInt32;
  # Number of next writes that are applied but not answered.
  dropNext @2 :UInt32;
  # Share of writes that are applied but not answered.
  dropRate @3 :Float64;
  # Share of requests that are answered lateMs later.
  lateRate @4 :Float64;
  lateMs @5 :UInt32;
  # Late requests are also applied late, not only answered late.
  isAppliedLate @6 :Bool;
  writesPerSecond @7 :Float64 = 400;
  readsPerSecond @8 :Float64 = 2000;
}

# Answer to GET /counters of the stand-ins.
struct StoreCounters {
  reads @0 :UInt64;
  # A transaction is one write.
  writes @1 :UInt64;
  rowsWritten @2 :UInt64;
  repeatedTokens @3 :UInt64;
  conflicts @4 :UInt64;
  throttled @5 :UInt64;
  dropped @6 :UInt64;
  refused @7 :UInt64;
  malformed @8 :UInt64;
}

# Value of a lease row.
struct LeaseRecord {
  # Zero when the lease has been released.
  holder @0 :UInt64;
  fencingToken @1 :UInt64;
  durationUs @2 :Int64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

# Value of the row of a patient action.
struct ActionRecord {
  enum State {
    accepted @0;
    running @1;
    done @2;
    inDoubt @3;
  }
  state @0 :State;
  service @1 :Text;
  tenant @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Header);
  body @6 :Data $Json.base64;
  # Name of the object that holds the body; empty when the body is in the row.
  bodyObject @7 :Text;
  fingerprint @8 :Text;
  deduplicates @9 :Bool;
  # Attempts claimed so far, including the current one.
  attempts @10 :UInt32;
  # The following four describe the current attempt.
  fencingToken @11 :UInt64;
  node @12 :UInt64;
  callOrigin @13 :UInt64;
  callSequence @14 :UInt64;
  deadlineUnixMs @15 :Int64;
  # The following describe the end.
  finishedUnixMs @16 :Int64;
  status @17 :UInt16;
  reason @18 :Text;
  resultHeaders @19 :List(Header);
  result @20 :Data $Json.base64;
  resultObject @21 :Text;
}
