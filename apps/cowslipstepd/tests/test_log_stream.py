"""Log lines are bounded and never hold up a daemon."""

from __future__ import annotations

import contextlib
import json
import os
from collections.abc import Iterator
from typing import Any

import pytest

from cowslipstep.daemon._log_stream import BoundedLogStream

_LINES_PER_S_BOUND = 200


class Clock:
    """A clock that is set by hand."""

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
        while piece := os.read(descriptor, 65536):
            received += piece
    return [json.loads(line) for line in received.splitlines()]


def test_reader_that_takes_nothing_blocks_none(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    long_line = message_line('x' * 3000)
    for _ in range(100):
        stream.write(long_line)
    assert stream.dropped
    told = read_lines(pipe[0])
    clock.now_s = 2
    stream.write(message_line('next'))
    told.extend(read_lines(pipe[0]))
    counts = [line['count'] for line in told if 'count' in line]
    assert len(told) - len(counts) + sum(counts) == 101
    assert told[-1]['message'] == 'next'
    assert not stream.dropped


def test_reader_that_is_gone_raises_nothing(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    os.close(pipe[0])
    stream.write('{}\n')
    assert stream.dropped == 1


def test_lines_of_a_flood_are_bounded(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    taken = 0
    seconds = 20
    for tick in range(seconds * 100):
        clock.now_s = tick / 100
        for _ in range(50):
            stream.write('{"message": "refused"}\n')
        taken += len(read_lines(pipe[0]))
    assert taken <= _LINES_PER_S_BOUND * seconds


def test_long_line_is_still_an_object(
    pipe: tuple[int, int],
    clock: Clock,
) -> None:
    stream = BoundedLogStream(pipe[1], clock)
    stream.write(message_line('ä"' * 9000))
    assert read_lines(pipe[0])[0]['message'] == 'line too long'
