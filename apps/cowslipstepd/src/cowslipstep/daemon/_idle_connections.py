"""Connections that wait for a request, in the order in which they began to."""

from __future__ import annotations

import contextlib
import time
from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol


class IdleConnection(Protocol):
    """A connection that can be closed while it waits."""

    def close_receiving(self) -> None:
        """Receive no more than what has arrived."""


class IdleConnections:
    """Connections that wait for a request; no request of theirs has begun."""

    def __init__(self) -> None:
        # Clock readings; the connection that is idle longest comes first.
        self._since_s: OrderedDict[IdleConnection, float] = OrderedDict()

    @property
    def count(self) -> int:
        """Number of idle connections."""
        return len(self._since_s)

    @contextlib.contextmanager
    def counted(self, connection: IdleConnection) -> Iterator[None]:
        """Count a connection as idle meanwhile."""
        self._since_s[connection] = time.monotonic()
        try:
            yield
        finally:
            self._since_s.pop(connection, None)

    def close_expired(self, timeout_s: float) -> None:
        """Close the connections that have been idle for that time."""
        oldest_s = time.monotonic() - timeout_s
        while self._since_s:
            connection, since_s = next(iter(self._since_s.items()))
            if since_s > oldest_s:
                return
            self._close(connection)

    def close_longest(self, count: int) -> int:
        """Close up to that many, those idle longest; return how many."""
        chosen = tuple(self._since_s)[: max(0, count)]
        for connection in chosen:
            self._close(connection)
        return len(chosen)

    def _close(self, connection: IdleConnection) -> None:
        self._since_s.pop(connection)
        connection.close_receiving()
