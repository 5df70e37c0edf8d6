"""Check of packed messages before the codec reads them.

The codec reads the segments of a packed message lazily, and the rest of
them in a destructor: an error there ends the process. A message whose
packing and segment table agree with its length cannot cause one.

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
_MAX_SEGMENTS = 64
_SIZES = struct.Struct('<II')
_ONES = tuple(tag.bit_count() for tag in range(_FULL_TAG + 1))


def count_words(payload: bytes) -> int:
    """Return the size of a packed message in words, unpacked.

    Raises
    ------
    FrameError
        If the packing is broken, or disagrees with the segment table.

    Examples
    --------
    >>> count_words(bytes([0x10, 1, 0, 0]))
    2
    """
    try:
        words = _unpacked_words(payload)
    except IndexError:
        raise FrameError('cut off') from None
    wanted = _wanted_words(payload)
    if words != wanted:
        raise FrameError(f'{words} words in place of {wanted}')
    return words


def _unpacked_words(payload: bytes) -> int:
    place = 0
    words = 0
    while place < len(payload):
        tag = payload[place]
        place += 1 + _ONES[tag]
        words += 1
        if tag == _ZERO_TAG:
            words += payload[place]
            place += 1
        elif tag == _FULL_TAG:
            words += payload[place]
            place = _end_of_run(place, payload[place])
    if place != len(payload):
        raise IndexError(place)
    return words


def _wanted_words(payload: bytes) -> int:
    numbers = itertools.chain.from_iterable(_unpacked(payload))
    others = next(numbers, 0)
    sizes = tuple(itertools.islice(numbers, min(others, _MAX_SEGMENTS) + 1))
    if len(sizes) != others + 1:
        raise FrameError('wrong segment table')
    return _table_words(len(sizes)) + sum(sizes)


def _table_words(segments: int) -> int:
    return 1 + segments // 2


def _unpacked(payload: bytes) -> Iterator[tuple[int, int]]:
    # Yields the words of a payload that is not cut off as pairs of numbers.
    place = 0
    while place < len(payload):
        tag = payload[place]
        end = place + 1 + _ONES[tag]
        packed = payload[place + 1 : end]
        yield _SIZES.unpack(_spread(tag, packed))
        place = end
        if tag == _ZERO_TAG:
            yield from itertools.repeat((0, 0), payload[end])
            place = end + 1
        elif tag == _FULL_TAG:
            place = _end_of_run(end, payload[end])
            run = payload[end + 1 : place]
            yield from _SIZES.iter_unpack(run)


def _end_of_run(start: int, words: int) -> int:
    return start + 1 + words * _WORD_BYTES


def _spread(tag: int, packed: bytes) -> bytes:
    given = iter(packed)
    return bytes(
        next(given) if tag >> index & 1 else 0 for index in range(_WORD_BYTES)
    )
