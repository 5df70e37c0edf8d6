"""Server side of links: accepts connections, one task for each."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import eventlet
from eventlet.green import socket
from loguru import logger

from cowslipstep.model import Address, Message
from cowslipstep.peers._connection import FrameConnection, Traffic
from cowslipstep.peers._frames import Frame, FrameError

_IDLE_TIMEOUT_S = 180

ReplyCallback = Callable[[Message], None]
MessageHandler = Callable[[Message, ReplyCallback], None]


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
    ) -> None:
        self._listener = eventlet.listen(
            (address.ip, address.port),
            reuse_port=False,
        )
        self._on_message = on_message
        self._traffic = traffic

    def run(self) -> None:
        """Accept connections until the task is killed."""
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.closing(sock):
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
