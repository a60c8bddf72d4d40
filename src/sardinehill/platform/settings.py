"""Reads the platform's settings file into the project's settings."""

import dataclasses
import os
import pathlib

from sardinehill import errors
from sardinehill.platform import names

METRICS_PORT_VARIABLE = "SARDINEHILL_METRICS_PORT"

_TRUE = "true"


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """What the platform tells one process.

    Attributes:
      daemon: this daemon's name.
      host_ip: this host's address.
      zone: this host's availability zone.
      callers_address: where callers connect, as IP and port.
      readiness_address: where the balancer asks whether to send callers.
      peer_port: where daemons reach each other.
      metrics_port: where counters are served, on this host's address.
      store_address: the platform's store.
      stop_limit_s: after SIGTERM the process is killed in so long.
      apply_limit_s: a configuration is in force within so long.
      drain_limit_s: a leaving upstream gets nothing after so long.
      retry_ratio: repeats for each request to a service, over the fleet.
      retry_slack: repeats beyond the ratio in one window, over the fleet.
      retry_window_s: the length of that window.
      cold_ratio: times the stated rate that a cold upstream may get.
      cold_slack: requests a second beyond that.
      longest_hold_s: the longest that a grant may last.
      allowance_window_s: a client account's use is bounded in each such span.
      allowance_over_ratio: how far beyond rate and burst that bound lies.
      allowance_slack: requests in that span beyond it.
      core_share: how much of a usual core the process has.
      is_first_start: whether the whole system starts for the first time.
    """

    daemon: str
    host_ip: str
    zone: str
    callers_address: str
    readiness_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    stop_limit_s: float
    apply_limit_s: float
    drain_limit_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_ratio: float
    cold_slack: float
    longest_hold_s: float
    allowance_window_s: float
    allowance_over_ratio: float
    allowance_slack: float
    core_share: float
    is_first_start: bool


def _settings_errors(
    problems: list[errors.SettingsProblem],
) -> errors.SettingsErrors:
    return errors.SettingsErrors(
        "the platform's settings cannot be used",
        [errors.SettingError(problem) for problem in problems],
    )


def metrics_port_from_environment(default: int) -> int:
    """Returns where counters are served, unless the deployment says other.

    Raises:
      SettingsErrors: the variable is not a port.
    """
    value = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not value:
        return default
    if not value.isdigit() or not 0 < int(value) < 65536:
        raise _settings_errors(
            [
                errors.SettingsProblem(
                    "environment",
                    "",
                    METRICS_PORT_VARIABLE,
                    value,
                    "a port from 1 to 65535",
                )
            ]
        )
    return int(value)


def path_from_environment() -> pathlib.Path:
    """Returns where the settings file stands.

    Raises:
      SettingsErrors: the variable that names it is not set.
    """
    value = os.environ.get(names.SETTINGS_VARIABLE, "")
    if not value:
        raise _settings_errors(
            [
                errors.SettingsProblem(
                    "environment",
                    "",
                    names.SETTINGS_VARIABLE,
                    value,
                    "the path of the settings file",
                )
            ]
        )
    return pathlib.Path(value)


class _SettingsReader:
    """The lines of one file, with the mistakes found in them."""

    def __init__(self, file: str, text: str):
        self._file = file
        self._values: dict[str, str] = {}
        self.problems: list[errors.SettingsProblem] = []
        for line in text.splitlines():
            key, separator, value = line.strip().partition("=")
            if separator and not key.startswith("#"):
                self._values[key.strip()] = value.strip()

    def text(self, key: str) -> str:
        value = self._values.get(key, "")
        if not value:
            self._add_problem(key, value, "a text")
        return value

    def address(self, key: str) -> str:
        value = self._values.get(key, "")
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            self._add_problem(key, value, "an IP address, a colon and a port")
        return value

    def number(self, key: str, default: float) -> float:
        value = self._values.get(key)
        if value is None or value == "":
            return default
        try:
            return float(value)
        except ValueError:
            self._add_problem(key, value, "a number")
            return default

    def ports(self, key: str) -> tuple[int, int]:
        value = self._values.get(key, "")
        parts = value.split(",")
        if len(parts) != 2 or not all(part.isdigit() for part in parts):
            self._add_problem(key, value, "two ports joined by a comma")
            return (0, 0)
        first, last = int(parts[0]), int(parts[1])
        if last <= first:
            self._add_problem(key, value, "a range of two ports or more")
        return (first, last)

    def flag(self, key: str) -> bool:
        return self._values.get(key, "") == _TRUE

    def _add_problem(self, key: str, value: str, expected: str) -> None:
        section, _, option = key.rpartition(".")
        self.problems.append(
            errors.SettingsProblem(self._file, section, option, value, expected)
        )


def parse(file: str, text: str) -> HostSettings:
    """Returns the settings of one process; unknown fields are ignored.

    Args:
      file: the file's name, for errors.
      text: its content, lines of the form `a.b=value`.

    Raises:
      SettingsErrors: lists every field that is missing or malformed.
    """
    fields = _SettingsReader(file, text)
    first_port, last_port = fields.ports("internalPorts")
    settings = HostSettings(
        daemon=fields.text("nodeName"),
        host_ip=fields.text("ip"),
        zone=fields.text("zone"),
        callers_address=fields.address("listen.front"),
        readiness_address=fields.address("listen.ready"),
        peer_port=first_port,
        metrics_port=metrics_port_from_environment(last_port),
        store_address=fields.address("platformApi.address"),
        stop_limit_s=fields.number("bounds.gracePeriodS", 6.0),
        apply_limit_s=fields.number("bounds.configApplyS", 2.0),
        drain_limit_s=fields.number("bounds.drainTimeoutS", 2.0),
        retry_ratio=fields.number("bounds.retryBudgetRatio", 0.1),
        retry_slack=fields.number("bounds.retrySlack", 10.0),
        retry_window_s=fields.number("bounds.budgetWindowS", 10.0),
        cold_ratio=fields.number("bounds.coldOver", 1.0),
        cold_slack=fields.number("bounds.coldSlack", 0.0),
        longest_hold_s=fields.number("bounds.holdMaxS", 10.0),
        allowance_window_s=fields.number("bounds.quotaWindowS", 5.0),
        allowance_over_ratio=fields.number("bounds.quotaOver", 0.0),
        allowance_slack=fields.number("bounds.quotaSlack", 0.0),
        core_share=fields.number("limits.cpuShare", 1.0)
        * fields.number("limits.speedFactor", 1.0),
        is_first_start=fields.flag("bootstrap"),
    )
    if fields.problems:
        raise _settings_errors(fields.problems)
    return settings


def read(path: pathlib.Path) -> HostSettings:
    """Reads the settings file.

    Raises:
      SettingsErrors: it cannot be read, or a field is wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_errors(
            [
                errors.SettingsProblem(
                    str(path), "", "", str(error), "a file that can be read"
                )
            ]
        ) from error
    return parse(str(path), text)
