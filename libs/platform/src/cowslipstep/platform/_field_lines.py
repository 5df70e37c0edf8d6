"""Field lines of heads and trailers, RFC 9110 section 5 and RFC 9112 section 5.

An obsolete line fold is refused: the RFC leaves that to the recipient, and one
wrong byte in front of a field would make it a part of the field before.
"""

from __future__ import annotations

import re

from cowslipstep.platform._malformed import MalformedResponse

Field = tuple[str, str]

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Control characters other than tabs are invalid in a value, but for a recipient
# that knows them to be harmless.
_CHARACTERS = rb'[\t\x20-\x7e\x80-\xff]*'
_NAME = re.compile(TOKEN)
_FIELD_VALUE = re.compile(_CHARACTERS)
_FIELD_LINE = re.compile(rb'(%b):(%b)\r\n' % (TOKEN, _CHARACTERS))
_BLANKS = ' \t'


def parse_field_line(line: bytes) -> Field:
    r"""Return the name and value of a field line, with its line end.

    Raises
    ------
    MalformedResponse
        If it is no field line.

    Examples
    --------
    >>> parse_field_line(b'Content-Length:\t12 \r\n')
    ('Content-Length', '12')
    """
    matched = _FIELD_LINE.fullmatch(line)
    if matched is None:
        raise MalformedResponse('a field line', line)
    name, text = matched.groups()
    return name.decode('ascii'), text.decode('latin-1').strip(_BLANKS)


def check_field(name: str, text: str) -> None:
    r"""Check that a field can be written as one field line.

    Raises
    ------
    ValueError
        If its name is no token, or its value has characters that none may
        have.

    Examples
    --------
    >>> check_field('Content-Type', 'text/plain')
    >>> check_field('Note', 'a\r\nContent-Length: 0')
    Traceback (most recent call last):
        ...
    ValueError: expected a field, got 'Note': 'a\r\nContent-Length: 0'
    """
    try:
        is_field = bool(
            _NAME.fullmatch(name.encode('ascii'))
            and _FIELD_VALUE.fullmatch(text.encode('latin-1'))
        )
    except UnicodeEncodeError:
        is_field = False
    if not is_field:
        raise ValueError(f'expected a field, got {name!r}: {text!r}')
