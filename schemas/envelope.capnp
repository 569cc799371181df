@0xb1a5d0c2f3e49701;
# How a message travels between two instances of the system.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mulberryrudder::schema");

struct Envelope {
  from @0 :UInt32;
  to @1 :UInt32;
  kind @2 :UInt16;
  # Tells the struct type of the body; numbers are never reused.
  body @3 :AnyPointer;
}

interface Mailbox {
  # Offered by each instance to the others. Delivery is at most once; what a
  # message expects in answer is a message of its own.
  deliver @0 (message :Envelope) -> ();
}
