"""Outgoing link to one peer: one task keeps it connected and reads replies."""

from __future__ import annotations

import eventlet

from cowslipstep.model import CowslipstepError, Message
from cowslipstep.peers._dialer import Dialer, PeerEndpoint
from cowslipstep.peers._frames import Frame
from cowslipstep.peers._pending import PendingCalls


class PeerUnreachable(CowslipstepError):
    """The peer did not reply in time, or the link is down."""


class PeerLink:
    """Calls one peer; ``run`` is the task that reads its replies.

    Parameters
    ----------
    endpoint
        Address of the peer, and the first message on each connection.
    """

    def __init__(self, endpoint: PeerEndpoint) -> None:
        self._endpoint = endpoint
        self._peer = str(endpoint.address)
        self._pending = PendingCalls()
        self._dialer = Dialer(endpoint, self._pending.resolve)

    @property
    def endpoint(self) -> PeerEndpoint:
        """Address of the peer, and the first message on each connection."""
        return self._endpoint

    def run(self) -> None:
        """Keep the link connected until the task is killed."""
        self._dialer.run(self._pending.fail_all)

    def call(self, message: Message, timeout_s: float) -> Message:
        """Send a message and wait for the reply.

        Raises
        ------
        PeerUnreachable
            If the link is down, or no reply arrives within ``timeout_s``
            seconds.
        """
        reply = None
        with (
            self._pending.register() as pending,
            eventlet.Timeout(timeout_s, False),
        ):
            self._send(Frame(pending.number, reply=False, message=message))
            reply = pending.reply_event.wait()
        if reply is None:
            raise PeerUnreachable(f'no reply from peer {self._peer}')
        return reply

    def send(self, message: Message) -> None:
        """Send a message that needs no reply.

        Raises
        ------
        PeerUnreachable
            If the link is down.
        """
        self._send(Frame(0, reply=False, message=message))

    def reset(self) -> None:
        """Close a connection that gets no replies; ``run`` opens another."""
        self._dialer.reset()

    def _send(self, frame: Frame) -> None:
        connection = self._dialer.connection()
        if connection is None:
            raise PeerUnreachable(f'no connection to peer {self._peer}')
        try:
            connection.send(frame)
        except OSError as error:
            raise PeerUnreachable(str(error)) from error
