@0xd94c1f6ae0387b25;

# The messages by which daemons ask schedulers for upstreams' slots. All times
# are remaining times in microseconds.

# A group of upstreams. Its texts are indexes into the names of the message.
struct Group {
  service @0 :UInt16;
  zone @1 :UInt16;
  upstream @2 :UInt16;
  part @3 :UInt16;
}

struct Request {
  requestId @0 :UInt64;
  # An index into the groups of the message.
  group @1 :UInt16;
  priority @2 :UInt8;
  hasReturned @3 :Bool;
  onlyIfFree @4 :Bool;
  workUs @5 :UInt32;
  objectiveLeftUs @6 :Int32;
  timeLeftUs @7 :UInt32;
  bodyBytes @8 :UInt32;
  # Indexes into the names of the message.
  avoided @9 :List(UInt16);
  # A hash of the route's name; 0 if it is not told.
  routeId @10 :UInt32;
}

struct Release {
  requestId @0 :UInt64;
  group @1 :UInt16;
  # An index into the names of the message.
  upstream @2 :UInt16;
  outcome @3 :UInt8;
  # If hasLoad is false, the following figures are not set.
  hasLoad @4 :Bool;
  latencyUs @5 :UInt32;
  running @6 :Int32;
  waiting @7 :Int32;
  slowness @8 :Float32;
}

# Sent by a daemon to a scheduler.
struct Requests {
  names @0 :List(Text);
  groups @1 :List(Group);
  requests @2 :List(Request);
  releases @3 :List(Release);
}

struct Grant {
  requestId @0 :UInt64;
  # An index into the names of the message.
  upstream @1 :UInt16;
}

struct Refusal {
  requestId @0 :UInt64;
  reason @1 :UInt8;
  slots @2 :UInt16;
  requestsAhead @3 :UInt32;
  retryAfterUs @4 :UInt32;
  expectedWaitUs @5 :UInt32;
}

struct Queued {
  requestId @0 :UInt64;
  expectedWaitUs @1 :UInt32;
}

# Sent by a scheduler to a daemon.
struct Decisions {
  names @0 :List(Text);
  grants @1 :List(Grant);
  refusals @2 :List(Refusal);
  queued @3 :List(Queued);
}
