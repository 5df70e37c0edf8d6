"""Outgoing link to one peer: one task keeps it connected and reads."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Iterator

import eventlet
from eventlet.event import Event
from eventlet.green import socket
from eventlet.semaphore import Semaphore

from cowslipstep.model import Address, CowslipstepError, Message
from cowslipstep.peers._frames import Frame, FrameError
from cowslipstep.peers._wire import receive_frame, send_frame

_CONNECT_TIMEOUT_S = 1
_RECONNECT_DELAY_S = 0.5


class PeerUnreachable(CowslipstepError):
    """The peer did not reply within the bound, or the link is down."""


class PeerLink:
    """Calls one peer; ``run`` is the task that reads its replies.

    Parameters
    ----------
    address
        Peer address of the other daemon.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._calls = itertools.count(1)
        self._waiting: dict[int, Event] = {}
        self._sending = Semaphore()
        self._sock: socket.socket | None = None

    @property
    def connected(self) -> bool:
        """Whether the link is up."""
        return self._sock is not None

    def run(self) -> None:
        """Keep the link connected until the task is ended."""
        while True:
            with contextlib.suppress(OSError, FrameError):
                self._serve_connection()
            eventlet.sleep(_RECONNECT_DELAY_S)

    def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and wait for the reply.

        Raises
        ------
        PeerUnreachable
            If there is no reply within ``timeout_s`` seconds.
        """
        number = next(self._calls)
        with self._expect(number) as replied:
            self._send(Frame(number, reply=False, message=message))
            reply = None
            with eventlet.Timeout(timeout_s, False):
                reply = replied.wait()
        if reply is None:
            raise PeerUnreachable(f'no reply from {self._address}')
        return reply

    def tell(self, message: Message) -> None:
        """Send a message that needs no reply.

        Raises
        ------
        PeerUnreachable
            If the link is down.
        """
        self._send(Frame(0, reply=False, message=message))

    def _serve_connection(self) -> None:
        with self._connected() as sock:
            while True:
                frame = receive_frame(sock)
                waiter = self._waiting.pop(frame.call, None)
                if waiter is not None:
                    waiter.send(frame.message)

    @contextlib.contextmanager
    def _connected(self) -> Iterator[socket.socket]:
        target = (self._address.ip, self._address.port)
        sock = socket.create_connection(target, _CONNECT_TIMEOUT_S)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        try:
            yield sock
        finally:
            self._sock = None
            sock.close()
            self._fail_waiting()

    def _fail_waiting(self) -> None:
        waiting = list(self._waiting.values())
        self._waiting.clear()
        for waiter in waiting:
            waiter.send(None)

    @contextlib.contextmanager
    def _expect(self, number: int) -> Iterator[Event]:
        replied = Event()
        self._waiting[number] = replied
        try:
            yield replied
        finally:
            self._waiting.pop(number, None)

    def _send(self, frame: Frame) -> None:
        with self._sending:
            if self._sock is None:
                raise PeerUnreachable(f'no link to {self._address}')
            try:
                send_frame(self._sock, frame)
            except OSError as error:
                raise PeerUnreachable(str(error)) from error
