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
}
