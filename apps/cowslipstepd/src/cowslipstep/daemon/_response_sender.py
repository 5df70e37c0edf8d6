"""Sends what is written to a caller while the caller takes it."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

from eventlet import Timeout, spawn
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit
from loguru import logger

from cowslipstep.daemon._charges import Phase
from cowslipstep.daemon._held_bytes import HeldBytes
from cowslipstep.daemon._unsent_bytes import UnsentBytes

# Part after which what was sent counts as progress of the caller. With larger
# parts, a slow caller would seem to make none for seconds.
_PART_BYTES = 16384


class ResponseSender:
    """Sends at once what a caller takes, and the rest in a task of its own.

    Load pattern: many callers read long responses slowly. What they do not
    take is charged to the budget of the process, so that they hold bytes, and
    not the slots of the upstreams that respond to them.

    Parameters
    ----------
    sock
        Socket of the connection.
    held
        What the connection holds.
    timeout_s
        Longest time for which the caller may take nothing, seconds.
    """

    def __init__(self, sock: Any, held: HeldBytes, timeout_s: float) -> None:
        self._sock = sock
        self._held = held
        self._timeout_s = timeout_s
        self._unsent = UnsentBytes()
        self._task: GreenThread | None = None
        self._failed = False

    @property
    def failed(self) -> bool:
        """Whether nothing more can be sent."""
        return self._failed

    def send(self, parts: Iterable[bytes]) -> None:
        """Send parts, or charge them until they are sent.

        Raises
        ------
        MemoryRefused
            If there is no memory for them.
        OSError
            If the connection is broken.
        """
        for part in parts:
            self._unsent.append(part)
        if self._task is None:
            with contextlib.suppress(BlockingIOError):
                self._send_in_turn(self._sock.fd.send)
        self._held.hold_unsent(len(self._unsent))
        if self._unsent and self._task is None:
            self._task = spawn(self._send_rest)

    def drain(self) -> None:
        """Wait until all is sent, or cannot be sent."""
        if self._task is not None:
            self._task.wait()

    def abandon(self) -> None:
        """Send no more of what was written."""
        self._unsent.clear()
        task = self._task
        if task is not None:
            self._task = None
            self._failed = True
            task.kill()

    def _send_rest(self) -> None:
        send = partial(_send_patiently, self._sock, self._timeout_s)
        try:
            with self._held.charges.waiting(Phase.sending):
                self._send_in_turn(send)
        except (OSError, GreenletExit):
            # An error that is kept would keep its frames, and with them the
            # response, until garbage is collected.
            self._failed = True
            self._unsent.clear()
        self._task = None

    def _send_in_turn(self, send: Callable[[memoryview], int]) -> None:
        while self._unsent:
            sent = send(self._unsent.first(_PART_BYTES))
            self._unsent.remove(sent)
            self._held.charges.holder.record_progress(sent)
            if self._task is not None:
                self._held.hold_unsent(len(self._unsent))


def _send_patiently(sock: Any, timeout_s: float, part: memoryview) -> int:
    with _progress_expected(timeout_s):
        return int(sock.send(part))


@contextlib.contextmanager
def _progress_expected(timeout_s: float) -> Iterator[None]:
    """Raise ``TimeoutError`` in the block if it takes longer."""
    try:
        with Timeout(timeout_s, TimeoutError('the caller takes nothing')):
            yield
    except TimeoutError:
        logger.bind(timeout_s=timeout_s).info(
            'caller took nothing of its response, connection closed'
        )
        raise
