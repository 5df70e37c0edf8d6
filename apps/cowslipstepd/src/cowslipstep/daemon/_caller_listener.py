"""Accepts the connections of callers until a planned stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eventlet import sleep, spawn
from eventlet.event import Event

from cowslipstep.daemon._accepting import FailedAccepts, refuse
from cowslipstep.daemon._caller_connections import CallerConnections
from cowslipstep.tasks import accepted_connections

# Idle connections that are closed when no descriptor is left.
_ROOM_CONNECTIONS = 16


class CallerListener:
    """A listening socket, and the task that accepts its connections.

    Parameters
    ----------
    listener
        Listening socket of eventlet.
    connections
        The connections that are open.
    serve
        Serves a connection from an address, in a task of its own.
    """

    def __init__(
        self,
        listener: Any,
        connections: CallerConnections,
        serve: Callable[[Any, Any], None],
    ) -> None:
        self._listener = listener
        self._connections = connections
        self._serve = serve
        self._closed = False

    def run(self) -> None:
        """Accept connections; after ``close``, wait until the task is killed.

        Raises
        ------
        OSError
            If the socket cannot be used any more.
        """
        try:
            self._accept()
        except OSError:
            if not self._closed:
                raise
        # A task that returns is started again.
        Event().wait()

    def close(self) -> None:
        """Accept pending connections, then close the listening socket."""
        sleep(0)
        self._closed = True
        self._listener.close()

    def _accept(self) -> None:
        failed = FailedAccepts(self._listener, self._make_room)
        for connection, address in accepted_connections(
            self._listener, failed.recover
        ):
            limits = self._connections.limits
            allowed = limits.max_connections + limits.max_refused
            if self._connections.open_count < allowed:
                spawn(self._serve, connection, address)
            else:
                refuse(connection)
                connection.close()

    def _make_room(self) -> None:
        self._connections.idle.close_longest(_ROOM_CONNECTIONS)
