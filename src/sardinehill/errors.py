"""Defines the errors, refusal reasons and request verdicts of the package.

An error that an operator can correct names the location, the invalid value and
what is expected instead.
"""

from collections.abc import Sequence
import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request may have run on an upstream.

    `NOT_RUN` requires proof: either no byte of the request was written to
    the upstream, or the upstream stated it in a complete and well-formed
    response to this request.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Why a request was refused or retried; each reason has its counters."""

    ACCOUNT_KEY_MISSING = "account-key-missing"
    ACCOUNT_KEY_UNKNOWN = "account-key-unknown"
    ACCOUNT_KEY_REVOKED = "account-key-revoked"
    BODY_TOO_LARGE = "body-too-large"
    BODY_CUT_SHORT = "body-cut-short"
    CANCELLED = "cancelled"
    CONFIGURATION_MISSING = "configuration-missing"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    CUT_OFF = "cut-off"
    DEADLINE_PASSED = "deadline-passed"
    DRAINING = "draining"
    DUPLICATE_UNKNOWN = "duplicate-unknown"
    FENCED = "fenced"
    GATEWAY_LOST = "gateway-lost"
    GATEWAY_UNKNOWN = "gateway-unknown"
    INTERNAL = "internal"
    KEY_MISSING = "key-missing"
    MALFORMED = "malformed"
    NOT_GATEWAY = "not-gateway"
    NO_SLOT = "no-slot"
    NO_UPSTREAM = "no-upstream"
    OVER_LIMIT = "over-limit"
    OVER_RATE = "over-rate"
    QUARANTINED = "quarantined"
    QUEUE_FULL = "queue-full"
    RATE_UNKNOWN = "rate-unknown"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    ROUTE_FORBIDDEN = "route-forbidden"
    SERVICE_UNKNOWN = "service-unknown"
    SHED = "shed"
    STALE = "stale"
    UNOWNED = "unowned"


class SardinehillError(Exception):
    """The base class of all errors that this package raises."""


@dataclasses.dataclass(frozen=True)
class SettingsProblem:
    """One problem in a settings file.

    Attributes:
      file: the file's name, as given by the operator.
      section: the INI section, without brackets.
      option: the option's name, empty if the problem is the section itself.
      value: the value that was found.
      expected: a description of what is valid.
    """

    file: str
    section: str
    option: str
    value: str
    expected: str

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}]"
        if self.option:
            location = f"{location} {self.option}"
        return f"{location}: {self.value!r} is not valid: {self.expected}"


class SettingError(SardinehillError):
    """Raised for one problem in a settings file, as part of a group."""

    def __init__(self, problem: SettingsProblem):
        super().__init__(str(problem))
        self.problem = problem


class SettingsErrors(ExceptionGroup[SettingError]):
    """Raised with all problems of one settings file; nothing is applied."""

    def derive(  # type: ignore[override]
        self, excs: Sequence[SettingError], /
    ) -> "SettingsErrors":
        """Returns a group of this class, as `ExceptionGroup.split` requires."""
        return SettingsErrors(self.message, excs)


class StoreError(SardinehillError):
    """The base class of errors in calls to the platform's object API."""


class StoreUnavailableError(StoreError):
    """Raised when the store does not answer; a write may have taken effect."""


class StoreConflictError(StoreError):
    """Raised when a conditional write finds an unexpected version.

    Attributes:
      current_version: the version found, 0 if the object does not exist.
    """

    def __init__(self, message: str, current_version: int):
        super().__init__(message)
        self.current_version = current_version


class StoreReplyError(StoreError):
    """Raised when the store's reply is malformed or unexpected."""


class PeerError(SardinehillError):
    """The base class of errors in communication with another daemon."""


class PeerNotSentError(PeerError):
    """Raised when no part of a message was sent."""


class PeerLostError(PeerError):
    """Raised when a sent message was not answered; it may have been handled."""


class PeerFrameError(PeerError):
    """Raised when a peer's frame is malformed, too long or unauthenticated."""


class RequestRefusedError(SardinehillError):
    """Raised when a request ends without a response from an upstream.

    Attributes:
      reason: why the request is refused; it is counted and sent to the caller.
      verdict: whether the request may have run.
      detail: a description for the caller, empty if there is none.
      retry_after_s: seconds after which the caller may retry, None if unknown.
    """

    def __init__(
        self,
        reason: Reason,
        verdict: Verdict,
        detail: str = "",
        retry_after_s: float | None = None,
    ):
        super().__init__(detail or reason.value)
        self.reason = reason
        self.verdict = verdict
        self.detail = detail
        self.retry_after_s = retry_after_s


class CommandFailedError(SardinehillError):
    """Raised when a command cannot carry out what the operator requested.

    Attributes:
      exit_status: the process's exit status, one of `cli.exit_codes`.
    """

    def __init__(self, message: str, exit_status: int):
        super().__init__(message)
        self.exit_status = exit_status
