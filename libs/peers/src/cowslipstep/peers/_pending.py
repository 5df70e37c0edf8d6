"""Calls on a link that wait for their reply."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterator

from attrs import frozen
from eventlet.event import Event

from cowslipstep.peers._frames import Frame


@frozen
class PendingCall:
    """Number of a call and the event that brings its reply."""

    number: int
    replied: Event


class PendingCalls:
    """Numbers calls and hands their replies to whoever waits."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Event] = {}

    @contextlib.contextmanager
    def expect(self) -> Iterator[PendingCall]:
        """Number a new call and forget it at the end."""
        pending = PendingCall(next(self._numbers), Event())
        self._waiting[pending.number] = pending.replied
        try:
            yield pending
        finally:
            self._waiting.pop(pending.number, None)

    def resolve(self, reply: Frame) -> None:
        """Hand over a reply; one that nobody waits for is dropped."""
        waiter = self._waiting.pop(reply.call, None)
        if waiter is not None:
            waiter.send(reply.message)

    def fail_all(self) -> None:
        """Tell all who wait that there will be no reply."""
        waiting = list(self._waiting.values())
        self._waiting.clear()
        for waiter in waiting:
            waiter.send(None)
