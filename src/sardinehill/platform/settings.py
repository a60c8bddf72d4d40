"""Reads the settings file that the platform writes for a process."""

import dataclasses
import math
import os
import pathlib

from sardinehill import errors
from sardinehill.core.load import scheduler_choice
from sardinehill.platform import names

METRICS_PORT_VARIABLE = "SARDINEHILL_METRICS_PORT"
REQUEST_SCHEDULING_VARIABLE = "SARDINEHILL_REQUEST_SCHEDULING"

# What a daemon at the target's size may occupy.
DEFAULT_MEMORY_MB = 256.0
DEFAULT_MAX_DESCRIPTORS = 4100.0
# The part of a process's descriptors that is for files only.
FILE_DESCRIPTORS = 200

_TRUE = "true"
# Stands for bytes that are not UTF-8.
_REPLACEMENT = "\ufffd"


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """The settings of one process.

    Attributes:
      daemon: this daemon's name.
      host_ip: this host's address.
      zone: this host's availability zone.
      callers_address: the IP and port that callers connect to.
      readiness_address: the IP and port of the balancer's readiness checks.
      peer_port: the port for links between daemons.
      metrics_port: the port on `host_ip` that serves metrics.
      store_address: the IP and port of the platform's store.
      stop_limit_s: the time from SIGTERM until the process is killed.
      apply_limit_s: the time within which a configuration must be in force.
      drain_limit_s: the time after which a draining upstream gets no requests.
      retry_ratio: retries per request to a service, over the fleet.
      retry_slack: retries beyond the ratio in one window, over the fleet.
      retry_window_s: the length of the retry budget's window.
      cold_ratio: the rate of requests to a cold upstream, as a ratio to its
        service's cold rate.
      cold_slack: requests a second beyond that rate.
      longest_hold_s: the longest duration of a grant.
      allowance_window_s: the window in which a client account's requests are
        limited.
      allowance_over_ratio: how far the limit exceeds rate and burst, as a ratio
        to them.
      allowance_slack: requests in a window beyond that limit.
      core_share: the CPU capacity of the process, in standard cores.
      cpu_capacity: the same value; the daemons with the most schedule requests.
      memory_mb: the memory that the process may occupy.
      max_sockets: how many sockets the process may have.
      is_first_start: whether the system has never run before.
      request_scheduling: whether requests are scheduled.
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
    cpu_capacity: float
    memory_mb: float
    max_sockets: float
    is_first_start: bool
    request_scheduling: scheduler_choice.SchedulingMode


def _settings_errors(
    problems: list[errors.SettingsProblem],
) -> errors.SettingsErrors:
    return errors.SettingsErrors(
        "the platform's settings are invalid",
        [errors.SettingError(problem) for problem in problems],
    )


def _environment_error(
    variable: str, value: str, expected: str
) -> errors.SettingsErrors:
    return _settings_errors(
        [errors.SettingsProblem("environment", "", variable, value, expected)]
    )


def metrics_port_from_environment(default: int) -> int:
    """Returns the metrics port of the environment, or the default.

    Raises:
      SettingsErrors: the value of the variable is not a port.
    """
    value = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not value:
        return default
    if not value.isdigit() or not 0 < int(value) < 65536:
        raise _environment_error(
            METRICS_PORT_VARIABLE, value, "a port from 1 to 65535"
        )
    return int(value)


def request_scheduling_from_environment() -> scheduler_choice.SchedulingMode:
    """Returns the mode of the environment, or `AUTO` if it is not set.

    Raises:
      SettingsErrors: the value of the variable is not a mode.
    """
    value = os.environ.get(REQUEST_SCHEDULING_VARIABLE, "")
    if not value:
        return scheduler_choice.SchedulingMode.AUTO
    try:
        return scheduler_choice.SchedulingMode(value)
    except ValueError as error:
        valid_values = ", ".join(
            mode.value for mode in scheduler_choice.SchedulingMode
        )
        raise _environment_error(
            REQUEST_SCHEDULING_VARIABLE, value, f"one of {valid_values}"
        ) from error


def path_from_environment() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
      SettingsErrors: the environment variable is not set.
    """
    value = os.environ.get(names.SETTINGS_VARIABLE, "")
    if not value:
        raise _environment_error(
            names.SETTINGS_VARIABLE, value, "the path of the settings file"
        )
    return pathlib.Path(value)


class _SettingsReader:
    """Parses the lines of a settings file and collects invalid values.

    Public attributes:
      problems: the problems found so far.
    """

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
        if not value or _REPLACEMENT in value:
            self._add_problem(key, value, "a value in UTF-8, not empty")
        return value

    def address(self, key: str) -> str:
        value = self._values.get(key, "")
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not value.isascii():
            self._add_problem(key, value, "an IP address, a colon and a port")
        return value

    def number(self, key: str, default: float) -> float:
        value = self._values.get(key)
        if value is None or value == "":
            return default
        try:
            number = float(value)
        except ValueError:
            self._add_problem(key, value, "a number")
            return default
        return number if math.isfinite(number) else default

    def ports(self, key: str) -> tuple[int, int]:
        value = self._values.get(key, "")
        parts = value.split(",")
        if len(parts) != 2 or not all(part.isdigit() for part in parts):
            self._add_problem(key, value, "two ports separated by a comma")
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
      text: the file's content, with lines of the form `a.b=value`.

    Raises:
      SettingsErrors: one error for each missing or malformed field.
    """
    fields = _SettingsReader(file, text)
    first_port, last_port = fields.ports("internalPorts")
    cpu_capacity = fields.number("limits.cpuShare", 1.0) * fields.number(
        "limits.speedFactor", 1.0
    )
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
        core_share=cpu_capacity,
        cpu_capacity=cpu_capacity,
        memory_mb=fields.number("limits.memoryMb", DEFAULT_MEMORY_MB),
        max_sockets=fields.number("limits.maxFds", DEFAULT_MAX_DESCRIPTORS)
        - FILE_DESCRIPTORS,
        is_first_start=fields.flag("bootstrap"),
        request_scheduling=request_scheduling_from_environment(),
    )
    if fields.problems:
        raise _settings_errors(fields.problems)
    return settings


def read_text(path: pathlib.Path) -> str:
    """Returns the content of the settings file.

    Odd bytes are replaced, as they may stand in fields that are not read.

    Raises:
      SettingsErrors: the file is unreadable.
    """
    try:
        return path.read_text(encoding="utf-8-sig", errors="replace")
    except OSError as error:
        raise _settings_errors(
            [
                errors.SettingsProblem(
                    str(path), "", "", str(error), "a file that can be read"
                )
            ]
        ) from error


def read(path: pathlib.Path) -> HostSettings:
    """Reads the settings file.

    Raises:
      SettingsErrors: the file is unreadable or a field is invalid.
    """
    return parse(str(path), read_text(path))
