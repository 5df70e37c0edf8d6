"""Client side of a link: keeps a connection to one peer open."""

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
    """A peer's address, the first message that it is sent, and counters.

    Parameters
    ----------
    address
        Where the peer accepts links.
    greeting
        First message on each connection.
    traffic
        Counters of the bytes and frames sent and received.
    """

    address: Address
    greeting: Message
    traffic: Traffic


class Dialer:
    """Keeps a connection to one peer open and reads frames from it.

    Parameters
    ----------
    endpoint
        The peer.
    on_frame
        Called with each frame received from the peer.
    """

    def __init__(
        self,
        endpoint: PeerEndpoint,
        on_frame: Callable[[Frame], None],
    ) -> None:
        self._endpoint = endpoint
        self._on_frame = on_frame
        self._connection: FrameConnection | None = None
        self._connected = Event()

    def run(self, on_disconnect: Callable[[], None]) -> None:
        """Connect, and reconnect after a random delay, without end.

        ``on_disconnect`` is called whenever a connection has closed or
        could not be opened.
        """
        while True:
            try:
                self._connect_and_read()
            except OSError as error:
                logger.debug(
                    'outgoing peer link is down, will reconnect: {}', error
                )
            except FrameError as error:
                logger.warning(
                    'broken frame on an outgoing peer link, will reconnect: {}',
                    error,
                )
            on_disconnect()
            eventlet.sleep(
                random.uniform(
                    _MIN_RECONNECT_DELAY_S,
                    _MAX_RECONNECT_DELAY_S,
                ),
            )

    def connection(self) -> FrameConnection | None:
        """Return the open connection, or ``None``.

        While there is none, waits up to ``CONNECT_TIMEOUT_S`` seconds for
        ``run`` to open one.
        """
        if self._connection is None:
            with eventlet.Timeout(CONNECT_TIMEOUT_S, False):
                self._connected.wait()
        return self._connection

    def reset(self) -> None:
        """Close a connection that gets no replies; ``run`` opens another."""
        if self._connection is not None:
            self._connection.close()

    def _connect_and_read(self) -> None:
        address = self._endpoint.address
        sock = socket.create_connection(
            (address.ip, address.port),
            CONNECT_TIMEOUT_S,
        )
        with contextlib.closing(sock):
            sock.settimeout(None)
            connection = FrameConnection(sock, self._endpoint.traffic)
            connection.send(
                Frame(0, reply=False, message=self._endpoint.greeting),
            )
            with self._available(connection):
                self._read(connection)

    def _read(self, connection: FrameConnection) -> None:
        while True:
            self._on_frame(connection.receive())

    @contextlib.contextmanager
    def _available(self, connection: FrameConnection) -> Iterator[None]:
        self._connection = connection
        self._connected.send(None)
        try:
            yield
        finally:
            self._connection = None
            self._connected = Event()
