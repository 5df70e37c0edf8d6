"""Connections of callers, closed without loss of a request."""

from __future__ import annotations

import contextlib
import socket
from typing import Any

from eventlet import wsgi

from cowslipstep.daemon._hangup import RECEIVING_CLOSED
from cowslipstep.daemon._http import Environ


class CallerConnections:
    """The open connections of a server for callers."""

    def __init__(self) -> None:
        self._open: set[_CallerConnection] = set()
        self._closing = False

    @property
    def closing(self) -> bool:
        """Whether connections are closed once they are idle."""
        return self._closing

    def serve(self, conn_state: Any, server: Any) -> None:
        """Serve a connection until it is closed."""
        _CallerConnection(self, conn_state, server)

    def add(self, connection: _CallerConnection) -> None:
        """Add an open connection."""
        self._open.add(connection)

    def discard(self, connection: _CallerConnection) -> None:
        """Remove a connection that is closed."""
        self._open.discard(connection)

    def close_idle(self) -> None:
        """Close idle connections, and others once they are idle.

        Only the receiving side is shut down: a request that has arrived is
        still read, and its response can be sent.
        """
        self._closing = True
        for connection in tuple(self._open):
            if connection.is_idle:
                connection.close_receiving()


class _CallerConnection(wsgi.HttpProtocol):
    """Serves the requests of one connection."""

    def __init__(
        self, connections: CallerConnections, conn_state: Any, server: Any
    ) -> None:
        self._connections = connections
        self._receiving_closed = False
        super().__init__(conn_state, server)

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or served."""
        return self.conn_state[2] == wsgi.STATE_IDLE

    def close_receiving(self) -> None:
        """Receive no more than what has arrived."""
        self._receiving_closed = True
        with contextlib.suppress(OSError):
            self.request.shutdown(socket.SHUT_RD)

    def get_environ(self) -> Environ:  # noqa: WPS615
        """Return the environ of a request."""
        environ: Environ = super().get_environ()
        environ[RECEIVING_CLOSED] = self._receiving_closed
        return environ

    def setup(self) -> None:
        """Begin to serve the connection."""
        super().setup()
        self._connections.add(self)

    def finish(self) -> None:
        """Close the connection."""
        self._connections.discard(self)
        super().finish()

    def handle_one_request(self) -> None:
        """Serve one request."""
        super().handle_one_request()
        if self._connections.closing:
            self.close_connection = True
