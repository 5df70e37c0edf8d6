"""Reads from eventlet's sockets with limits, and detects resets."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import eventlet
from attrs import frozen
from eventlet.hubs import trampoline

# Other tasks run after this many bytes were received without a wait.
_BYTES_BETWEEN_YIELDS = 65536


class ReadLimitExceeded(OSError):
    """The peer has sent more bytes than a response may have."""


class EndedEarly(OSError):
    """The peer closed the connection where the response cannot end."""


@frozen
class Silence:
    """What happens while a peer sends nothing that counts.

    Parameters
    ----------
    after_s
        Time until the silence begins, seconds.
    on_silence
        Called by the task that waits once the silence has begun. It returns
        the time until it is called again, seconds, or raises an exception that
        ends the wait.
    """

    after_s: float
    on_silence: Callable[[], float]


class BoundedReader:
    """Receives into buffers within a time and up to a number of bytes.

    The limits hold for all bytes until they are set again: with a timeout for
    each call alone, a peer that sends a byte now and then would never time
    out. Eventlet's socket reports a reset as the end of the connection, so
    that a cut response without a Content-Length would look complete; this
    reader raises instead.

    Parameters
    ----------
    sock
        Socket of eventlet.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._deadline_s = math.inf
        self._bytes_left = math.inf
        self._bytes_since_yield = 0
        self._silent_at_s = math.inf
        self._silence: Silence | None = None
        self._may_end = True

    def set_limits(
        self,
        timeout_s: float,
        max_bytes: float,
        silence: Silence | None = None,
    ) -> None:
        """Allow this many bytes from now on, and as many seconds of waiting.

        Bytes that have arrived can still be read after the timeout.
        """
        now_s = time.monotonic()
        self._deadline_s = now_s + timeout_s
        self._bytes_left = max_bytes
        self._silence = silence
        self._silent_at_s = now_s + silence.after_s if silence else math.inf

    def allow_end(self, *, allowed: bool) -> None:
        """Set whether the response may end with its connection from now on.

        The HTTP parser takes the end of the connection for the end of a line.
        """
        self._may_end = allowed

    def recv_into(
        self,
        buffer: Any,
        nbytes: int = 0,
        flags: int = 0,
    ) -> int:
        """Wait for bytes, and return their number; zero at the end.

        Raises
        ------
        ReadLimitExceeded
            If the peer has already sent as many bytes as allowed.
        EndedEarly
            If the connection was closed where the response cannot end.
        OSError
            If the connection was reset, or no bytes arrived in time.
        """
        if self._bytes_left <= 0:
            raise ReadLimitExceeded('the peer sends more bytes than allowed')
        received = self._receive(buffer, nbytes, flags)
        if not received and not self._may_end:
            raise EndedEarly('connection closed within the response')
        self._bytes_left -= received
        self._bytes_since_yield += received
        if self._bytes_since_yield >= _BYTES_BETWEEN_YIELDS:
            # A peer that sends without pause must not occupy the process.
            self._bytes_since_yield = 0
            eventlet.sleep(0)
        return received

    def _receive(self, buffer: Any, nbytes: int, flags: int) -> int:
        plain_sock = self._sock.fd
        while True:
            try:
                return plain_sock.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                self._wait_readable(plain_sock)

    def _wait_readable(self, plain_sock: Any) -> None:
        wait_until_s = min(self._deadline_s, self._silent_at_s)
        try:
            trampoline(
                plain_sock,
                read=True,
                timeout=max(0, wait_until_s - time.monotonic()),
                timeout_exc=TimeoutError('no bytes within the timeout'),
            )
        except TimeoutError:
            if self._silence is None or self._deadline_s <= self._silent_at_s:
                raise
            pause_s = self._silence.on_silence()
            self._silent_at_s = time.monotonic() + pause_s
