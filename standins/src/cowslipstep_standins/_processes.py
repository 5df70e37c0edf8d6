"""Processes of a local fleet, their ports, and waiting for conditions."""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

_STOP_TIMEOUT_S = 10
_POLL_PERIOD_S = 0.02
_LOOPBACK = '127.0.0.1'
PORTS_VARIABLE = 'COWSLIPSTEP_PORTS'
DEFAULT_PORTS = '10240-32000'


class FleetError(Exception):
    """A local fleet did not reach the expected state in time."""


class LocalProcess:
    """A child process that runs a Python module, with its log in a file.

    Parameters
    ----------
    module
        Python module to run.
    arguments
        Command line arguments of the module.
    log_path
        File that receives standard output and standard error.
    """

    def __init__(
        self,
        module: str,
        arguments: list[str],
        log_path: pathlib.Path,
    ) -> None:
        with log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-W', 'ignore', '-m', module, *arguments],
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, wait and return the exit status.

        A process that has not ended after ``timeout_s`` seconds is killed.
        """
        self._process.send_signal(signal.SIGCONT)
        self._process.terminate()
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()


@contextlib.contextmanager
def killed_at_exit() -> Iterator[list[LocalProcess]]:
    """Yield a list; on exit kill all processes that were added to it."""
    started: list[LocalProcess] = []
    try:
        yield started
    finally:
        for process in started:
            if process.running:
                process.resume()
                process.kill()


def free_ports(count: int) -> list[int]:
    """Return loopback ports on which no process listens.

    The ports are below the ephemeral range from which the system serves
    outgoing connections, so that none of these takes a port between this
    call and its use. Fleets that run at the same time need separate ranges:
    set the environment variable ``COWSLIPSTEP_PORTS``, for example to
    ``10240-20000``.
    """
    first, _, last = os.environ.get(PORTS_VARIABLE, DEFAULT_PORTS).partition(
        '-'
    )
    port_range = range(int(first), int(last))
    candidates = random.SystemRandom().sample(port_range, count * 2)
    return list(itertools.islice(filter(_is_free, candidates), count))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((_LOOPBACK, port))
        except OSError:
            return False
    return True


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = 30,
) -> None:
    """Poll until a condition holds; ``description`` names it in the error.

    Raises
    ------
    FleetError
        If it does not hold within ``timeout_s`` seconds.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(_POLL_PERIOD_S)
    raise FleetError(f'expected within {timeout_s} s: {description}')
