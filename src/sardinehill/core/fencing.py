"""Derives terms and epochs that grow even after the store has forgotten some.

A store that was restored from an earlier copy no longer knows the terms and
epochs that were used since the copy was made. Its era has risen, though. A term
therefore contains the era, and an epoch contains the term.
"""

# Together with an era of five digits, epochs stay below 2**53, so that they are
# exact in any decoder of JSON.
TERM_BITS = 16
EPOCH_BITS = 20


def next_term(known_term: int, era: int) -> int:
    """Returns the term of a new leader.

    Args:
      known_term: the highest term that is known.
      era: the store's era.
    """
    return max(known_term, era << TERM_BITS) + 1


def era_of(term: int) -> int:
    """Returns the store's era in which a term began, as far as it tells.

    A term of before the first restore may be higher than its era says.
    """
    return term >> TERM_BITS


def top_epoch(stored_epoch: int, term: int) -> int:
    """Returns an epoch above all that were used in earlier terms.

    Args:
      stored_epoch: the highest epoch that the store knows.
      term: the term of the leader.
    """
    return max(stored_epoch, term << EPOCH_BITS)
