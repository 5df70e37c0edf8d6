"""Bytes that are written to a connection and not sent yet."""

from __future__ import annotations

from collections import deque

# Parts up to this size are copied together: each one by itself would take
# several times its bytes.
_MAX_COPIED_BYTES = 4096
_BLOCK_BYTES = 65536


class UnsentBytes:
    """A queue of bytes, of which large parts are not copied.

    Examples
    --------
    >>> unsent = UnsentBytes()
    >>> unsent.append(b'ab')
    >>> unsent.append(b'cd')
    >>> bytes(unsent.first(3)), len(unsent)
    (b'abc', 4)
    >>> unsent.remove(1)
    >>> bytes(unsent.first(9)), len(unsent)
    (b'bcd', 3)
    """

    def __init__(self) -> None:
        self._blocks: deque[memoryview] = deque()
        self._copied = bytearray()
        self._length = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._length

    def append(self, part: bytes) -> None:
        """Add a part at the end."""
        self._length += len(part)
        if len(part) <= _MAX_COPIED_BYTES:
            self._copied += part
            if len(self._copied) >= _BLOCK_BYTES:
                self._end_copied()
            return
        self._end_copied()
        self._blocks.append(memoryview(part))

    def first(self, max_bytes: int) -> memoryview:
        """Return the first bytes, at most that many; there must be some."""
        if not self._blocks:
            self._end_copied()
        return self._blocks[0][:max_bytes]

    def remove(self, sent_bytes: int) -> None:
        """Remove that many of the bytes that ``first`` returned."""
        self._length -= sent_bytes
        rest = self._blocks.popleft()[sent_bytes:]
        if rest:
            self._blocks.appendleft(rest)

    def clear(self) -> None:
        """Remove all."""
        self._blocks.clear()
        self._copied.clear()
        self._length = 0

    def _end_copied(self) -> None:
        if self._copied:
            self._blocks.append(memoryview(bytes(self._copied)))
            self._copied.clear()
