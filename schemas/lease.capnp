@0x9c1f5be0d7a24863;
# What entries and control say to each other about leases, rates and headroom.
# Times are microseconds that are left, never points in time.

using Cxx = import "/capnp/c++.capnp";
using Config = import "config.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

struct InstanceDescription {
  id @0 :UInt32;
  region @1 :Text;
  domain @2 :Text;
  peer @3 :Endpoint;
  caller @4 :Endpoint;
}

struct ConfigDelta {
  base @0 :UInt64;
  changed @1 :Config.FleetConfig;
  # Only what is new or different.
  customersGone @2 :List(Text);
  routesGone @3 :List(Text);
  linkCapsGone @4 :List(Config.LinkCap);
  quarantineLifted @5 :List(Data);
  drainingEnded @6 :List(UInt32);
}

struct CustomerDemand {
  customer @0 :Text;
  wanted @1 :Int64;
  heldRate @2 :Int64;
  heldBurst @3 :Int64;
  returned @4 :Int64;
}

struct VersionObservation {
  route @0 :Text;
  version @1 :Text;
  answered @2 :Int64;
  failed @3 :Int64;
  latencySum @4 :Int64;
  latencyWorst @5 :Int64;
  tripped @6 :Bool;
}

struct DomainLoad {
  domain @0 :Text;
  usable @1 :Int64;
  busy @2 :Int64;
}

struct RenewRequest {
  sequence @0 :UInt64;
  boot @1 :UInt64;
  highestTerm @2 :UInt64;
  held @3 :UInt64;
  self @4 :InstanceDescription;
  stopping @5 :Bool;
  demand @6 :List(CustomerDemand);
  observations @7 :List(VersionObservation);
  load @8 :List(DomainLoad);
  suspects @9 :List(Data);
  accepted @10 :UInt64;
  members @11 :UInt64;
  adopted @12 :List(Text);
}

struct RateSlice {
  customer @0 :Text;
  rate @1 :Int64;
  burst @2 :Int64;
  initial @3 :Int64;
}

struct HeadroomGrant {
  to @0 :Text;
  running @1 :Int64;
}

struct Member {
  where @0 :InstanceDescription;
  live @1 :Bool;
  stopping @2 :Bool;
}

struct DomainFree {
  domain @0 :Text;
  free @1 :Int64;
}

struct LeaseGrant {
  sequence @0 :UInt64;
  term @1 :UInt64;
  validFor @2 :Int64;
  generation @3 :UInt64;
  config @4 :Config.FleetConfig;
  # Absent if the entry holds the newest or gets a delta.
  delta @5 :ConfigDelta;
  slices @6 :List(RateSlice);
  headroom @7 :List(HeadroomGrant);
  members @8 :List(Member);
  adopted @9 :List(Text);
  membersBase @10 :UInt64;
  membersNow @11 :UInt64;
  membersGone @12 :List(UInt32);
  free @13 :List(DomainFree);
}

struct NotLeader {
  sequence @0 :UInt64;
  term @1 :UInt64;
  hasLeader @2 :Bool;
  leader @3 :UInt32;
}

struct ConfigPush {
  term @0 :UInt64;
  config @1 :Config.FleetConfig;
  delta @2 :ConfigDelta;
  relay @3 :Bool;
}

struct BorrowRequest {
  sequence @0 :UInt64;
  customer @1 :Text;
  wanted @2 :Int64;
  boot @3 :UInt64;
  needed @4 :Int64;
  settled @5 :UInt64;
}

struct BorrowGrant {
  sequence @0 :UInt64;
  term @1 :UInt64;
  customer @2 :Text;
  lent @3 :Int64;
  validFor @4 :Int64;
}
