@0xc4a80d5e1b7f6a31;
# Requests that one entry instance sends to another.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct SpillField {
  name @0 :Text;
  value @1 :Text;
}

struct SpillRequest {
  id @0 :UInt64;
  customer @1 :Text;
  key @2 :Data;
  # 32 bytes; empty if no key came with the request.
  route @3 :Text;
  version @4 :Text;
  repeatable @5 :Bool;
  hasIdempotencyKey @6 :Bool;
  idempotencyKey @7 :Text;
  client @8 :Data;
  # 16 bytes.
  remainingMicroseconds @9 :Int64;
  method @10 :UInt8;
  path @11 :Text;
  fields @12 :List(SpillField);
  body @13 :Data;
}

struct SpillReply {
  id @0 :UInt64;
  answered @1 :Bool;
  run @2 :UInt8;
  retryAfterMilliseconds @3 :Int64 = -1;
  # Negative if it is not known.
  status @4 :UInt16;
  fields @5 :List(SpillField);
  body @6 :Data;
}

struct SpillCancel {
  id @0 :UInt64;
}
