@0xe84a17c3f52d960b;
# How entries ask control to admit requests of customers with a rate.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema::quota");

struct Wanted {
  customer @0 :Text;
  requests @1 :UInt32;
}

struct Question {
  number @0 :UInt64;
  wanted @1 :List(Wanted);
  relayed @2 :Bool;
  spent @3 :List(Wanted);
  hasPart @4 :Bool;
  part @5 :UInt32;
  expected @6 :List(Wanted);
  usedAhead @7 :List(Wanted);
  forwarded @8 :Bool;
}

struct Grant {
  customer @0 :Text;
  admitted @1 :UInt32;
  retryAfterMs @2 :Int64;
  ahead @3 :UInt32;
}

struct Answer {
  number @0 :UInt64;
  grants @1 :List(Grant);
  hasPressed @2 :Bool;
  pressed @3 :List(Text);
  aheadLifetimeMs @4 :Int64;
}
