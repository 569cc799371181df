@0xe9d1c3b25f80a472;
# Announcements of targets, passed on between entry instances.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct TargetAnnouncement {
  id @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  domain @3 :Text;
  version @4 :Text;
  routes @5 :List(Text);
  capacity @6 :Int64;
  mostConnections @7 :Int64;
  state @8 :UInt8;
  hasLoad @9 :Bool;
  busy @10 :Int64;
  total @11 :Int64;
}

struct TargetRelay {
  leased @0 :Bool;
  heard @1 :List(TargetAnnouncement);
}
