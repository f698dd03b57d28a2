@0xd2a5c1b87f3e4096;
# Datagram by which an entry node tells the others its load on servers.

struct Told {
  sender @0 :Text;        # name of the node
  sequence @1 :UInt64;    # grows with each datagram of one start
  loads @2 :List(Load);
}

struct Load {
  server @0 :Text;
  waitingMs @1 :UInt32;   # reading that the server has not done yet
  active @2 :UInt32;      # requests at the server
}
