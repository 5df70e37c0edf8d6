"""Charges of one connection to the budget of the process."""

from __future__ import annotations

import contextlib
import enum
import errno
import socket
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from cowslipstep.memory import ByteBudget, Holder


class Phase(enum.Enum):
    """What a connection does: it waits for its caller, or its request runs."""

    receiving = 'receiving'
    sending = 'sending'
    running = 'running'


LossObserver = Callable[[int, Phase], None]


class MemoryRefused(OSError):
    """A connection may not hold what it received or is to send.

    The WSGI server closes connections with this error number without a log
    line of its own.
    """

    def __init__(self) -> None:
        super().__init__(errno.EPIPE, 'no memory for what the caller holds')


class Charges:
    """Charges of one connection.

    Parameters
    ----------
    budget
        Budget of the process.
    sock
        Socket of the connection.
    on_loss
        Called with the number of held bytes and the phase of the connection
        when it loses its memory.

    Attributes
    ----------
    phase
        What the connection does.
    holder
        The connection, as the budget sees it.
    """

    def __init__(
        self, budget: ByteBudget, sock: Any, on_loss: LossObserver
    ) -> None:
        self._budget = budget
        self._on_loss = on_loss
        self.phase = Phase.running
        self.holder: Holder = budget.holder(partial(self._end_wait, sock))

    @property
    def lost(self) -> bool:
        """Whether the connection is refused or closed for memory."""
        return self.holder.lost

    def charge(self, charged_bytes: int) -> None:
        """Charge bytes that the connection holds until they are released.

        Raises
        ------
        MemoryRefused
            If it may not hold them.
        """
        was_lost = self.lost
        if self._budget.charge(self.holder, charged_bytes):
            return
        if not was_lost:
            self._on_loss(self.holder.held_bytes, self.phase)
        raise MemoryRefused

    def release(self, released_bytes: int) -> None:
        """Release bytes that the connection no longer holds."""
        self._budget.release(self.holder, released_bytes)

    @contextlib.contextmanager
    def waiting(self, phase: Phase) -> Iterator[None]:
        """Let the connection lose meanwhile."""
        self.phase = phase
        try:
            with self.holder.waiting_for_caller():
                yield
        finally:
            self.phase = Phase.running

    def _end_wait(self, sock: Any) -> None:
        """End the wait for the caller, so that the task releases its bytes."""
        self._on_loss(self.holder.held_bytes, self.phase)
        with contextlib.suppress(OSError):
            sock.shutdown(_directions(self.phase))


def _directions(phase: Phase) -> int:
    """Return which directions of a connection are shut down on a loss."""
    if phase is Phase.receiving:
        # The caller can still be told.
        return socket.SHUT_RD
    return socket.SHUT_RDWR
