"""A stream for log lines that is bounded in rate and never waits."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from typing import TextIO

from cowslipstep.model import TokenBucket

# A pipe takes as much in one piece or not at all (PIPE_BUF of Linux).
_MAX_LINE_BYTES = 4096
# Lines a second of one daemon that an on-call engineer's store takes.
_LINES_PER_S = 150
# Lines that may follow each other at once after a quiet time.
_BURST_LINES = 600
# Between two lines that tell how many were dropped.
_TELL_DROPPED_S = 1


class BoundedLogStream:
    """Writes whole lines; drops and counts those that cannot be taken.

    A line is dropped while the reader takes none, or when more are written
    than the rate allows. The number of dropped lines is written as soon as
    one can be.

    Parameters
    ----------
    descriptor
        Where lines are written; it is made non-blocking.
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._bucket = TokenBucket(_LINES_PER_S, _BURST_LINES, clock)
        self._dropped = 0
        self._told_s = clock() - _TELL_DROPPED_S

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, or drop it."""
        if not self._bucket.take():
            self._dropped += 1
            return
        self._tell_dropped()
        if not self._put(line):
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing: lines are not kept back."""

    def _tell_dropped(self) -> None:
        now_s = self._clock()
        if not self._dropped or now_s - self._told_s < _TELL_DROPPED_S:
            return
        if self._put(_dropped_line(self._dropped)):
            self._dropped = 0
            self._told_s = now_s

    def _put(self, line: str) -> bool:
        try:
            written = os.write(self._descriptor, _bounded(line))
        except OSError:
            # The reader is slow or gone; the line counts as dropped.
            return False
        return written > 0


def bounded_log_stream(
    stream: TextIO,
    clock: Callable[[], float],
) -> BoundedLogStream | TextIO:
    """Return a bounded stream, or the stream itself if it has no descriptor."""
    try:
        return BoundedLogStream(stream.fileno(), clock)
    except OSError:
        return stream


def _bounded(line: str) -> bytes:
    encoded = line.encode()
    if len(encoded) <= _MAX_LINE_BYTES:
        return encoded
    return _shortened(line).encode()


def _shortened(line: str) -> str:
    # Still one JSON object, so that a reader can take it.
    start = line[: _MAX_LINE_BYTES // 4]
    return _object_line({'message': 'line too long', 'start': start})


def _dropped_line(count: int) -> str:
    fields = {'level': 'WARNING', 'message': 'log lines dropped'}
    return _object_line({**fields, 'count': count})


def _object_line(fields: dict[str, object]) -> str:
    encoded = json.dumps(fields)
    return f'{encoded}\n'
