@0xd1a7c2b5e6f40913;

# One message between two daemons. The payload is a message of its own, whose
# schema the kind names; so each subsystem keeps its schema to itself.
struct Envelope {
  kind @0 :UInt16;
  # Pairs an answer with its question; 0 for a message that wants no answer.
  id @1 :UInt64;
  isAnswer @2 :Bool;
  sender @3 :Text;
  payload @4 :Data;
}
