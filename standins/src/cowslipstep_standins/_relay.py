"""Relays: connections between two processes that tests can disturb."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import eventlet
from attrs import frozen
from eventlet.green import socket

from cowslipstep_standins._relay_greeting import read_greeting
from cowslipstep_standins._relay_rules import Link, LinkRules, Severed

_PIECE_BYTES = 65536


@frozen
class Route:
    """A relay: who connects, to whom, where it listens and sends on.

    Without a ``source`` each connection begins with the entry of a daemon.
    """

    source: str
    target: str
    listen: str
    upstream: str

    @classmethod
    def parse(cls, text: str) -> Route:
        """Read ``source:target=ip:port=ip:port``."""
        ends, listen, upstream = text.split('=')
        source, _, target = ends.partition(':')
        return cls(source, target, listen, upstream)


@frozen
class _Pipe:
    link: Link
    inlet: Any
    outlet: Any

    @property
    def back(self) -> _Pipe:
        """The other direction."""
        link = Link(self.link.target, self.link.source)
        return _Pipe(link, self.outlet, self.inlet)

    def close(self) -> None:
        """End the connection for both sides."""
        for sock in (self.inlet, self.outlet):
            _shut_down(sock, socket.SHUT_RDWR)


class Relay:
    """Accepts the connections of a route and passes their bytes on.

    Parameters
    ----------
    route
        From where to where.
    rules
        What passes.
    """

    def __init__(self, route: Route, rules: LinkRules) -> None:
        self._route = route
        self._rules = rules

    def run(self, listener: Any) -> None:
        """Accept connections without end."""
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        with contextlib.closing(sock), contextlib.suppress(OSError):
            greeting = b''
            source = self._route.source
            if not source:
                source, greeting = read_greeting(sock)
            self._join(sock, Link(source, self._route.target), greeting)

    def _join(self, sock: Any, link: Link, greeting: bytes) -> None:
        self._rules.admit(link, len(greeting))
        ip, _, port = self._route.upstream.rpartition(':')
        upstream = socket.create_connection((ip, int(port)))
        with contextlib.closing(upstream):
            upstream.sendall(greeting)
            pipe = _Pipe(link, sock, upstream)
            answers = eventlet.spawn(self._pump, pipe.back)
            with self._guarded(pipe):
                self._pump(pipe)
                answers.wait()

    @contextlib.contextmanager
    def _guarded(self, pipe: _Pipe) -> Iterator[None]:
        guards = [
            eventlet.spawn(self._guard, either) for either in (pipe, pipe.back)
        ]
        try:
            yield
        finally:
            for guard in guards:
                guard.kill()

    def _guard(self, pipe: _Pipe) -> None:
        while not isinstance(self._rules.rule(pipe.link), Severed):
            self._rules.wait_change()
        pipe.close()

    def _pump(self, pipe: _Pipe) -> None:
        try:
            _pass_on(pipe, self._rules)
        except OSError:
            pipe.close()
        _shut_down(pipe.outlet, socket.SHUT_WR)


def _pass_on(pipe: _Pipe, rules: LinkRules) -> None:
    while piece := pipe.inlet.recv(_PIECE_BYTES):
        rules.admit(pipe.link, len(piece))
        pipe.outlet.sendall(piece)
    rules.admit(pipe.link, 0)


def _shut_down(sock: Any, how: int) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(how)
