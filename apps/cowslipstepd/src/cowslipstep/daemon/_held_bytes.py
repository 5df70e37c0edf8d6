"""What the connection of a caller holds, charged to the process's budget."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from cowslipstep.daemon._charges import Charges, LossObserver, Phase
from cowslipstep.daemon._http import Environ
from cowslipstep.memory import ByteBudget

# Key of an environ: what its connection holds.
HELD_BYTES = 'cowslipstep.held_bytes'
# Less than this is part of the cost of a connection, which has a buffer of this
# size for what it sends.
_FREE_BYTES = 16384


class HeldBytes:
    """What one connection holds.

    Parameters
    ----------
    budget
        Budget of the process.
    sock
        Socket of the connection.
    on_loss
        Called when the connection loses its memory.

    Attributes
    ----------
    charges
        Charges of the connection.
    """

    def __init__(
        self, budget: ByteBudget, sock: Any, on_loss: LossObserver
    ) -> None:
        self.charges = Charges(budget, sock, on_loss)
        self._response_bytes = 0
        self._unsent_bytes = 0

    def received(self, received_bytes: int) -> None:
        """Charge received bytes in a block that receives.

        Raises
        ------
        MemoryRefused
            If the connection may not hold them.
        """
        if self.charges.phase is Phase.receiving:
            self.charges.holder.record_progress(received_bytes)
            self.charges.charge(received_bytes)

    def charge_response(self, charged_bytes: int) -> None:
        """Charge bytes of a response that is held until it is whole.

        They are not charged again when they are sent.

        Raises
        ------
        MemoryRefused
            If the connection may not hold them.
        """
        self._response_bytes += charged_bytes
        self.charges.charge(charged_bytes)

    def release_response(self) -> None:
        """Release a response that failed before it was whole."""
        self.charges.release(self._response_bytes)
        self._response_bytes = 0

    def release_all(self) -> None:
        """Release all at the end of a request."""
        self._response_bytes = 0
        self._unsent_bytes = 0
        self.charges.release(self.charges.holder.held_bytes)

    def hold_unsent(self, unsent_bytes: int) -> None:
        """Charge what is written and not sent yet, instead of what was before.

        Raises
        ------
        MemoryRefused
            If there is no memory for it.
        """
        # A response that was held until it was whole is charged already.
        free_bytes = max(_FREE_BYTES, self._response_bytes)
        added_bytes = max(0, unsent_bytes - free_bytes) - self._unsent_bytes
        self._unsent_bytes += added_bytes
        if added_bytes > 0:
            self.charges.charge(added_bytes)
        elif added_bytes:
            self.charges.release(-added_bytes)


@contextlib.contextmanager
def receiving(environ: Environ) -> Iterator[None]:
    """Charge what is received of a request meanwhile."""
    held = environ.get(HELD_BYTES)
    if held is None:
        yield
        return
    with held.charges.waiting(Phase.receiving):
        yield


def release_all(environ: Environ) -> None:
    """Release all that is held for a request which is refused."""
    held = environ.get(HELD_BYTES)
    if held is not None:
        held.release_all()


@contextlib.contextmanager
def gathered() -> Iterator[bytearray]:
    """Yield a buffer, and clear it at the end.

    The error that ends a request refers to the frame that gathers, and may
    outlive the request.
    """
    buffer = bytearray()
    try:
        yield buffer
    finally:
        buffer.clear()
