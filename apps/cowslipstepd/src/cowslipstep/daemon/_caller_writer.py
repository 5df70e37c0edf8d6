"""File to which the server writes the responses of a connection."""

from __future__ import annotations

import errno
from collections.abc import Collection
from typing import Any

from cowslipstep.daemon._held_bytes import HeldBytes
from cowslipstep.daemon._held_file import HeldFile
from cowslipstep.daemon._response_sender import ResponseSender


class CallerWriter(HeldFile):
    """Writes to the connection of a caller, and does not wait for the caller.

    Parameters
    ----------
    lines
        Buffered file of the connection; only closed here.
    held
        What the connection holds.
    sender
        Sends what is written.
    """

    def __init__(
        self, lines: Any, held: HeldBytes, sender: ResponseSender
    ) -> None:
        super().__init__(lines, held)
        self._sender = sender

    @property
    def failed(self) -> bool:
        """Whether a part could not be sent, so that no other one may be."""
        return self._sender.failed or self._held.charges.lost

    def flush(self) -> None:
        """Do nothing: each write sends what it can."""

    def write(self, written: bytes) -> None:
        """Write bytes; what is not taken at once is charged until it is.

        Raises
        ------
        MemoryRefused
            If there is no memory for them.
        OSError
            If the connection is broken, or the caller took nothing for too
            long.
        """
        self.writelines((written,))

    def writelines(self, parts: Collection[bytes]) -> None:
        """Write parts; what is not taken at once is charged until it is.

        Raises
        ------
        MemoryRefused
            If there is no memory for them.
        OSError
            If the connection is broken, or the caller took nothing for too
            long.
        """
        if self._sender.failed:
            raise BrokenPipeError(errno.EPIPE, 'the caller takes no more')
        self._sender.send(parts)

    def finish(self) -> None:
        """Wait until all is sent, or cannot be sent; then hold nothing."""
        self._sender.drain()
        self._held.release_all()

    def abandon(self) -> None:
        """Send no more of what was written."""
        self._sender.abandon()
