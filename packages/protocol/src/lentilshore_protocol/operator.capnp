@0xe0a6b2f1c97d3845;
# Calls from operators. Version 1. Fields are added, never changed or removed.
# Records are JSON of the types that the documentation of records describes.

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
    forbidden @3;           # the key does not permit the call
    unavailable @4;         # the platform was unreachable; nothing was changed
    ambiguous @5;           # outcome unknown; retry with the same change identifier
    notFound @6;
  }
}

struct Change {
  change @0 :Text;          # identifier, the same for a retry
  revision @1 :UInt64;      # revision that the change was made against
  updated @2 :List(Record);
  removed @3 :List(Text);
}

interface Session {
  read @0 (kind :Text) -> (revision :UInt64, records :List(Record));
  # Returns the records of a kind, or of all kinds if empty, in force on this node.

  change @1 (change :Change) -> (revision :UInt64, failure :Failure);
  # Applies a change once, however often it is retried; needs a key that may change.

  status @2 () -> (record :Data);
  # Returns JSON of what this node knows of itself and of the fleet.

  watch @3 (afterRevision :UInt64, timeoutMs :UInt32) -> (revision :UInt64);
  # Returns once a newer revision is in force on this node, or at the timeout.

  explain @4 (request :Text) -> (record :Data, failure :Failure);
  # Returns JSON of how a request was served.

  bills @5 () -> (record :Data, failure :Failure);
  # Returns JSON of the billed totals by customer and upstream.

  rollout @6 (model :Text) -> (record :Data, failure :Failure);
  # Returns JSON of a roll-out's record, exposure and evidence.
}

interface Operators {
  login @0 (key :Text) -> (session :Session, mayChange :Bool, failure :Failure);
}
