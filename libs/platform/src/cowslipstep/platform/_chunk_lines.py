"""Lines that begin the chunks of a body, RFC 9112 section 7.1."""

from __future__ import annotations

import re

from cowslipstep.platform._field_lines import TOKEN
from cowslipstep.platform._malformed import MalformedResponse

_HEXADECIMAL = 16
_QUOTED = (
    rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]'
    rb'|\\[\t\x20-\x7e\x80-\xff])*"'
)
_EXTENSION = rb'[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?' % (
    TOKEN,
    TOKEN,
    _QUOTED,
)
# Larger sizes do not fit into the 63 bits of the interfaces of the system;
# zeros before the size are legal.
_SIZE = rb'0*+[1-9A-Fa-f][0-9A-Fa-f]{0,14}|0+'
_CHUNK_LINE = re.compile(rb'(%b)(?:%b)*\r\n' % (_SIZE, _EXTENSION))


def parse_chunk_size(line: bytes) -> int:
    r"""Return the size in the first line of a chunk, with its line end.

    Extensions are ignored, as unknown ones must be.

    Raises
    ------
    MalformedResponse
        If it is no such line.

    Examples
    --------
    >>> parse_chunk_size(b'1F;name="text"\r\n')
    31
    """
    matched = _CHUNK_LINE.fullmatch(line)
    if matched is None:
        raise MalformedResponse('the size of a chunk', line)
    return int(matched[1], _HEXADECIMAL)
