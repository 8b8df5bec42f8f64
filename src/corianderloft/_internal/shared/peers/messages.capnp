@0xb1f0c3d2a4e59687;
# Messages between entry hosts.

struct Envelope {
  # One message with a keyed hash of `body`.
  keyId @0 :UInt16;
  digest @1 :Data;
  body @2 :Data;
}

struct Member {
  hostId @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  callerPort @3 :UInt16;
  peerPort @4 :UInt16;
  failureDomain @5 :Text;
  state @6 :UInt8;
}

struct BackendNote {
  # A backend server announced `age` seconds ago that it is leaving.
  engineId @0 :Text;
  age @1 :Float32;
}

struct Datagram {
  kind @0 :UInt8;
  sender @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  target @4 :Text;
  configuration @5 :UInt64;
  platform @6 :UInt64;
  verifiedAge @7 :Float32;
  viewDigest @8 :UInt64;
  members @9 :List(Member);
  notes @10 :List(BackendNote);
}

struct Entry {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  removed @3 :Bool;
}

struct Fetch {
  # Request on a stream: the view, or all entries newer than `revision`.
  kind @0 :UInt8;
  nonce @1 :UInt64;
  revision @2 :UInt64;
}

struct Page {
  # Part of the response to a `Fetch`.
  nonce @0 :UInt64;
  revision @1 :UInt64;
  whole @2 :Bool;
  more @3 :Bool;
  entries @4 :List(Entry);
  members @5 :List(Member);
}
