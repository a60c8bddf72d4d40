@0xb7d3a5c4e1f20867;

# What daemons that send to upstreams directly tell each other.

struct AccountDemand {
  account @0 :Text;
  requests @1 :UInt32;
}

struct KeyUse {
  service @0 :Text;
  keys @1 :List(UInt16);
  # Mean time of an answer that these requests took, in microseconds.
  latencyUs @2 :UInt32;
}

struct UpstreamUse {
  upstream @0 :Text;
  answers @1 :UInt32;
  # Latency against the route's mean, times 1000, summed over the answers.
  slownessSum @2 :UInt32;
}

struct RefusedSpan {
  service @0 :Text;
  key @1 :UInt16;
  epoch @2 :UInt64;
}

# From a daemon to the leader, several times a second.
struct Report {
  daemon @0 :Text;
  address @1 :Text;
  term @2 :UInt64;
  demand @3 :List(AccountDemand);
  keys @4 :List(KeyUse);
  upstreams @5 :List(UpstreamUse);
  refused @6 :List(RefusedSpan);
  storeReachable @7 :Bool;
}

struct Span {
  first @0 :UInt16;
  last @1 :UInt16;
  upstream @2 :UInt16;
  live @3 :Bool;
  epoch @4 :UInt64;
}

struct ServiceTable {
  service @0 :Text;
  upstreams @1 :List(Text);
  spans @2 :List(Span);
}

struct AccountShare {
  account @0 :Text;
  # Part of the account's allowance, in millionths.
  shareMillionths @1 :UInt32;
}

struct AccountTokens {
  account @0 :Text;
  # Thousandths of a token.
  tokens @1 :UInt32;
}

# From the leader, or from a daemon that passes it on.
struct Table {
  term @0 :UInt64;
  leader @1 :Text;
  leaderAddress @2 :Text;
  serial @3 :UInt64;
  daemons @4 :UInt32;
  storeReachable @5 :Bool;
  # Absent, with hasSpans false, when nothing has changed.
  hasSpans @6 :Bool;
  services @7 :List(ServiceTable);
  shares @8 :List(AccountShare);
  # How long ago the leader itself spoke, in milliseconds.
  ageMs @9 :UInt32;
  resigned @10 :Bool;
  # Of the store when config, upstreams and zones out last changed.
  newsRevisions @11 :List(UInt64);
  # What the leader may lend of each account.
  lendable @12 :List(AccountTokens);
}

# From whom a daemon follows, when something in the store has changed.
struct NewsChange {
  kind @0 :Text;
  sinceRevision @1 :UInt64;
  revision @2 :UInt64;
  # New and changed objects by name, as JSON.
  documents @3 :Data;
  gone @4 :List(Text);
}

# Asks a peer for what it has read in the store.
struct NewsQuery {
  configRevision @0 :UInt64;
  upstreamsRevision @1 :UInt64;
  zonesRevision @2 :UInt64;
}

# Objects as JSON; empty where the asker's revision is as new.
struct News {
  configRevision @0 :UInt64;
  config @1 :Data;
  upstreamsRevision @2 :UInt64;
  upstreams @3 :Data;
  zonesRevision @4 :UInt64;
  zones @5 :Data;
  ageMs @6 :UInt32;
}

struct Wish {
  account @0 :Text;
  tokens @1 :UInt16;
}

# Asks the leader for tokens of client accounts.
struct LoanQuery {
  wishes @0 :List(Wish);
}

struct Loan {
  account @0 :Text;
  tokens @1 :UInt16;
  waitMs @2 :UInt32;
}

struct Loans {
  loans @0 :List(Loan);
}
