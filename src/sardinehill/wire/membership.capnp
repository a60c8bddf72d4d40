@0xc5d0a14be83f7261;

# The messages between members about the member list.

struct Host {
  name @0 :Text;
  ip @1 :Text;
  port @2 :UInt16;
  availabilityZone @3 :Text;
  region @4 :Text;
  incarnation @5 :UInt64;
}

struct Alarm {
  reporter @0 :Text;
  subject @1 :Text;
  incarnation @2 :UInt64;
}

struct Heartbeat {
  probeId @0 :UInt64;
  expectedName @1 :Text;
  incarnation @2 :UInt64;
  digest @3 :UInt64;
}

struct HeartbeatAnswer {
  probeId @0 :UInt64;
  name @1 :Text;
  incarnation @2 :UInt64;
  digest @3 :UInt64;
  ageMs @4 :UInt32;
}

struct Leave {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct MemberMessage {
  union {
    heartbeat @0 :Heartbeat;
    heartbeatAnswer @1 :HeartbeatAnswer;
    alarms @2 :List(Alarm);
    join @3 :Host;
    leave @4 :Leave;
  }
}

# The three messages of the handshake; see core/peer_authentication.py.

struct Hello {
  name @0 :Text;
  expectedName @1 :Text;
  nonce @2 :Data;
  secretIds @3 :List(Data);
}

struct Welcome {
  name @0 :Text;
  nonce @1 :Data;
  secretId @2 :Data;
  proof @3 :Data;
}

struct HandshakeMessage {
  union {
    hello @0 :Hello;
    welcome @1 :Welcome;
    proof @2 :Data;
  }
}
