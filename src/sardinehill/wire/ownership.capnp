@0xe5c1d7a90b3f2648;

# A controller's request that a member vote for its term, or seal it.
struct VouchQuery {
  service @0 :Text;
  term @1 :UInt64;
  seal @2 :Bool;
}

struct VouchAnswer {
  granted @0 :Bool;
  highestTerm @1 :UInt64;
  # Whether highestTerm is at least as high as any term that the voter sealed.
  primed @2 :Bool;
  # Milliseconds since the voter may last have voted for a lower term.
  vouchedAgoMs @3 :UInt64;
}

struct ShardRange {
  first @0 :Int32;
  last @1 :Int32;
}

struct ShardCount {
  shard @0 :Int32;
  count @1 :UInt32;
}

struct KeyCount {
  key @0 :Text;
  count @1 :UInt32;
}

# Makes a daemon the gateway of an upstream, or ends this role. Sent by a
# controller.
struct GatewayGrant {
  service @0 :Text;
  upstream @1 :Text;
  daemon @2 :Text;
  term @3 :UInt64;
  sequence @4 :UInt64;
  shards @5 :List(ShardRange);
  hotKeys @6 :List(Text);
  exceptKeys @7 :List(Text);
  ttlMs @8 :UInt32;
  incarnation @9 :Text;
  stampMs @10 :UInt64;
}

struct GatewayAnswer {
  accepted @0 :Bool;
  term @1 :UInt64;
  sequence @2 :UInt64;
  incarnation @3 :Text;
  clockMs @4 :UInt64;
  runningOutside @5 :UInt32;
  # Requests since the previous answer.
  shardCounts @6 :List(ShardCount);
  keyCounts @7 :List(KeyCount);
}
