@0xa1f4c9d27be30586;
# Traffic plans, rollouts and evacuations, and the roster of targets and entries.

using Cxx = import "/capnp/c++.capnp";
using Lease = import "lease.capnp";
$Cxx.namespace("mulberryrudder::schema::steering");

struct ServiceShare {
  service @0 :Text;
  part @1 :Int64;
}

struct Route {
  id @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  repeatable @3 :Bool;
  open @4 :Bool;
  sticky @5 :Bool;
  timeoutMs @6 :Int64;
  aimMs @7 :Int64;
  rank @8 :Int64;
  mostTargets @9 :Int64;
  services @10 :List(ServiceShare);
  homes @11 :List(Text);
}

struct Service {
  id @0 :Text;
  healthPath @1 :Text;
  mostConnections @2 :Int64;
  warmUpMs @3 :Int64;
  warmUpRate @4 :Int64;
}

struct Customer {
  id @0 :Text;
  keys @1 :List(Data);
  ranked @2 :Bool;
  rank @3 :Int64;
  rate @4 :Int64;
  burst @5 :Int64;
  homes @6 :List(Text);
}

struct Plan {
  number @0 :UInt64;
  routes @1 :List(Route);
  services @2 :List(Service);
  customers @3 :List(Customer);
  keyed @4 :Bool;
  mostHeader @5 :Int64;
  mostBody @6 :Int64;
  headerLimitMs @7 :Int64;
  idleLimitMs @8 :Int64;
  source @9 :Text;
}

struct Versions {
  service @0 :Text;
  base @1 :Text;
  next @2 :Text;
  share @3 :Int64;
  phase @4 :UInt8;
  durationMs @5 :Int64;
}

struct State {
  generation @0 :UInt64;
  hasPlan @1 :Bool;
  plan @2 :Plan;
  evacuated @3 :List(Text);
  versions @4 :List(Versions);
}

struct ReplacePlan {
  base @0 :UInt64;
  plan @1 :Plan;
  content @2 :Data;
}

struct PlanDifference {
  number @0 :UInt64;
  # For each element of the new list its index in the list of the base, or the bitwise complement
  # of its index among the changed ones.
  routeOrder @1 :List(Int32);
  changedRoutes @2 :List(Route);
  customerOrder @3 :List(Int32);
  changedCustomers @4 :List(Customer);
  services @5 :List(Service);
  keyed @6 :Bool;
  mostHeader @7 :Int64;
  mostBody @8 :Int64;
  headerLimitMs @9 :Int64;
  idleLimitMs @10 :Int64;
}

struct StateDifference {
  base @0 :UInt64;
  generation @1 :UInt64;
  hasPlan @2 :Bool;
  plan @3 :PlanDifference;
  evacuated @4 :List(Text);
  versions @5 :List(Versions);
}

struct SetEvacuation {
  domain @0 :Text;
  evacuated @1 :Bool;
}

struct StartRollout {
  service @0 :Text;
  version @1 :Text;
  durationMs @2 :Int64;
}

struct StepRollout {
  service @0 :Text;
  version @1 :Text;
  share @2 :Int64;
  phase @3 :UInt8;
}

struct NoteBaseVersion {
  service @0 :Text;
  version @1 :Text;
}

struct AcceptedPlan {
  number @0 :UInt64;
  content @1 :Data;
}

struct Snapshot {
  state @0 :State;
  accepted @1 :List(AcceptedPlan);
}

struct TargetNotice {
  id @0 :Text;
  start @1 :UInt64;
  sequence @2 :UInt64;
  service @3 :Text;
  where @4 :Lease.Endpoint;
  domain @5 :Text;
  version @6 :Text;
  capacity @7 :Int64;
  standing @8 :UInt8;
  coldForMs @9 :Int64;
  ageMs @10 :Int64;
}

struct Outcomes {
  service @0 :Text;
  version @1 :Text;
  answered @2 :UInt64;
  failed @3 :UInt64;
  late @4 :UInt64;
  broken @5 :UInt64;
  rollout @6 :Text;
}

struct CustomerNumber {
  customer @0 :Text;
  number @1 :Int64;
}

struct EntryNotice {
  who @0 :Lease.InstanceDescription;
  boot @1 :UInt64;
  sequence @2 :UInt64;
  ready @3 :Bool;
  ageMs @4 :Int64;
  unusedDemand @5 :List(CustomerNumber);
  outcomes @6 :List(Outcomes);
  partInUse @7 :UInt32;
}

struct UnchangedTarget {
  id @0 :Text;
  start @1 :UInt64;
  sequence @2 :UInt64;
}

struct UnchangedEntry {
  id @0 :UInt32;
  boot @1 :UInt64;
}

struct Exchange {
  who @0 :Lease.InstanceDescription;
  operators @1 :Lease.Endpoint;
  leads @2 :Bool;
  generation @3 :UInt64;
  wantsSteering @4 :Bool;
  hasSteering @5 :Bool;
  steering @6 :State;
  number @7 :UInt64;
  acknowledged @8 :UInt64;
  targets @9 :List(TargetNotice);
  entries @10 :List(EntryNotice);
  unusedOutcomes @11 :List(Outcomes);  # Sent in entry notices.
  control @12 :List(Lease.InstanceDescription);
  boot @13 :UInt64;
  acknowledgedBoot @14 :UInt64;
  wantsTargets @15 :Bool;
  hasAllTargets @16 :Bool;
  intact @17 :Bool;
  confirmed @18 :Bool;
  confirmedAgeMs @19 :Int64;
  heard @20 :List(UInt32);
  unchangedTargets @21 :List(UnchangedTarget);
  unchangedEntries @22 :List(UnchangedEntry);
  missedNotices @23 :Bool;
  keepsLeaves @24 :Bool;
  kept @25 :UInt64;
}

struct KeptRoster {
  intact @0 :Bool;
  targets @1 :List(TargetNotice);
  control @2 :List(Lease.InstanceDescription);
}

struct DepartedTarget {
  id @0 :Text;
  start @1 :UInt64;
}

struct Poll {
  self @0 :EntryNotice;
  generation @1 :UInt64;
  knownBoot @2 :UInt64;
  known @3 :UInt64;
  unusedOutcomes @4 :List(Outcomes);  # Sent in entry notices.
  held @5 :List(UInt64);
  searching @6 :Bool;
  wantsFleet @7 :Bool = true;
  takesDifference @8 :Bool;
  departed @9 :List(DepartedTarget);
}

struct Update {
  poll @0 :UInt64;
  boot @1 :UInt64;
  newest @2 :UInt64;
  hasSteering @3 :Bool;
  steering @4 :State;
  targets @5 :List(TargetNotice);
  control @6 :List(Lease.InstanceDescription);
  entriesInDomain @7 :UInt32;
  entries @8 :UInt32;
  unusedShares @9 :List(CustomerNumber);
  unusedDemand @10 :List(CustomerNumber);
  connected @11 :Bool;
  current @12 :Bool = true;
  confirmed @13 :Bool;
  confirmedAgeMs @14 :Int64;
  heldForMs @15 :Int64;
  hasFleet @16 :Bool = true;
  hasDifference @17 :Bool;
  difference @18 :StateDifference;
  entriesIncomplete @19 :Bool;
}

struct Probe {
  who @0 :Lease.InstanceDescription;
  boot @1 :UInt64;
  number @2 :UInt64;
}

struct ProbeReply {
  number @0 :UInt64;
  generation @1 :UInt64;
  connected @2 :Bool;
  current @3 :Bool;
}
