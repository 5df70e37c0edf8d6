"""File of a connection, with what the connection holds."""

from __future__ import annotations

from typing import Any

from cowslipstep.daemon._held_bytes import HeldBytes


class HeldFile:
    """File of a connection whose bytes are charged.

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
