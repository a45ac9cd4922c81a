@0xe0a6b2f1c97d3845;
# Calls of operators. Version 1. Fields are only ever added.
# Records are JSON of the types in the documentation of records.

struct Record {
  key @0 :Text;             # kind/name
  value @1 :Data;           # JSON
}

struct Failure {
  kind @0 :Kind;
  message @1 :Text;
  problems @2 :List(Text);
  currentRevision @3 :UInt64;

  enum Kind {
    none @0;
    conflict @1;            # the change was made against an older revision
    invalid @2;             # a record does not fit its type
    forbidden @3;           # the key may not do this
    unavailable @4;         # the platform was not reached; nothing was changed
    ambiguous @5;           # repeat with the same change identifier to learn more
    notFound @6;
  }
}

struct Change {
  change @0 :Text;          # identifier, the same for a repeat
  revision @1 :UInt64;      # revision that the change was made against
  updated @2 :List(Record);
  removed @3 :List(Text);
}

interface Session {
  read @0 (kind :Text) -> (revision :UInt64, records :List(Record));
  # Records of a kind, all kinds if empty, as in force on this node.

  change @1 (change :Change) -> (revision :UInt64, failure :Failure);
  # Makes a change once; needs a key that may change.

  status @2 () -> (record :Data);
  # JSON of what this node knows of itself and of the fleet.

  watch @3 (afterRevision :UInt64, timeoutMs :UInt32) -> (revision :UInt64);
  # Returns once a newer revision is in force on this node, or at the timeout.

  explain @4 (request :Text) -> (record :Data, failure :Failure);
  # JSON of how a request was served.

  bills @5 () -> (record :Data, failure :Failure);
  # JSON of totals by customer and upstream.

  rollout @6 (model :Text) -> (record :Data, failure :Failure);
  # JSON of a roll-out's record, exposure and evidence.
}

interface Operators {
  login @0 (key :Text) -> (session :Session, mayChange :Bool, failure :Failure);
}
