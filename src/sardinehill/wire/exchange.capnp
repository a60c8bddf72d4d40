@0xc7d1f08a54b6e239;

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct ExchangeRequest {
  upstream @0 :Text;
  startedAtMs @1 :UInt64;
  requestId @2 :Data;
  data @3 :Data;
  isHead @4 :Bool;
  needsNewConnection @5 :Bool;
  remainingUs @6 :UInt64;
  serviceTimeUs @7 :UInt32;
  # The sender's clock, which the receiver compares among messages of one link.
  writtenUs @8 :UInt64;
}

struct ExchangeResult {
  union {
    answer @0 :UpstreamAnswer;
    notSent @1 :NotSent;
    broken @2 :Broken;
  }
}

struct UpstreamAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  endsWithConnection @3 :Bool;
}

struct NotSent {
  reason @0 :Text;
  retryAfterUs @1 :UInt64;
}

struct Broken {
  detail @0 :Text;
  responseStarted @1 :Bool;
  wasReset @2 :Bool;
  wasNewConnection @3 :Bool;
}

struct ForwardingStatus {
  # Why the sender would not send a request now; empty if it would.
  refusal @0 :Text;
  # The sender's availability zone.
  zone @1 :Text;
}
