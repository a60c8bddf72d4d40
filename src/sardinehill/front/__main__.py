"""Starts a front daemon with the platform's settings file."""

import signal

# A signal that the settings have changed ends a process that does not handle
# it. One that comes during the imports says nothing new: the settings are read
# after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sardinehill.front import standard_streams  # noqa: E402

# The modules below open files, which would get the descriptors of closed ones.
standard_streams.open_closed()

import asyncio  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

# uvloop reads this when it creates a loop. The hosts don't permit io_uring.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from sardinehill import errors  # noqa: E402
from sardinehill import events  # noqa: E402
from sardinehill.front import daemon  # noqa: E402
from sardinehill.front import log  # noqa: E402
from sardinehill.platform import settings  # noqa: E402

FAILED_EXIT_STATUS = 1
INVALID_SETTINGS_EXIT_STATUS = 2


def main() -> int:
    """Runs the daemon until it is stopped; returns its exit status."""
    log_output = log.configure()
    try:
        path = settings.path_from_environment()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(daemon.run(path, log_output))
    except errors.SettingsErrors as error:
        events.log(
            events.SETTINGS_INVALID,
            errors=[str(problem) for problem in error.exceptions],
        )
        return INVALID_SETTINGS_EXIT_STATUS
    except Exception as error:
        # The last line of the log says why the process has ended.
        events.log_with_traceback(events.DAEMON_FAILED, error)
        return FAILED_EXIT_STATUS
    finally:
        log_output.write_pending()
    return 0


if __name__ == "__main__":
    sys.exit(main())
