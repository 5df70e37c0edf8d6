"""Events that the evening report lists as incidents."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

from attrs import frozen

_MAX_EVENTS = 500


@frozen
class Event:
    """One change of a group, lease, configuration or daemon.

    Parameters
    ----------
    kind
        What happened, for example ``group_formed``.
    subject
        Name of the group, fabric domain or daemon that it happened to.
    cause
        Why it happened, in a few words.
    at_unix_s
        Wall clock, seconds since 1970; only for display.
    """

    kind: str
    subject: str
    cause: str
    at_unix_s: float


class EventLog:
    """The most recent events of a daemon.

    Parameters
    ----------
    notify
        Called with each event, for example to log it.

    Examples
    --------
    >>> log = EventLog()
    >>> log.add('lease_taken', 'ebene', 'it had lapsed').subject
    'ebene'
    """

    def __init__(self, notify: Callable[[Event], None] | None = None) -> None:
        self._notify = notify
        self._events: collections.deque[Event] = collections.deque(
            maxlen=_MAX_EVENTS,
        )

    @property
    def events(self) -> tuple[Event, ...]:
        """Events in order of time."""
        return tuple(self._events)

    def add(self, kind: str, subject: str, cause: str) -> Event:
        """Record an event with the present time, notify, and return it."""
        event = Event(kind, subject, cause, time.time())
        self._events.append(event)
        if self._notify is not None:
            self._notify(event)
        return event

    def clear(self) -> None:
        """Remove all events."""
        self._events.clear()
