@0xe7b1f0a86c2d4395;
# Messages between the control instances and the records on their disks.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema::replica");

struct Command {
  kind @0 :UInt16;
  # Zero for an empty message; else it tells the struct type of the body.
  body @1 :AnyPointer;
}

struct LogEntry {
  term @0 :UInt64;
  index @1 :UInt64;
  command @2 :Command;
}

struct Endpoint {
  address @0 :Text;
  port @1 :UInt16;
}

struct Voter {
  id @0 :UInt32;
  disk @1 :UInt64;
  peer @2 :Endpoint;
}

struct Replacement {
  leaving @0 :UInt32;
  joining @1 :UInt32;
  peer @2 :Endpoint;
}

struct GroupMembership {
  group @0 :UInt64;
  voters @1 :List(Voter);
  pending @2 :List(Replacement);
}

struct StartRecord {
  instance @0 :UInt32;
  disk @1 :UInt64;
  nonce @2 :UInt64;
}

struct HardState {
  term @0 :UInt64;
  votedFor @1 :UInt32;
  # Zero for none: instances are numbered from 1.
  disk @2 :UInt64;
  ownStarts @3 :List(UInt64);
  starts @4 :List(StartRecord);
}

struct StateFile {
  state @0 :HardState;
  origin @1 :UInt64;
  # Of the file beside it that is never written again; differs in a copied folder.
}

struct Snapshot {
  term @0 :UInt64;
  index @1 :UInt64;
  members @2 :GroupMembership;
  parts @3 :List(Command);
}

struct LogRecord {
  # One record of a log segment.
  union {
    entry @0 :LogEntry;
    cutFrom @1 :UInt64;
    # All entries from this index on are void.
  }
}

struct AppendRequest {
  term @0 :UInt64;
  toDisk @1 :UInt64;
  round @2 :UInt64;
  previous @3 :UInt64;
  previousTerm @4 :UInt64;
  entries @5 :List(LogEntry);
  committed @6 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  disk @1 :UInt64;
  round @2 :UInt64;
  matched @3 :Bool;
  last @4 :UInt64;
}

struct RoundReceived {
  term @0 :UInt64;
  disk @1 :UInt64;
  round @2 :UInt64;
}

struct VoteRequest {
  term @0 :UInt64;
  toDisk @1 :UInt64;
  trial @2 :Bool;
  last @3 :UInt64;
  lastTerm @4 :UInt64;
  handedOver @5 :Bool;
}

struct LeadHandover {
  term @0 :UInt64;
  toDisk @1 :UInt64;
}

struct StopNotice {
}

struct StopPermission {
  granted @0 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  disk @1 :UInt64;
  trial @2 :Bool;
  granted @3 :Bool;
}

struct StartRequest {
  disk @0 :UInt64;
  starts @1 :List(UInt64);
  group @2 :UInt64;
  blank @3 :Bool;
  votes @4 :Bool;
}

struct StartReply {
  nonce @0 :UInt64;
  standing @1 :UInt8;
  disk @2 :UInt64;
  blank @3 :Bool;
  members @4 :GroupMembership;
  term @5 :UInt64;
}

struct SnapshotPiece {
  term @0 :UInt64;
  toDisk @1 :UInt64;
  round @2 :UInt64;
  baseTerm @3 :UInt64;
  baseIndex @4 :UInt64;
  members @5 :GroupMembership;
  position @6 :UInt32;
  count @7 :UInt32;
  part @8 :Command;
}

struct SnapshotReply {
  term @0 :UInt64;
  disk @1 :UInt64;
  round @2 :UInt64;
  baseIndex @3 :UInt64;
  next @4 :UInt32;
  installed @5 :Bool;
}

struct TermOpened {
}

struct MembershipChanged {
  members @0 :GroupMembership;
}
