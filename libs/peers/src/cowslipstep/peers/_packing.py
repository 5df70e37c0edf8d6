"""Validation of packed messages before the codec reads them.

The codec unpacks the segments of a message lazily, and those not yet read in
a destructor: an error there ends the process. It cannot occur in a message
whose packing and segment table agree with its length.

References
----------
Cap'n Proto, "Encoding spec", sections "Packing" and "Serialization over a
stream".
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Iterator

from cowslipstep.peers._frames import FrameError

_WORD_BYTES = 8
_ZERO_TAG = 0
_FULL_TAG = 255
_MAX_EXTRA_SEGMENTS = 64
_UINT32_PAIR = struct.Struct('<II')
_NONZERO_BYTES = tuple(tag.bit_count() for tag in range(_FULL_TAG + 1))


def count_words(payload: bytes) -> int:
    """Return the unpacked size of a packed message in words.

    Raises
    ------
    FrameError
        If the packed bytes are truncated, or their unpacked size differs
        from that of the segment table.

    Examples
    --------
    >>> count_words(bytes([0x10, 1, 0, 0]))
    2
    """
    try:
        words = _count_unpacked_words(payload)
    except IndexError:
        raise FrameError('packed message is truncated') from None
    declared_words = _declared_words(payload)
    if words != declared_words:
        raise FrameError(
            f'{words} unpacked words, segment table declares {declared_words}'
        )
    return words


def _count_unpacked_words(payload: bytes) -> int:
    offset = 0
    words = 0
    while offset < len(payload):
        tag = payload[offset]
        offset += 1 + _NONZERO_BYTES[tag]
        words += 1
        if tag == _ZERO_TAG:
            words += payload[offset]
            offset += 1
        elif tag == _FULL_TAG:
            words += payload[offset]
            offset = _literal_run_end(offset, payload[offset])
    if offset != len(payload):
        raise IndexError(offset)
    return words


def _declared_words(payload: bytes) -> int:
    numbers = itertools.chain.from_iterable(_unpack_pairs(payload))
    extra_segments = next(numbers, 0)
    sizes = tuple(
        itertools.islice(numbers, min(extra_segments, _MAX_EXTRA_SEGMENTS) + 1)
    )
    if len(sizes) != extra_segments + 1:
        raise FrameError(
            'segment table is truncated or declares too many segments'
        )
    return _table_words(len(sizes)) + sum(sizes)


def _table_words(segments: int) -> int:
    return 1 + segments // 2


def _unpack_pairs(payload: bytes) -> Iterator[tuple[int, int]]:
    # Yields the unpacked words as pairs of 32-bit numbers, the units of the
    # segment table. The payload must not be truncated.
    offset = 0
    while offset < len(payload):
        tag = payload[offset]
        end = offset + 1 + _NONZERO_BYTES[tag]
        packed = payload[offset + 1 : end]
        yield _UINT32_PAIR.unpack(_unpack_word(tag, packed))
        offset = end
        if tag == _ZERO_TAG:
            yield from itertools.repeat((0, 0), payload[end])
            offset = end + 1
        elif tag == _FULL_TAG:
            offset = _literal_run_end(end, payload[end])
            literal_words = payload[end + 1 : offset]
            yield from _UINT32_PAIR.iter_unpack(literal_words)


def _literal_run_end(start: int, words: int) -> int:
    return start + 1 + words * _WORD_BYTES


def _unpack_word(tag: int, packed: bytes) -> bytes:
    nonzero = iter(packed)
    return bytes(
        next(nonzero) if tag >> index & 1 else 0 for index in range(_WORD_BYTES)
    )
