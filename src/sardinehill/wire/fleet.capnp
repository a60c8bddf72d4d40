@0xb7d3a5c4e1f20867;

# The messages between daemons that send to upstreams directly.

struct AccountDemand {
  account @0 :Text;
  requests @1 :UInt32;
}

struct KeyUse {
  service @0 :Text;
  keys @1 :List(UInt16);
  # The mean service time of these requests at an upstream of usual speed, in
  # microseconds.
  latencyUs @2 :UInt32;
}

struct UpstreamUse {
  upstream @0 :Text;
  answers @1 :UInt32;
  # The sum over the answers of 1000 times the upstream's slowness.
  slownessSum @2 :UInt32;
}

# A key for which an upstream refused a request as not its owner.
struct RefusedSpan {
  service @0 :Text;
  key @1 :UInt16;
  epoch @2 :UInt64;
}

# The limit that an upstream names in its answers.
struct LimitNews {
  upstream @0 :Text;
  # In thousandths of a request a second.
  rate @1 :UInt32;
  # Whether the upstream names no limit any more.
  hasEnded @2 :Bool;
  # The time since the upstream said so, in milliseconds.
  ageMs @3 :UInt32;
}

struct Ending {
  # The id of an upstream and its start.
  incarnation @0 :Text;
  # The time since it ended, in milliseconds.
  ageMs @1 :UInt32;
}

# What is known of a request that may end the upstreams that run it.
struct Suspect {
  digest @0 :Data;
  endings @1 :List(Ending);
  hasSurvived @2 :Bool;
  # The time since an upstream ran it to an end, in milliseconds.
  survivedAgeMs @3 :UInt32;
}

# An upstream that has said that it leaves.
struct LeavingUpstream {
  upstream @0 :Text;
  # The Unix time of its start in milliseconds.
  startedAtMs @1 :UInt64;
  # The time since it first said so, in milliseconds.
  ageMs @2 :UInt32;
}

# Sent by a daemon to the leader several times a second.
struct Report {
  daemon @0 :Text;
  address @1 :Text;
  term @2 :UInt64;
  demand @3 :List(AccountDemand);
  keys @4 :List(KeyUse);
  upstreams @5 :List(UpstreamUse);
  refused @6 :List(RefusedSpan);
  storeReachable @7 :Bool;
  # From version 1 on, the daemon understands Table.changedServices and
  # compressed documents.
  protocolVersion @8 :UInt8;
  needsSpans @9 :Bool;
  limits @10 :List(LimitNews);
  suspects @11 :List(Suspect);
  leaving @12 :List(LeavingUpstream);
  upstreamsReachable @13 :Bool = true;
  zone @14 :Text;
  # The CPU capacity in thousandths of a standard core; 0 if the daemon does not
  # schedule requests.
  cpuCapacity @15 :UInt32;
}

# A daemon that schedules requests.
struct Scheduler {
  daemon @0 :Text;
  address @1 :Text;
  zone @2 :Text;
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

struct ServiceSpanChanges {
  service @0 :Text;
  removedFirstKeys @1 :List(UInt16);
  upstreams @2 :List(Text);
  added @3 :List(Span);
}

struct AccountShare {
  account @0 :Text;
  # The receiver's fraction of the account's quota, in millionths.
  shareMillionths @1 :UInt32;
}

struct AccountTokens {
  account @0 :Text;
  # In thousandths of a token.
  tokens @1 :UInt32;
}

# Sent by the leader, or by a daemon that forwards the leader's table.
struct Table {
  term @0 :UInt64;
  leader @1 :Text;
  leaderAddress @2 :Text;
  serial @3 :UInt64;
  daemons @4 :UInt32;
  storeReachable @5 :Bool;
  # If hasSpans is false, services is empty and the spans have not changed.
  hasSpans @6 :Bool;
  services @7 :List(ServiceTable);
  shares @8 :List(AccountShare);
  # The time since the leader itself sent an update, in milliseconds.
  ageMs @9 :UInt32;
  resigned @10 :Bool;
  # The store's revisions at the last changes of config, upstreams and excluded
  # zones, in this order.
  newsRevisions @11 :List(UInt64);
  # The tokens of each account that the leader can lend.
  lendable @12 :List(AccountTokens);
  # If hasSpanChanges is true, the spans are those of the table with baseSerial
  # and the same term, with these changes.
  hasSpanChanges @13 :Bool;
  baseSerial @14 :UInt64;
  changedServices @15 :List(ServiceSpanChanges);
  # With resigned: the daemon that takes the lease without waiting.
  successor @16 :Text;
  # For how long the leader's documents may have been outdated when it sent the
  # update, in milliseconds.
  documentsAgeMs @17 :UInt32;
  limits @18 :List(LimitNews);
  # The store's eras of newsRevisions; missing if the sender does not know eras.
  newsEras @19 :List(UInt64);
  suspects @20 :List(Suspect);
  # The version of the configuration that the leader has.
  configuration @21 :UInt64;
  leaving @22 :List(LeavingUpstream);
  # Whether the leader designates schedulers. If hasSchedulers is false,
  # schedulers is empty and they have not changed.
  designatesSchedulers @23 :Bool;
  hasSchedulers @24 :Bool;
  schedulers @25 :List(Scheduler);
}

# Sent when the store has changed, by a peer to each daemon that follows it.
struct NewsChange {
  kind @0 :Text;
  sinceRevision @1 :UInt64;
  revision @2 :UInt64;
  # The new and changed documents by name, as a JSON object.
  documents @3 :Data;
  gone @4 :List(Text);
  isCompressed @5 :Bool;
  sinceEra @6 :UInt64;
  era @7 :UInt64;
}

# Asks a peer for the documents of the store that are newer than the revisions
# in these eras.
struct NewsQuery {
  configRevision @0 :UInt64;
  upstreamsRevision @1 :UInt64;
  zonesRevision @2 :UInt64;
  # As in Report.
  protocolVersion @3 :UInt8;
  configEra @4 :UInt64;
  upstreamsEra @5 :UInt64;
  zonesEra @6 :UInt64;
  # The version of the configuration that the sender has.
  configuration @7 :UInt64;
}

# The documents as JSON; empty where they are not newer than in the query.
struct News {
  configRevision @0 :UInt64;
  config @1 :Data;
  upstreamsRevision @2 :UInt64;
  upstreams @3 :Data;
  zonesRevision @4 :UInt64;
  zones @5 :Data;
  ageMs @6 :UInt32;
  configIsCompressed @7 :Bool;
  upstreamsIsCompressed @8 :Bool;
  configEra @9 :UInt64;
  upstreamsEra @10 :UInt64;
  zonesEra @11 :UInt64;
}

struct Wish {
  # A client account, or the id of a cold upstream.
  account @0 :Text;
  tokens @1 :UInt16;
}

# Asks the leader for tokens of client accounts, or for sends to cold upstreams.
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
