"""Keeps what is known of a request over all its attempts.

A request may be sent several times: again after a failure, or to two upstreams
at once. What one attempt leaves open, no later attempt can settle, so the
verdict on the request never goes back.
"""

from collections.abc import Iterable

from sardinehill import errors

_SEVERITY = {
    errors.Verdict.NOT_RUN: 0,
    errors.Verdict.MAY_HAVE_RUN: 1,
    errors.Verdict.RAN: 2,
}


def combined(verdicts: Iterable[errors.Verdict]) -> errors.Verdict:
    """Returns the verdict on a request from those on its attempts.

    A request without attempts has not run.
    """
    return max(
        verdicts, key=_SEVERITY.__getitem__, default=errors.Verdict.NOT_RUN
    )


class RequestVerdict:
    """The verdict on a request so far.

    Public attributes:
      value: the verdict.
    """

    def __init__(self) -> None:
        self.value = errors.Verdict.NOT_RUN

    def record(self, attempt: errors.Verdict) -> None:
        """Adds the verdict on an attempt."""
        self.value = combined((self.value, attempt))

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt has run or may have run."""
        return self.value is not errors.Verdict.NOT_RUN
