"""Connections of callers, closed without loss of a request."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any

from eventlet import Timeout, wsgi

from cowslipstep.daemon._caller_input import ChunkedInput
from cowslipstep.daemon._caller_memory import unlimited_memory
from cowslipstep.daemon._caller_reader import DISCARD_REST, CallerReader
from cowslipstep.daemon._caller_writer import CallerWriter
from cowslipstep.daemon._charges import MemoryRefused, Phase
from cowslipstep.daemon._connection_limits import (
    ConnectionLimits,
    default_limits,
)
from cowslipstep.daemon._hangup import RECEIVING_CLOSED
from cowslipstep.daemon._held_bytes import HELD_BYTES, HeldBytes
from cowslipstep.daemon._http import CALLER_WRITER, OVER_LIMIT, Environ
from cowslipstep.daemon._idle_connections import IdleConnections
from cowslipstep.daemon._response_sender import ResponseSender

_REQUEST_TIMEOUT = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_NO_MEMORY = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Length: 0\r\nConnection: close\r\nRetry-After: 1\r\n\r\n'
)


class CallerConnections:
    """The open connections of a server for callers.

    Parameters
    ----------
    current_limits
        Returns the limits in force; open connections follow them, too.

    Attributes
    ----------
    memory
        Memory that the connections may take; set before they are opened.
    """

    def __init__(
        self, current_limits: Callable[[], ConnectionLimits] = default_limits
    ) -> None:
        self._current_limits = current_limits
        self.memory = unlimited_memory()
        self._open: set[CallerConnection] = set()
        self._idle = IdleConnections()
        self._closing = False

    @property
    def limits(self) -> ConnectionLimits:
        """The limits in force."""
        return self._current_limits()

    @property
    def closing(self) -> bool:
        """Whether connections are closed once they are idle."""
        return self._closing

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @property
    def idle(self) -> IdleConnections:
        """The connections that wait for a request."""
        return self._idle

    @contextlib.contextmanager
    def opened(self, connection: CallerConnection) -> Iterator[bool]:
        """Hold a connection until it is served no more.

        Yields whether it exceeds the limit, although those that are idle
        longest are closed first.
        """
        self._open.add(connection)
        excess = self.open_count - self.limits.max_connections
        closed = self._idle.close_longest(excess)
        try:
            yield excess > closed
        finally:
            self._open.discard(connection)

    def close_idle(self) -> None:
        """Close idle connections, and others once they are idle."""
        self._closing = True
        self._idle.close_longest(self._idle.count)


def close_expired(connections: CallerConnections) -> None:
    """Close the connections that have been idle for too long."""
    connections.idle.close_expired(connections.limits.idle_timeout_s)


class _HeadLines:
    """Reads the lines of a request's head and notices if it is cut.

    The parser takes the end of the connection for the end of the head.

    Parameters
    ----------
    lines
        Reader of the connection.
    max_bytes
        Longest head without the request line.
    """

    def __init__(self, lines: Any, max_bytes: int) -> None:
        self._lines = lines
        self._bytes_left = max_bytes
        self._cut = False

    @property
    def cut(self) -> bool:
        """Whether the connection ended within the head."""
        return self._cut

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line.

        Raises
        ------
        HeadersTooLarge
            If the head is longer than it may be.
        """
        line: bytes = self._lines.readline(limit)
        self._cut = self._cut or not line
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise wsgi.HeadersTooLarge
        return line


def _is_other_timeout(failure: BaseException, head_timeout: Any) -> bool:
    return isinstance(failure, Timeout) and failure is not head_timeout


def _refusal(failure: BaseException) -> bytes:
    """Return the response to a request whose head is not whole."""
    match failure:
        case MemoryRefused():
            return _NO_MEMORY
        case _:
            return _REQUEST_TIMEOUT


class CallerConnection(wsgi.HttpProtocol):
    """Serves the requests of one connection; creating it serves them all.

    Parameters
    ----------
    connections
        The connections of the server.
    conn_state
        Address, socket and state, as the WSGI server holds them.
    server
        The WSGI server.
    """

    rfile: Any
    wfile: Any
    _held: HeldBytes

    def __init__(
        self, connections: CallerConnections, conn_state: Any, server: Any
    ) -> None:
        self._connections = connections
        self._receiving_closed = False
        self._over_limit = False
        self._head_timeout: Any = None
        super().__init__(conn_state, server)

    def close_receiving(self) -> None:
        """Receive no more than what has arrived.

        Only the receiving side is shut down: a request that has arrived is
        still read, and its response can be sent.
        """
        self._receiving_closed = True
        with contextlib.suppress(OSError):
            self.request.shutdown(socket.SHUT_RD)

    def get_environ(self) -> Environ:  # noqa: WPS615
        """Return the environ of a request."""
        environ: Environ = super().get_environ()
        environ[RECEIVING_CLOSED] = self._receiving_closed
        environ[DISCARD_REST] = self.rfile.discard_rest
        environ[OVER_LIMIT] = self._over_limit
        environ[HELD_BYTES] = self._held
        environ[CALLER_WRITER] = self.wfile
        body = environ['wsgi.input']
        if body.chunked_input:
            body = ChunkedInput(self.rfile, body)
            environ['wsgi.input'] = body
            environ['eventlet.input'] = body
        return environ

    def handle(self) -> None:  # noqa: WPS110
        """Serve requests until the connection is closed."""
        with (
            self._connections.opened(self) as over_limit,
            self._connections.memory.opened(self.request) as held,
        ):
            self._held = held
            self.rfile = CallerReader(self.rfile, self.request, held)
            timeout_s = self._connections.limits.send_timeout_s
            sender = ResponseSender(self.request, held, timeout_s)
            self.wfile = CallerWriter(self.wfile, held, sender)
            self._over_limit = over_limit
            super().handle()

    def parse_request(self) -> bool:
        """Parse the head of a request; return false if it is not served."""
        limits = self._connections.limits
        lines = _HeadLines(self.rfile, limits.max_head_bytes)
        self.rfile = lines
        with self._held.charges.waiting(Phase.receiving):
            parsed: bool = super().parse_request()
        self._head_timeout.cancel()
        if lines.cut:
            self.close_connection = True
            return False
        return parsed

    def handle_one_request(self) -> None:
        """Wait for one request and serve it."""
        if not self._wait_for_request():
            self.close_connection = True
            return
        self._head_timeout = Timeout(self._connections.limits.head_timeout_s)
        try:
            super().handle_one_request()
        except (Timeout, MemoryRefused) as failure:
            if _is_other_timeout(failure, self._head_timeout):
                raise
            self.wfile.write(_refusal(failure))
            self.close_connection = True
        finally:
            self._head_timeout.cancel()
            self.wfile.finish()
        if self._connections.closing or self._over_limit or self.wfile.failed:
            self.close_connection = True

    def _wait_for_request(self) -> bool:
        """Wait for the first byte; return false at the end."""
        # The limit on the time is that of all idle connections.
        self.request.settimeout(None)
        with self._connections.idle.counted(self):
            if self._connections.closing:
                self.close_receiving()
            return bool(self.rfile.wait_for_bytes())
