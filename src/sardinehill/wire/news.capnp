@0xa9e6c3710d52bf48;

# Versions of the store's objects, and their bodies.

struct Notice {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
}

struct Item {
  notice @0 :Notice;
  # Compressed by zlib when that is shorter.
  body @1 :Data;
  deleted @2 :Bool;
  isCompressed @3 :Bool;
}

struct NewsMessage {
  union {
    notices @0 :List(Notice);
    # As `notices`, but these are all that the sender has.
    everything @1 :List(Notice);
    want @2 :List(Notice);
    bodies @3 :List(Item);
  }
}
