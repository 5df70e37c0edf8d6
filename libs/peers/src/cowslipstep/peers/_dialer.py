"""Keeps a connection to one address open and reads from it."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator

import eventlet
from attrs import frozen
from eventlet.event import Event
from eventlet.green import socket
from loguru import logger

from cowslipstep.model import Address, Message
from cowslipstep.peers._connection import FrameConnection, Traffic
from cowslipstep.peers._frames import Frame, FrameError

CONNECT_TIMEOUT_S = 1
_MIN_RECONNECT_DELAY_S = 0.2
_MAX_RECONNECT_DELAY_S = 1


@frozen
class PeerEndpoint:
    """A peer's address, what it is sent first, and the count of bytes."""

    address: Address
    greeting: Message
    traffic: Traffic


class Dialer:
    """Keeps one connection open.

    Parameters
    ----------
    callee
        The peer.
    on_frame
        Called with each frame that it sends.
    """

    def __init__(
        self,
        callee: PeerEndpoint,
        on_frame: Callable[[Frame], None],
    ) -> None:
        self._callee = callee
        self._on_frame = on_frame
        self._connection: FrameConnection | None = None
        self._connected = Event()

    def run(self, on_down: Callable[[], None]) -> None:
        """Connect again and again; ``on_down`` follows each connection."""
        while True:
            try:
                self._connect_and_read()
            except OSError as closed:
                logger.debug('link closed: {}', closed)
            except FrameError as error:
                logger.warning('link closed, broken frame: {}', error)
            on_down()
            eventlet.sleep(
                random.uniform(
                    _MIN_RECONNECT_DELAY_S,
                    _MAX_RECONNECT_DELAY_S,
                ),
            )

    def connection(self) -> FrameConnection | None:
        """Return the connection, after a short wait for one if needed."""
        if self._connection is None:
            with eventlet.Timeout(CONNECT_TIMEOUT_S, False):
                self._connected.wait()
        return self._connection

    def reset(self) -> None:
        """Close a connection that no longer answers."""
        if self._connection is not None:
            self._connection.close()

    def _connect_and_read(self) -> None:
        address = self._callee.address
        sock = socket.create_connection(
            (address.ip, address.port),
            CONNECT_TIMEOUT_S,
        )
        with contextlib.closing(sock):
            sock.settimeout(None)
            connection = FrameConnection(sock, self._callee.traffic)
            connection.send(
                Frame(0, reply=False, message=self._callee.greeting),
            )
            with self._in_use(connection):
                self._read(connection)

    def _read(self, connection: FrameConnection) -> None:
        while True:
            self._on_frame(connection.receive())

    @contextlib.contextmanager
    def _in_use(self, connection: FrameConnection) -> Iterator[None]:
        self._connection = connection
        self._connected.send(None)
        try:
            yield
        finally:
            self._connection = None
            self._connected = Event()
