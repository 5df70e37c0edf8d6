"""Reads from the file of a connection and charges bytes as they arrive."""

from __future__ import annotations

from typing import Any

from cowslipstep.daemon._held_bytes import HeldBytes


class ChargedLines:
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
        self._lines = lines
        self._held = held

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return bool(self._lines.closed)

    def close(self) -> None:
        """Close the file."""
        self._lines.close()

    def wait(self) -> bool:
        """Wait for bytes; return false at the end of the connection."""
        return bool(self._lines.peek(1))

    def read(self, size: int) -> bytes:
        """Return at least one byte and up to this many; none at the end."""
        return self._take(min(size, len(self._lines.peek(1))))

    def readline(self, limit: int) -> bytes:
        """Return the next line, or as much of it as the limit allows."""
        line = b''
        while len(line) < limit and not line.endswith(b'\n'):
            buffered = self._lines.peek(1)
            end = buffered.find(b'\n') + 1 or len(buffered)
            part = self._take(min(end, limit - len(line)))
            if not part:
                break
            line += part
        return line

    def _take(self, size: int) -> bytes:
        taken: bytes = self._lines.read(size)
        self._held.received(size)
        return taken
