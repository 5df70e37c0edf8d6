"""Non-blocking output of log lines with a limited rate."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from typing import TextIO

from cowslipstep.model import TokenBucket

# Linux writes up to PIPE_BUF bytes to a pipe whole or not at all.
_MAX_LINE_BYTES = 4096
# Rate that the log store accepts from one daemon.
_MAX_LINES_PER_S = 150
# Lines that may be written at once after a pause without lines.
_MAX_BURST_LINES = 600
# Minimum time between two lines that report the number of dropped lines.
_DROP_REPORT_PERIOD_S = 1


class BoundedLogStream:
    """Writes whole lines; drops and counts those it cannot write at once.

    A line is dropped while the reader of the pipe does not keep up, or if the
    rate limit is exceeded. The number of dropped lines is logged as soon as a
    line can be written again.

    Parameters
    ----------
    descriptor
        File descriptor for the lines; it is set to non-blocking mode.
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._bucket = TokenBucket(_MAX_LINES_PER_S, _MAX_BURST_LINES, clock)
        self._dropped = 0
        self._reported_s = clock() - _DROP_REPORT_PERIOD_S

    @property
    def dropped(self) -> int:
        """Number of dropped lines that was not reported yet."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line or drop it; never wait."""
        if not self._bucket.take():
            self._dropped += 1
            return
        self._report_dropped()
        if not self._write_now(line):
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _report_dropped(self) -> None:
        now_s = self._clock()
        if (
            not self._dropped
            or now_s - self._reported_s < _DROP_REPORT_PERIOD_S
        ):
            return
        if self._write_now(_dropped_line(self._dropped)):
            self._dropped = 0
            self._reported_s = now_s

    def _write_now(self, line: str) -> bool:
        try:
            written = os.write(self._descriptor, _limited_bytes(line))
        except OSError:
            # The pipe is full or closed; the caller counts the line as dropped.
            return False
        return written > 0


def bounded_log_stream(
    stream: TextIO,
    clock: Callable[[], float],
) -> BoundedLogStream | TextIO:
    """Return a bounded stream, or ``stream`` if it has no file descriptor."""
    try:
        return BoundedLogStream(stream.fileno(), clock)
    except OSError:
        return stream


def _limited_bytes(line: str) -> bytes:
    encoded = line.encode()
    if len(encoded) <= _MAX_LINE_BYTES:
        return encoded
    return _replacement_line(line).encode()


def _replacement_line(line: str) -> str:
    # A line cut at the limit would not be valid JSON.
    start = line[: _MAX_LINE_BYTES // 4]
    return _json_line({'message': 'line too long', 'start': start})


def _dropped_line(count: int) -> str:
    fields = {'level': 'WARNING', 'message': 'log lines dropped'}
    return _json_line({**fields, 'count': count})


def _json_line(fields: dict[str, object]) -> str:
    encoded = json.dumps(fields)
    return f'{encoded}\n'
