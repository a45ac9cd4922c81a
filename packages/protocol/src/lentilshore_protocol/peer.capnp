@0xc2d07d5f6a1e4b93;
# Calls between nodes. Version 1. Fields are added, never changed or removed.

struct Incarnation {
  node @0 :Text;
  number @1 :UInt64;        # start time, milliseconds since the Unix epoch
}

struct Member {
  incarnation @0 :Incarnation;
  dataCentre @1 :Text;
  host @2 :Text;            # IP address of the peer listener
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
  ageMs @1 :Int64;          # milliseconds since the platform confirmed it, -1 if never
  deltas @2 :List(Delta);   # deltas after the receiver's revision, if still kept
  snapshot @3 :Data;        # JSON of all records, if the deltas are no longer kept
}

struct Document {
  name @0 :Text;
  version @1 :UInt64;
  record @2 :Data;          # JSON; empty if only the version is announced
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
  # Heartbeat, membership updates, and the configuration that the receiver lacks.

  members @1 () -> (members :List(Member));
  # Returns every known member to a node that joins.

  copyBills @2 (owner :Text, bills :Data, watermark :UInt64) -> ();
  # Keeps copies of bills until their owner has written them to the store.

  releaseBills @3 (owner :Text) -> ();
  # Deletes the copies of an owner that has drained and written its bills.

  explain @4 (request :Text) -> (record :Data);
  # Returns the JSON record of a request that this node served; empty if unknown.
}
