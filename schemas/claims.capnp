@0xd7b1c6a49e5f2031;
# Claims on non-idempotent requests, between entry instances.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct StoredField {
  name @0 :Text;
  value @1 :Text;
}

struct StoredReply {
  status @0 :UInt16;
  fields @1 :List(StoredField);
  body @2 :Data;
}

struct ClaimHolder {
  instance @0 :UInt32;
  boot @1 :UInt64;
  request @2 :UInt64;
}

enum ClaimState {
  inProgress @0;
  finished @1;
  replyDropped @2;
  mayHaveRun @3;
  released @4;
}

struct ClaimRecord {
  id @0 :Data;
  customer @1 :Text;
  fingerprint @2 :Data;
  holder @3 :ClaimHolder;
  state @4 :ClaimState;
  content @5 :StoredReply;
  runWithinUs @6 :Int64;
  expiresInUs @7 :Int64;
}

struct ClaimRequest {
  wanted @0 :ClaimRecord;
  keepers @1 :List(UInt32);
  keyAgeUs @2 :Int64;
}

enum ClaimAnswerKind {
  granted @0;
  held @1;
  otherContent @2;
  unsettled @3;
}

struct ClaimAnswer {
  id @0 :Data;
  holder @1 :ClaimHolder;
  kind @2 :ClaimAnswerKind;
  known @3 :ClaimState;
  content @4 :StoredReply;
}

struct ClaimEnd {
  record @0 :ClaimRecord;
}

struct ClaimEndAck {
  id @0 :Data;
  holder @1 :ClaimHolder;
}

struct ClaimsPull {
  boot @0 :UInt64;
  after @1 :Data;
}

struct ClaimsPage {
  boot @0 :UInt64;
  after @1 :Data;
  records @2 :List(ClaimRecord);
  more @3 :Bool;
  next @4 :Data;
  settledForUs @5 :Int64;
  view @6 :Data;
}
