"""Reads from eventlet's sockets with limits, and detects resets."""

from __future__ import annotations

from typing import Any

import urllib3
from eventlet.hubs import trampoline

from cowslipstep.daemon._read_limits import ReadLimits, Silence
from cowslipstep.tasks import TimeSlice


class EndedEarly(OSError):
    """The peer closed the connection where the response cannot end."""


class BoundedReader:
    """Receives into buffers within a time and up to a number of bytes.

    The limits hold for all bytes until they are set again: with a timeout for
    each call alone, a peer that sends a byte now and then would never time
    out. Other tasks run while a peer sends without a pause. Eventlet's socket
    reports a reset as the end of the connection, so that a cut response
    without a Content-Length would look complete; this reader raises instead.

    Parameters
    ----------
    sock
        Socket of eventlet.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._limits = ReadLimits()
        self._may_end = True
        self._time_slice = TimeSlice()

    def limit(
        self,
        timeout_s: float,
        max_bytes: float,
        silence: Silence | None = None,
    ) -> None:
        """Allow this many bytes from now on, within as many seconds.

        Bytes that have arrived can still be read after the timeout, for a
        time that does not begin anew when the limits are set again.
        """
        self._limits.limit(timeout_s, max_bytes, silence)

    def allow_end(self, *, allowed: bool) -> None:
        """Set whether the response may end with its connection from now on.

        The HTTP parser takes the end of the connection for the end of a line.
        """
        self._may_end = allowed

    def let_others_run(self) -> None:
        """Let other tasks run if this one has run for a while.

        The parser may read many small parts from what one call received.
        """
        self._time_slice.end_if_over()

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
            If the connection was reset, no bytes arrived in time, or they go
            on after it.
        """
        self._limits.check_bytes()
        received = self._receive(buffer, nbytes, flags)
        if not received and not self._may_end:
            raise EndedEarly('connection closed within the response')
        self.let_others_run()
        self._limits.record(received)
        return received

    def _receive(self, buffer: Any, nbytes: int, flags: int) -> int:
        plain_sock = self._sock.fd
        while True:
            try:
                return plain_sock.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                self._wait_readable(plain_sock)

    def _wait_readable(self, plain_sock: Any) -> None:
        try:
            with self._limits.interruption.allowed():
                trampoline(
                    plain_sock,
                    read=True,
                    timeout=self._limits.wait_s,
                    timeout_exc=TimeoutError('no bytes within the timeout'),
                )
        except TimeoutError as timeout:
            self._limits.apply(timeout)
        self._time_slice.restart()


def bound_socket(sock: Any) -> BoundedReader:
    """Let a connected socket be read within limits; return what sets them."""
    reader = BoundedReader(sock)
    if hasattr(sock, 'fd'):
        # Only eventlet's sockets can be read within these limits; they hold
        # the standard socket in ``fd``.
        sock.recv_into = reader.recv_into
    return reader


def ends_with_connection(response: urllib3.HTTPResponse) -> bool:
    """Return whether a response has neither a length nor chunks."""
    return not response.chunked and response.length_remaining is None
