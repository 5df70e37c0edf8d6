"""Writes responses to callers, and counts what they take."""

from __future__ import annotations

from collections.abc import Collection

from cowslipstep.daemon._held_file import HeldFile

# Part after which what was sent counts as progress of the caller. With larger
# parts, a slow caller would seem to make none for seconds.
_PART_BYTES = 16384


class CallerWriter(HeldFile):
    """Writes to the file of a connection."""

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
