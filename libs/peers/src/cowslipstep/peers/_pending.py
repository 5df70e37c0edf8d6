"""Calls on a link whose replies have not arrived yet."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterator

from attrs import frozen
from eventlet.event import Event

from cowslipstep.peers._frames import Frame


@frozen
class PendingCall:
    """Number of a call and the event that is sent its reply.

    The event is sent ``None`` if no reply will arrive.
    """

    number: int
    reply_event: Event


class PendingCalls:
    """Numbers calls and matches replies to the tasks that wait for them."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._reply_events: dict[int, Event] = {}

    @contextlib.contextmanager
    def register(self) -> Iterator[PendingCall]:
        """Register a call under a new number until the block ends."""
        pending = PendingCall(next(self._numbers), Event())
        self._reply_events[pending.number] = pending.reply_event
        try:
            yield pending
        finally:
            self._reply_events.pop(pending.number, None)

    def resolve(self, reply: Frame) -> None:
        """Wake the task that waits for a reply, or drop a late reply."""
        reply_event = self._reply_events.pop(reply.call, None)
        if reply_event is not None:
            reply_event.send(reply.message)

    def fail_all(self) -> None:
        """Wake all waiting tasks with ``None``: no reply will arrive."""
        reply_events = list(self._reply_events.values())
        self._reply_events.clear()
        for reply_event in reply_events:
            reply_event.send(None)
