@0x9f6c3a17be42d085;

# A borrower's request for tokens of an account. With an empty account it only
# asks whether the receiver uses the same member list and knows none newer.
struct LendRequest {
  account @0 :Text;
  listId @1 :UInt64;
  urgentTokens @2 :UInt32;
  aheadTokens @3 :UInt32;
}

struct LendAnswer {
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
  seen @0 :Text;
  proves @1 :Bool;
  sinceS @2 :Float64;
  # An encoded ForwardAnswer, or empty.
  answer @3 :Data;
}
