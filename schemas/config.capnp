@0xd3a0f6c1b28e4f17;
# The configuration of the fleet, as it travels in leases and snapshots.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct CustomerConfig {
  id @0 :Text;
  rate @1 :Int64;
  # Millitokens per second.
  burst @2 :Int64;
  # Millitokens.
  home @3 :Text;
  keys @4 :List(Data);
  # SHA-256 digests of 32 bytes.
}

struct RouteConfig {
  id @0 :Text;
  open @1 :Bool;
  idempotent @2 :Bool;
  customers @3 :List(Text);
  version @4 :Text;
  next @5 :Text;
  nextShare @6 :UInt16;
  # Per mille.
}

struct LinkCap {
  from @0 :Text;
  to @1 :Text;
  cap @2 :Int64;
  # Bytes per second.
}

struct FleetConfig {
  generation @0 :UInt64;
  customers @1 :List(CustomerConfig);
  routes @2 :List(RouteConfig);
  linkCaps @3 :List(LinkCap);
  quarantined @4 :List(Data);
  # SHA-256 digests of 32 bytes.
  draining @5 :List(UInt32);
}
