@0xa7e4c9102d5b3f68;
# Commands of the replicated log that change the fleet's state, and that state as
# a part of a snapshot.

using Cxx = import "/capnp/c++.capnp";
using Config = import "config.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct CustomerKeys {
  customer @0 :Text;
  keys @1 :List(Data);
}

struct MoveTerms {
  version @0 :Text;
  cap @1 :UInt16;
  # Per mille.
  deadline @2 :Int64;
  # Microseconds since the Unix epoch.
}

struct RouteMove {
  route @0 :Text;
  terms @1 :MoveTerms;
}

struct CustomerChange {
  id @0 :Text;
  hasRate @1 :Bool;
  rate @2 :Int64;
  hasBurst @3 :Bool;
  burst @4 :Int64;
  hasHome @5 :Bool;
  home @6 :Text;
}

struct RouteChange {
  id @0 :Text;
  hasOpen @1 :Bool;
  open @2 :Bool;
  hasIdempotent @3 :Bool;
  idempotent @4 :Bool;
  hasCustomers @5 :Bool;
  customers @6 :List(Text);
  hasVersion @7 :Bool;
  version @8 :Text;
}

struct MoveChange {
  route @0 :Text;
  hasCap @1 :Bool;
  cap @2 :UInt16;
  hasDeadline @3 :Bool;
  deadline @4 :Int64;
}

struct ReleaseNote {
  number @0 :UInt64;
  hasBase @1 :Bool;
  basedOn @2 :UInt64;
  comment @3 :Text;
  addCustomers @4 :List(Config.CustomerConfig);
  addKeys @5 :List(CustomerKeys);
  addRoutes @6 :List(Config.RouteConfig);
  addMoves @7 :List(RouteMove);
  addLinks @8 :List(Config.LinkCap);
  changeCustomers @9 :List(CustomerChange);
  changeRoutes @10 :List(RouteChange);
  changeMoves @11 :List(MoveChange);
  changeLinks @12 :List(Config.LinkCap);
  withdrawCustomers @13 :List(Text);
  withdrawKeys @14 :List(Text);
  withdrawRoutes @15 :List(Text);
  withdrawMoves @16 :List(Text);
  withdrawLinks @17 :List(Config.LinkCap);
}

struct CommitNote {
  note @0 :ReleaseNote;
  content @1 :Data;
}

struct MoveKey {
  route @0 :Text;
  note @1 :UInt64;
}

struct StepMove {
  move @0 :MoveKey;
  share @1 :UInt16;
}

struct EndMove {
  move @0 :MoveKey;
  outcome @1 :UInt8;
  evidence @2 :Text;
}

struct SetDraining {
  instance @0 :UInt32;
  draining @1 :Bool;
}

struct SetQuarantine {
  fingerprint @0 :Data;
  quarantined @1 :Bool;
}

struct MoveOrder {
  route @0 :Text;
  terms @1 :MoveTerms;
  note @2 :UInt64;
  from @3 :Text;
  since @4 :UInt64;
}

struct EndedMove {
  order @0 :MoveOrder;
  end @1 :EndMove;
  ended @2 :UInt64;
}

struct NoteRecord {
  number @0 :UInt64;
  content @1 :Data;
  generation @2 :UInt64;
  comment @3 :Text;
}

struct FleetSnapshot {
  config @0 :Config.FleetConfig;
  moves @1 :List(MoveOrder);
  notes @2 :List(NoteRecord);
  forgotten @3 :UInt64;
  ended @4 :List(EndedMove);
}
