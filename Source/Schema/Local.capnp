# What a target and the node beside it exchange as JSON over loopback HTTP.
@0xe7c1b0f0a3d45c92;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Berylport::Schema");

struct Announcement {
  service @0 :Text;
  port @1 :UInt16;
  slots @2 :UInt16;
  # starting, ready or draining.
  state @3 :Text;
}

# Body of GET /health at the target.
struct HealthReport {
  healthy @0 :Bool = true;
}
