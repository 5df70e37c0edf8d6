"""Log output is limited in rate and line length and never blocks."""

from __future__ import annotations

import contextlib
import json
import os
from collections.abc import Iterator
from typing import Any

import pytest

from cowslipstep.daemon._log_stream import BoundedLogStream

_MAX_MEAN_LINES_PER_S = 200


class Clock:
    """A clock that tests set."""

    now_s: float = 0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


@pytest.fixture(name='clock')
def clock_fixture() -> Clock:
    return Clock()


@pytest.fixture(name='pipe')
def pipe_fixture() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    for descriptor in (reading, writing):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def message_line(text: str) -> str:
    encoded = json.dumps({'message': text})
    return f'{encoded}\n'


def read_lines(descriptor: int) -> list[dict[str, Any]]:
    received = b''
    with contextlib.suppress(BlockingIOError):
        while chunk := os.read(descriptor, 65536):
            received += chunk
    return [json.loads(line) for line in received.splitlines()]


def test_full_pipe_drops_and_counts_lines(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    long_line = message_line('x' * 3000)
    for _ in range(100):
        stream.write(long_line)
    assert stream.dropped
    written = read_lines(pipe[0])
    clock.now_s = 2
    stream.write(message_line('next'))
    written.extend(read_lines(pipe[0]))
    counts = [line['count'] for line in written if 'count' in line]
    assert len(written) - len(counts) + sum(counts) == 101
    assert written[-1]['message'] == 'next'
    assert not stream.dropped


def test_closed_pipe_raises_nothing(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    os.close(pipe[0])
    stream.write('{}\n')
    assert stream.dropped == 1


def test_rate_of_written_lines_is_limited(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    written_count = 0
    seconds = 20
    for tick in range(seconds * 100):
        clock.now_s = tick / 100
        for _ in range(50):
            stream.write('{"message": "refused"}\n')
        written_count += len(read_lines(pipe[0]))
    assert written_count <= _MAX_MEAN_LINES_PER_S * seconds


def test_too_long_line_is_replaced_by_valid_json(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    stream.write(message_line('ä"' * 9000))
    assert read_lines(pipe[0])[0]['message'] == 'line too long'
