"""Where the body of a response ends, RFC 9112 sections 6 and 9.3.

Fields that do not say it for certain are refused. Two equal lengths are so as
well; the RFC leaves that to the recipient.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.platform._field_lines import Field
from cowslipstep.platform._malformed import MalformedResponse

_LENGTH_FIELD = 'content-length'
_CODING_FIELD = 'transfer-encoding'
_CONNECTION_FIELD = 'connection'
_CLOSE = 'close'
# Name of a field, and an option of ``Connection``.
_KEEP_ALIVE = 'keep-alive'
# The only coding that a response may have if its request names no others.
_CHUNKED = 'chunked'
_OLD_VERSION = 'HTTP/1.0'
# ``int`` would also take signs, underscores and other digits. Larger lengths do
# not fit into the 63 bits of the interfaces of the system.
_LENGTH = re.compile('0*+[1-9][0-9]{0,17}|0+')


@frozen
class SizedBody:
    """A body of known length, in bytes."""

    length: int


@frozen
class ChunkedBody:
    """A body in chunks, whose last one ends it."""


@frozen
class BodyUntilClose:
    """A body that ends with its connection."""


BodyFraming = SizedBody | ChunkedBody | BodyUntilClose


def body_framing(version: str, fields: Iterable[Field]) -> BodyFraming:
    """Return the framing that the fields of a head state.

    Parameters
    ----------
    version
        HTTP version in the status line.
    fields
        Names and values.

    Raises
    ------
    MalformedResponse
        If they state more than one, or an invalid one.

    Examples
    --------
    >>> body_framing('HTTP/1.1', [('Content-Length', '012')])
    SizedBody(length=12)
    >>> body_framing('HTTP/1.1', [('Transfer-Encoding', 'Chunked')])
    ChunkedBody()
    >>> body_framing('HTTP/1.0', [])
    BodyUntilClose()
    """
    framing_fields = [
        (name.lower(), text)
        for name, text in fields
        if name.lower() in {_LENGTH_FIELD, _CODING_FIELD}
    ]
    match framing_fields:
        case []:
            return BodyUntilClose()
        case [(name, text)] if name == _LENGTH_FIELD:
            return SizedBody(_parse_length(text))
        case [(_, text)] if (
            text.lower() == _CHUNKED and version != _OLD_VERSION
        ):
            return ChunkedBody()
    raise MalformedResponse(
        'one length, or the chunked coding of HTTP/1.1',
        encode_fields(framing_fields),
    )


def stays_open(fields: Iterable[Field]) -> bool:
    """Return whether a head states that its connection stays open.

    RFC 9112 section 9.3: all responses of such a connection state where they
    end. That HTTP/1.1 keeps connections by default is no statement: a server
    that closes them should tell, but need not (section 9.6).

    Examples
    --------
    >>> stays_open([('Keep-Alive', 'timeout=10')])
    True
    >>> stays_open([('Keep-Alive', 'timeout=10'), ('Connection', 'close')])
    False
    >>> stays_open([])
    False
    """
    listed = tuple(fields)
    options = {
        option.strip().lower()
        for name, text in listed
        if name.lower() == _CONNECTION_FIELD
        for option in text.split(',')
    }
    if _CLOSE in options:
        return False
    names = {name.lower() for name, _ in listed}
    return _KEEP_ALIVE in names | options


def encode_fields(fields: Iterable[Field]) -> bytes:
    """Return fields as lines, for an error message."""
    lines = '\r\n'.join(f'{name}: {text}' for name, text in fields)
    return lines.encode('latin-1')


def _parse_length(text: str) -> int:
    if _LENGTH.fullmatch(text) is None:
        raise MalformedResponse('a length in bytes', text.encode('latin-1'))
    return int(text.lstrip('0') or '0')
