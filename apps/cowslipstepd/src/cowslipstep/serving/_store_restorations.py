"""Tells a task that the store came back from an older copy."""

from __future__ import annotations

from eventlet.event import Event
from loguru import logger


class StoreRestorations:
    """Wakes a task that writes what a restored store may have lost."""

    def __init__(self) -> None:
        self._next = Event()

    @property
    def next(self) -> Event:
        """Event that is sent at the next restoration."""
        return self._next

    def record(self, era: int) -> None:
        """Record that the store came back, in this era."""
        logger.bind(era=era).warning('store came back from an older copy')
        past = self._next
        self._next = Event()
        past.send(era)
