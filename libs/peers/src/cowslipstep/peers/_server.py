"""Server side of links: accepts connections, one task for each."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import eventlet
from eventlet.green import socket
from loguru import logger

from cowslipstep.model import Address, Message
from cowslipstep.peers._connection import FrameConnection, Traffic
from cowslipstep.peers._frames import Frame, FrameError
from cowslipstep.tasks import accepted_connections

_IDLE_TIMEOUT_S = 180
_MAX_CONNECTIONS = 1024
# Pause after a failure to accept, in which descriptors may be closed.
_ACCEPT_PAUSE_S = 0.05

ReplyCallback = Callable[[Message], None]
MessageHandler = Callable[[Message, ReplyCallback], None]


def _wait_after(error: OSError) -> None:
    logger.warning('peer link not accepted, will retry: {}', error)
    eventlet.sleep(_ACCEPT_PAUSE_S)


def _default_max_connections() -> int:
    return _MAX_CONNECTIONS


class PeerServer:
    """Accepts links from other daemons.

    Parameters
    ----------
    address
        Where to listen.
    on_message
        Called with each message and a callback that sends its reply. The
        reply may be sent later; ``on_message`` itself must not block, since
        the next message of the connection is read only when it returns.
    traffic
        Counters of the bytes and frames sent and received.
    max_connections
        Returns how many connections may be open at the same time.

    Raises
    ------
    OSError
        If the address is in use.
    """

    def __init__(
        self,
        address: Address,
        on_message: MessageHandler,
        traffic: Traffic,
        max_connections: Callable[[], int] = _default_max_connections,
    ) -> None:
        self._listener = eventlet.listen(
            (address.ip, address.port),
            reuse_port=False,
        )
        self._on_message = on_message
        self._traffic = traffic
        self._max_connections = max_connections
        self._open_connections = 0

    def run(self) -> None:
        """Accept connections until the task is killed.

        Raises
        ------
        OSError
            If the listening socket cannot be used any more.
        """
        for sock, _ in accepted_connections(self._listener, _wait_after):
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        if self._open_connections >= self._max_connections():
            logger.warning('too many peer links, one more is closed')
            sock.close()
            return
        self._open_connections += 1
        eventlet.spawn(self._serve, sock)

    @contextlib.contextmanager
    def _opened(self, sock: socket.socket) -> Iterator[None]:
        try:
            with contextlib.closing(sock):
                yield
        finally:
            self._open_connections -= 1

    def _serve(self, sock: socket.socket) -> None:
        with self._opened(sock):
            sock.settimeout(_IDLE_TIMEOUT_S)
            try:
                self._read(FrameConnection(sock, self._traffic))
            except OSError as error:
                logger.debug(
                    'incoming peer link closed, the peer may reconnect: {}',
                    error,
                )
            except FrameError as error:
                logger.warning(
                    'incoming peer link closed after a broken frame, '
                    'the peer may reconnect: {}',
                    error,
                )
            except Exception:
                logger.exception(
                    'incoming peer link closed, its message handler failed; '
                    'the peer may reconnect'
                )

    def _read(self, connection: FrameConnection) -> None:
        while True:
            frame = connection.receive()
            self._on_message(
                frame.message,
                _reply_callback(connection, frame.call),
            )


def _reply_callback(connection: FrameConnection, call: int) -> ReplyCallback:
    def reply(message: Message) -> None:  # noqa: WPS430
        if call == 0:
            return
        with contextlib.suppress(OSError):
            connection.send(Frame(call, reply=True, message=message))

    return reply
