"""Writes responses to callers, and counts what they take."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from cowslipstep.daemon._held_bytes import HeldBytes

# Part after which what was sent counts as progress of the caller. With larger
# parts, a slow caller would seem to make none for seconds.
_PART_BYTES = 16384


class CallerWriter:
    """Writes to the file of a connection.

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

    def flush(self) -> None:
        """Do nothing: each write sends what it buffers."""

    def write(self, written: bytes) -> None:
        """Write and send bytes; they are charged until they are sent.

        Raises
        ------
        MemoryRefused
            If there is no memory for them.
        """
        self.writelines((written,))

    def writelines(self, parts: Collection[bytes]) -> None:
        """Write and send parts; they are charged until they are sent.

        Raises
        ------
        MemoryRefused
            If there is no memory for them.
        """
        with self._held.sending(sum(map(len, parts))):
            for part in parts:
                self._write(memoryview(part))
            self._lines.flush()

    def _write(self, unsent: memoryview) -> None:
        while unsent:
            part, unsent = unsent[:_PART_BYTES], unsent[_PART_BYTES:]
            self._lines.write(part)
            self._held.charges.holder.record_progress(len(part))
