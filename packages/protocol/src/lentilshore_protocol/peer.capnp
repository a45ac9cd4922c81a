@0xc2d07d5f6a1e4b93;
# Calls between nodes. Version 1. Fields are only ever added.

struct Incarnation {
  node @0 :Text;
  number @1 :UInt64;        # start time, milliseconds since the Unix epoch
}

struct Member {
  incarnation @0 :Incarnation;
  dataCentre @1 :Text;
  host @2 :Text;            # IP number of the peer listener
  port @3 :UInt16;
  state @4 :State;
  refutation @5 :UInt32;

  enum State {
    alive @0;
    suspect @1;
    dead @2;
    left @3;
  }
}

struct Delta {
  record @0 :Data;          # JSON of one configuration delta
}

struct Configuration {
  revision @0 :UInt64;
  ageMs @1 :Int64;          # age of the platform's last confirmation, -1 for none
  deltas @2 :List(Delta);   # deltas after the receiver's revision, if kept
  snapshot @3 :Data;        # JSON of all records, where the deltas are not kept
}

struct Document {
  name @0 :Text;
  version @1 :UInt64;
  record @2 :Data;          # JSON; empty where only the version is told
}

struct Exchange {
  sender @0 :Member;
  news @1 :List(Member);
  revision @2 :UInt64;
  configuration @3 :Configuration;
  documents @4 :List(Document);
}

interface Peer {
  exchange @0 (message :Exchange) -> (reply :Exchange);
  # Heartbeat, membership news, and whatever configuration the other side lacks.

  members @1 () -> (members :List(Member));
  # Every member known, for a node that joins.

  copyBills @2 (owner :Text, bills :Data, watermark :UInt64) -> ();
  # Holds copies of bills until their owner has written them to the store.

  releaseBills @3 (owner :Text) -> ();
  # Forgets the copies of an owner that has stopped in good order.

  explain @4 (request :Text) -> (record :Data);
  # JSON record of a request that the called node served; empty if unknown.
}
