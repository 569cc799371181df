@0xe2a94d7c3b5081f7;
# Requests that targets died of, between entry instances.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct SuspectNotice {
  fingerprint @0 :Data;
  deaths @1 :List(UInt64);
}

struct SuspectCleared {
  fingerprint @0 :Data;
  deaths @1 :List(UInt64);
}

struct PermitRequest {
  fingerprint @0 :Data;
  request @1 :UInt64;
  deaths @2 :List(UInt64);
  runWithinUs @3 :Int64;
}

struct PermitAnswer {
  fingerprint @0 :Data;
  request @1 :UInt64;
  granted @2 :Bool;
  deaths @3 :List(UInt64);
}

struct PermitEnd {
  fingerprint @0 :Data;
  request @1 :UInt64;
}
