@0xa9e6c3710d52bf48;

# The messages that replicate the store's objects between members.

struct Notice {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
}

struct Item {
  notice @0 :Notice;
  # Compressed with zlib if that makes it shorter; see isCompressed.
  body @1 :Data;
  deleted @2 :Bool;
  isCompressed @3 :Bool;
}

struct NewsMessage {
  union {
    notices @0 :List(Notice);
    # As `notices`, but with the versions of all items that the sender has.
    everything @1 :List(Notice);
    # Requests the bodies of these items.
    want @2 :List(Notice);
    bodies @3 :List(Item);
  }
}
