@0xd2a5c1b87f3e4096;
# Datagram by which an entry node reports loads on servers, what it has read of the
# platform's tables, and evidence of roll-outs, to other nodes.

struct Told {
  sender @0 :Text;        # name of the node
  sequence @1 :UInt64;    # increases with each datagram of a process
  loads @2 :List(Load);
  group @3 :Text;         # label of the group whose sum this is; empty: the sender's own loads
  tables @4 :List(Table);
  evidence @5 :List(Evidence);
  limits @6 :List(Limit);
  cutOff @7 :Bool;        # whether the sender has lost its links to servers
  brittle @8 :List(Limit);  # rejections per second from which servers fall over
  usage @9 :List(Usage);  # requests of workspaces in progress; of services that are ordered
}

struct Limit {
  server @0 :Text;
  perSecond @1 :Float32;  # requests of all nodes together; negative: no limit any more
  ageMs @2 :UInt32;       # time since the answer that said so
}

struct Load {
  server @0 :Text;
  waitingMs @1 :UInt32;   # prefill time of requests that the server has not read yet
  active @2 :UInt32;      # requests at the server
  recent @3 :UInt32;      # requests sent to it in the last seconds, if it has a limit
  rejected @4 :UInt32;    # requests that it rejected in the last second, if it is brittle
}

struct Table {
  name @0 :Text;
  version @1 :UInt64;     # version of the latest change that the sender knows
  unavailable @2 :Bool;   # whether the sender can't read the table
  era @3 :UInt64;         # grows with each restoration of the store; part of the version
}

struct Evidence {
  order @0 :Text;         # key of the roll-out's order
  report @1 :Text;        # the sender's evidence, as JSON
}

struct Usage {
  service @0 :Text;
  named @1 :List(Workspace);  # the largest workspaces
  others @2 :UInt32;          # requests of all others together
}

struct Workspace {
  name @0 :Text;
  requests @1 :UInt32;
}
