"""Reads what callers send, with limits on what is not understood yet."""

from __future__ import annotations

import math
import time
from typing import Any

from attrs import define

from cowslipstep.daemon._charged_lines import ChargedLines
from cowslipstep.daemon._held_bytes import HeldBytes
from cowslipstep.daemon._http import Environ
from cowslipstep.tasks import TimeSlice

# Key of an environ: a function after which the rest of a request is discarded.
DISCARD_REST = 'cowslipstep.discard_rest'
# Longest line that is read without a limit of its own, such as the size of a
# chunk with its extensions.
_MAX_LINE_BYTES = 65536
# What is discarded of a refused request: closing a connection with unread bytes
# resets it, and the caller would lose the response.
_MAX_DISCARDED_BYTES = 8388608
_MAX_DISCARD_S = 1


class RequestTooLong(OSError):
    """A caller goes on with a request that was refused, or with a line."""


@define
class _Rest:
    """What may still be read of a request.

    Attributes
    ----------
    bytes_left
        Number of bytes.
    ends_at_s
        Clock reading until which they may be read.
    """

    bytes_left: float = math.inf
    ends_at_s: float = math.inf

    def counted(self, received: bytes) -> bytes:
        """Count and return received bytes; raise ``RequestTooLong``."""
        self.bytes_left -= len(received)
        if self.bytes_left < 0 or time.monotonic() > self.ends_at_s:
            raise RequestTooLong('the caller goes on with a refused request')
        return received


class CallerReader:
    """Reads from the file of a connection; other tasks run meanwhile.

    Parameters
    ----------
    lines
        Buffered file of the connection.
    sock
        Socket of the connection.
    held
        What the connection holds.
    """

    def __init__(self, lines: Any, sock: Any, held: HeldBytes) -> None:
        self._lines = ChargedLines(lines, held)
        self._sock = sock
        self._time_slice = TimeSlice()
        self._rest = _Rest()

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return self._lines.closed

    def close(self) -> None:
        """Close the file."""
        self._lines.close()

    def wait_for_bytes(self) -> bool:
        """Wait for the next request; return false at the end."""
        self._rest = _Rest()
        try:
            return self._lines.wait()
        except OSError:
            return False

    def discard_rest(self) -> None:
        """Read no more than a part of what remains of a request."""
        ends_at_s = time.monotonic() + _MAX_DISCARD_S
        self._rest = _Rest(_MAX_DISCARDED_BYTES, ends_at_s)
        self._sock.settimeout(_MAX_DISCARD_S)

    def read(self, size: int) -> bytes:
        """Return at least one byte and up to this many; none at the end.

        Raises
        ------
        RequestTooLong
            If the caller goes on with a request that was refused.
        MemoryRefused
            If the connection may not hold what was received.
        """
        self._time_slice.end_if_over()
        return self._rest.counted(self._lines.read(size))

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or as much of it as the limit allows.

        A line without a limit is part of the framing of a body, which is not
        held.

        Raises
        ------
        RequestTooLong
            If a line has no end within the longest one that is read, or the
            caller goes on with a request that was refused.
        MemoryRefused
            If the connection may not hold what was received.
        """
        self._time_slice.end_if_over()
        if limit >= 0:
            return self._rest.counted(self._lines.readline(limit))
        line = self._rest.counted(
            self._lines.readline(_MAX_LINE_BYTES + 1, is_kept=False)
        )
        if len(line) > _MAX_LINE_BYTES:
            raise RequestTooLong(
                f'expected lines of at most {_MAX_LINE_BYTES} bytes'
            )
        return line


def discard_rest(environ: Environ) -> None:
    """Read no more than a part of what remains of a request."""
    environ.get(DISCARD_REST, _no_rest)()


def _no_rest() -> None:
    """Leave a body that comes from no connection."""
