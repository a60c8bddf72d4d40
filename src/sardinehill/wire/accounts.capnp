@0x9f6c3a17be42d085;

# A borrower's request for tokens of an account. With an empty account it only
# asks whether the receiver uses the same member list, and so knows no newer one.
struct LendRequest {
  account @0 :Text;
  listId @1 :UInt64;
  urgentTokens @2 :UInt32;
  aheadTokens @3 :UInt32;
}

struct LendAnswer {
  # The value of a LoanStatus; see core/token_lending.py.
  ruling @0 :Text;
  tokens @1 :UInt32;
  retryAfterS @2 :Float64;
  listId @3 :UInt64;
}

# Asks the previous owner of a scope about one request.
struct DuplicateQuestion {
  scope @0 :Text;
  account @1 :Text;
  idempotencyKey @2 :Text;
}

struct DuplicateAnswer {
  # The value of a LookupStatus; see core/deduplication.py.
  seen @0 :Text;
  # Whether the sender's table contains every request of the scope since sinceS,
  # so that a missing entry proves that the request was not seen.
  proves @1 :Bool;
  sinceS @2 :Float64;
  # An encoded ForwardAnswer, or empty.
  answer @3 :Data;
}
