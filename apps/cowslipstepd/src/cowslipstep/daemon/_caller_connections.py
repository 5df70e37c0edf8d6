"""Connections of callers, closed without loss of a request."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

from eventlet import wsgi

from cowslipstep.daemon._caller_reader import DISCARD_REST, CallerReader
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

    @contextlib.contextmanager
    def opened(self, connection: _CallerConnection) -> Iterator[None]:
        """Hold a connection until it is served no more."""
        self._open.add(connection)
        try:
            yield
        finally:
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


class _HeadLines:
    """Reads the lines of a request's head and notices if it is cut.

    The parser takes the end of the connection for the end of the head.
    """

    def __init__(self, lines: Any) -> None:
        self._lines = lines
        self._cut = False

    @property
    def cut(self) -> bool:
        """Whether the connection ended within the head."""
        return self._cut

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line."""
        line: bytes = self._lines.readline(limit)
        self._cut = self._cut or not line
        return line


class _CallerConnection(wsgi.HttpProtocol):
    """Serves the requests of one connection."""

    rfile: Any

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
        environ[DISCARD_REST] = self.rfile.discard_rest
        return environ

    def handle(self) -> None:  # noqa: WPS110
        """Serve requests until the connection is closed."""
        self.rfile = CallerReader(self.rfile, self.request)
        with self._connections.opened(self):
            super().handle()

    def parse_request(self) -> bool:
        """Parse the head of a request; return false if it is not served."""
        lines = _HeadLines(self.rfile)
        self.rfile = lines
        parsed: bool = super().parse_request()
        if lines.cut:
            self.close_connection = True
            return False
        return parsed

    def handle_one_request(self) -> None:
        """Serve one request."""
        super().handle_one_request()
        if self._connections.closing:
            self.close_connection = True
