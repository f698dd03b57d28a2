@0xd2a5c1b87f3e4097;
# Datagrams of the builds before speeds of servers were reported.

struct Told {
  sender @0 :Text;
  sequence @1 :UInt64;
  loads @2 :List(Load);
  group @3 :Text;
  tables @4 :List(Table);
  evidence @5 :List(Evidence);
  limits @6 :List(Limit);
  cutOff @7 :Bool;
  brittle @8 :List(Limit);
}
struct Limit { server @0 :Text; perSecond @1 :Float32; ageMs @2 :UInt32; }
struct Load {
  server @0 :Text;
  waitingMs @1 :UInt32;
  active @2 :UInt32;
  recent @3 :UInt32;
  rejected @4 :UInt32;
}
struct Table {
  name @0 :Text;
  version @1 :UInt64;
  unavailable @2 :Bool;
  era @3 :UInt64;
}
struct Evidence { order @0 :Text; report @1 :Text; }
