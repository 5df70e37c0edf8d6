"""Reads from the file of a connection and charges bytes as they arrive."""

from __future__ import annotations

from typing import Any

from cowslipstep.daemon._held_bytes import HeldBytes
from cowslipstep.daemon._held_file import HeldFile

# Fewer bytes are charged together with later ones: charging each line of a head
# took a tenth of the time of a small request.
_BATCH_BYTES = 1024


class ChargedLines(HeldFile):
    """File of a connection.

    A read waits for the buffer of the file: one that waits by itself would
    hold a buffer of its own, and what it has so far would not be charged.

    Parameters
    ----------
    lines
        Buffered file of the connection.
    held
        What the connection holds.
    """

    def __init__(self, lines: Any, held: HeldBytes) -> None:
        super().__init__(lines, held)
        # Negative if more was charged than is kept.
        self._uncharged = 0

    def wait(self) -> bool:
        """Wait for a request; return false at the end of the connection."""
        self._uncharged = 0
        return bool(self._lines.peek(1))

    def read(self, size: int) -> bytes:
        """Return at least one byte and up to this many; none at the end."""
        return self._take(min(size, len(self._lines.peek(1))))

    def readline(self, limit: int, *, is_kept: bool = True) -> bytes:
        """Return the next line, or as much of it as the limit allows.

        A line that is not kept is charged only until it is whole.
        """
        line = b''
        while len(line) < limit and not line.endswith(b'\n'):
            buffered = self._lines.peek(1)
            end = buffered.find(b'\n') + 1 or len(buffered)
            part = self._take(min(end, limit - len(line)))
            if not part:
                break
            line += part
        if not is_kept:
            self._uncharged -= len(line)
        return line

    def _take(self, size: int) -> bytes:
        taken: bytes = self._lines.read(size)
        self._uncharged += size
        if not size or self._uncharged >= _BATCH_BYTES:
            charged_bytes = max(0, self._uncharged)
            self._uncharged -= charged_bytes
            self._held.received(charged_bytes)
        return taken
