@0xd2a5c1b87f3e4096;
# Datagram by which an entry node reports its load on servers to the others.

struct Told {
  sender @0 :Text;        # name of the node
  sequence @1 :UInt64;    # increases with each datagram of a process
  loads @2 :List(Load);
}

struct Load {
  server @0 :Text;
  waitingMs @1 :UInt32;   # prefill time of requests that the server has not read yet
  active @2 :UInt32;      # requests at the server
}
