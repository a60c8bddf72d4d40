@0xd1a7c2b5e6f40913;

# One message between two daemons. The payload is a separate message, whose
# schema follows from the kind, so that each subsystem has its own schema.
struct Envelope {
  kind @0 :UInt16;
  # Matches an answer to its request; 0 for a message without an answer.
  id @1 :UInt64;
  isAnswer @2 :Bool;
  sender @3 :Text;
  payload @4 :Data;
}
