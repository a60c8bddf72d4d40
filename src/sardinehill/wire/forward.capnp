@0xb83e5fd2a9c10476;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardRequest {
  requestId @0 :Text;
  service @1 :Text;
  key @2 :Text;
  account @3 :Text;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  deadlineMs @8 :UInt32;
  upstream @9 :Text;
  assignmentVersion @10 :UInt64;
  idempotencyKey @11 :Text;
}

struct ForwardAnswer {
  requestId @0 :Text;
  verdict @1 :Text;
  reason @2 :Text;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
  retryAfterMs @6 :UInt32;
  detail @7 :Text;
  # The upstream's load according to its gateway. Daemons select the upstreams
  # of later requests by it.
  waitingRequests @8 :UInt16;
  latencyUs @9 :UInt32;
  limitRequests @10 :UInt16;
}

# Sent by the new gateway of an upstream to the previous one, which then stops
# sending to the upstream.
struct LaneQuestion {
  upstream @0 :Text;
  # The version of the assignment that names the new gateway.
  assignmentVersion @1 :UInt64;
}

# The previous gateway's answer. If known is false, it has no state to hand over.
struct LaneHandover {
  known @0 :Bool;
  incarnation @1 :Text;
  limitRequests @2 :UInt16;
  inFlight @3 :UInt16;
  inFlightMs @4 :UInt32;
  usualLatencyUs @5 :UInt32;
}
