@0xb31f0c9a6f5e27d4;
# Messages between entry nodes. Every frame is a four-byte little-endian
# length followed by one Envelope, which is not packed.

struct Envelope {
  protocol @0 :UInt16;      # version of this schema
  sender @1 :Text;          # name of the sending node
  callId @2 :UInt64;        # shared by a request and its reply; 0: one-way
  isReply @3 :Bool;
  body :union {
    heartbeat @4 :Heartbeat;
    configHead @5 :ConfigHead;
    snapshotRequest @6 :SnapshotRequest;
    snapshotReply @7 :SnapshotReply;
    billEntries @8 :BillEntries;
    billAck @9 :BillAck;
    permitRequest @10 :PermitRequest;
    permitReply @11 :PermitReply;
    crashReport @12 :CrashReport;
    serverReport @13 :ServerReport;
    evidence @14 :Evidence;
    failure @15 :Text;      # reply of a peer that could not serve the request
  }
}

struct Heartbeat {
  zone @0 :Text;
  address @1 :Text;
  bootId @2 :Text;
  sequence @3 :UInt64;
  generation @4 :UInt64;
  digest @5 :Text;
  leaving @6 :Bool;
  confirmedAgeMs @7 :UInt32 = 4294967295;  # the default means never
  nodes @8 :UInt16;         # nodes known to the sender; 0: it takes no share
}

struct ConfigHead {
  generation @0 :UInt64;
  digest @1 :Text;
}

struct SnapshotRequest {
  digest @0 :Text;
}

struct SnapshotReply {
  digest @0 :Text;
  data @1 :Data;
}

struct BillEntry {
  workspace @0 :Text;
  requestKey @1 :Text;
  requestId @2 :Text;
  subject @3 :Text;
  steps @4 :List(Text);
  inputTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  cost @7 :UInt64;
  answeredAt @8 :Float64;
  node @9 :Text;
}

struct BillEntries {
  partition @0 :UInt16;
  entries @1 :List(BillEntry);
  purpose @2 :Purpose;
  partitions @3 :List(UInt16);  # one for each entry; empty: partition
  enum Purpose {
    write @0;               # append to the ledger; acknowledge when durable
    hold @1;                # keep a copy until it is released
    release @2;             # drop the copies; they are durable in the ledger
    collect @3;             # forward them to the partition's writer
  }
}

struct BillAck {
  accepted @0 :UInt32;
}

struct PermitRequest {
  server @0 :Text;
  bootId @1 :Text;
  count @2 :UInt16;
  release @3 :Bool;
  fencing @4 :UInt64;       # of the grant whose permits are returned
}

struct PermitReply {
  server @0 :Text;
  granted @1 :UInt16;
  fencing @2 :UInt64;
  ttlMs @3 :UInt32;
}

struct CrashReport {
  fingerprint @0 :Text;
  server @1 :Text;
  bootId @2 :Text;
}

struct ServerReport {
  server @0 :Text;
  bootId @1 :Text;
  running @2 :UInt32;
  waiting @3 :UInt32;
  tokenMs @4 :Float32;
  ageMs @5 :UInt32;
}

struct Evidence {
  subject @0 :Text;         # cascade class or roll-out
  version @1 :Text;
  window @2 :UInt64;
  successes @3 :UInt32;
  failures @4 :UInt32;
  total @5 :Float64;        # sum of ratings
  squares @6 :Float64;      # sum of squared ratings
  rated @7 :UInt32;
}
