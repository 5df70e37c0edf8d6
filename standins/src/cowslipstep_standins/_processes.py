"""Processes of a local fleet, each ended by its own id."""

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

_END_TIMEOUT_S = 10
_POLL_S = 0.02
_LOOPBACK = '127.0.0.1'
PORTS_VARIABLE = 'COWSLIPSTEP_PORTS'
ALL_PORTS = '10240-32000'


class FleetError(Exception):
    """A local fleet did not reach the expected state in time."""


class LocalProcess:
    """A process started here, with its log in a file.

    Parameters
    ----------
    module
        Python module that is run.
    arguments
        Its arguments.
    log_path
        File that receives what it prints.
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
        """Whether it has not ended."""
        return self._process.poll() is None

    def kill(self) -> None:
        """End it without warning."""
        self._process.kill()
        self._process.wait()

    def freeze(self) -> None:
        """Stop it from running, as a pause would."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it run again."""
        self._process.send_signal(signal.SIGCONT)

    def stop(self, timeout_s: float = _END_TIMEOUT_S) -> int:
        """Ask it to end, wait and return its exit status."""
        self._process.send_signal(signal.SIGCONT)
        self._process.terminate()
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()


@contextlib.contextmanager
def ended_at_exit() -> Iterator[list[LocalProcess]]:
    """Yield a list; all processes put in it are ended at the end."""
    started: list[LocalProcess] = []
    try:
        yield started
    finally:
        for process in started:
            if process.running:
                process.thaw()
                process.kill()


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nothing listens on.

    They lie below the range that the system gives to outgoing connections,
    so that none is taken between this call and its use. Fleets that run at
    the same time are given ranges of their own by the environment variable
    ``COWSLIPSTEP_PORTS``, such as ``10240-20000``.
    """
    first, _, last = os.environ.get(PORTS_VARIABLE, ALL_PORTS).partition('-')
    listening = range(int(first), int(last))
    candidates = random.SystemRandom().sample(listening, count * 2)
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
    what: str,
    timeout_s: float = 30,
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    FleetError
        If it does not hold within ``timeout_s`` seconds.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(_POLL_S)
    raise FleetError(f'not within {timeout_s} s: {what}')
