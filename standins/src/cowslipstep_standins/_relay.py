"""TCP relays between two processes, whose traffic tests can disturb."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet
from attrs import frozen
from eventlet.green import socket

from cowslipstep_standins._opening_frame import read_opening_frame
from cowslipstep_standins._relay_rules import Link, LinkRules, Severed

_CHUNK_BYTES = 65536


@frozen
class Route:
    """Names of the two processes, and the addresses of one relay.

    Without a ``source`` the relay reads the name of the connecting daemon
    from the first frame of each connection, a ``DaemonEntry``.
    """

    source: str
    target: str
    listen: str
    upstream: str

    @classmethod
    def parse(cls, text: str) -> Route:
        """Parse ``source:target=listen=upstream``, the last two ``ip:port``."""
        ends, listen, upstream = text.split('=')
        source, _, target = ends.partition(':')
        return cls(source, target, listen, upstream)


@frozen
class _Direction:
    link: Link
    source_socket: Any
    target_socket: Any

    @property
    def reverse(self) -> _Direction:
        """The opposite direction of the same connection."""
        link = Link(self.link.target, self.link.source)
        return _Direction(link, self.target_socket, self.source_socket)

    def close(self) -> None:
        """Close the connection on both sides."""
        for sock in (self.source_socket, self.target_socket):
            _shut_down(sock, socket.SHUT_RDWR)


class Relay:
    """Accepts the connections of a route and forwards their bytes.

    Parameters
    ----------
    route
        Processes and addresses of the relay.
    rules
        Rules for the links between processes.
    """

    def __init__(self, route: Route, rules: LinkRules) -> None:
        self._route = route
        self._rules = rules

    def run(self, listener: Any) -> None:
        """Accept connections until the process ends."""
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        with contextlib.closing(sock), contextlib.suppress(OSError):
            first_frame = b''
            source = self._route.source
            if not source:
                source, first_frame = read_opening_frame(sock)
            self._connect(sock, Link(source, self._route.target), first_frame)

    def _connect(self, sock: Any, link: Link, first_frame: bytes) -> None:
        self._rules.wait_to_pass(link, len(first_frame))
        ip, _, port = self._route.upstream.rpartition(':')
        upstream = socket.create_connection((ip, int(port)))
        with contextlib.closing(upstream):
            upstream.sendall(first_frame)
            direction = _Direction(link, sock, upstream)
            reverse_copy = eventlet.spawn(self._copy, direction.reverse)
            with self._closed_when_severed(direction):
                self._copy(direction)
                reverse_copy.wait()

    @contextlib.contextmanager
    def _closed_when_severed(self, direction: _Direction) -> Iterator[None]:
        watchers = [
            eventlet.spawn(self._close_when_severed, side)
            for side in (direction, direction.reverse)
        ]
        try:
            yield
        finally:
            for watcher in watchers:
                watcher.kill()

    def _close_when_severed(self, direction: _Direction) -> None:
        while not isinstance(self._rules.rule(direction.link), Severed):
            self._rules.wait_for_change()
        direction.close()

    def _copy(self, direction: _Direction) -> None:
        try:
            _copy_bytes(direction, self._rules)
        except OSError:
            direction.close()
        _shut_down(direction.target_socket, socket.SHUT_WR)


def _copy_bytes(direction: _Direction, rules: LinkRules) -> None:
    while chunk := direction.source_socket.recv(_CHUNK_BYTES):
        rules.wait_to_pass(direction.link, len(chunk))
        direction.target_socket.sendall(chunk)
    rules.wait_to_pass(direction.link, 0)


def _shut_down(sock: Any, how: int) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(how)
