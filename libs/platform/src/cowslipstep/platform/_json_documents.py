"""JSON documents that other clients of the object API have a part in."""

from __future__ import annotations

import contextlib
import json
import math
import re
from collections.abc import Iterator
from typing import Any

from cowslipstep.model import MayHaveRun, Reason
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._objects import PlatformUnavailable

# Far more levels than any document has, and far fewer than the decoder bears.
_MAX_DEPTH = 64
_TOKENS = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
_UNREADABLE = 'NaN'
_PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def parse_json(encoded: bytes) -> Any:
    """Parse a document, in which some parts may be unreadable.

    Parts that are nested too deep and numbers with too many digits are
    replaced with NaN, and bytes that are not UTF-8 with lone surrogates. The
    decoder of an object's body refuses them; other objects stay readable.

    Raises
    ------
    ValueError
        If the document as a whole is not JSON.

    Examples
    --------
    >>> parse_json(b'[1, ' + b'[' * 100000 + b']' * 100000 + b']')[0]
    1
    """
    try:
        return json.loads(encoded)
    except (RecursionError, ValueError):
        text = encoded.decode(errors='surrogateescape')
        return json.loads(
            _prune(text), strict=False, parse_int=_parse_whole_number
        )


def body_text(body: Any) -> str:
    """Return the JSON text of an object's body."""
    try:
        return json.dumps(body)
    except RecursionError:
        return _UNREADABLE


@contextlib.contextmanager
def convert_parse_errors(call: PlatformCall) -> Iterator[None]:
    """Convert errors of parsing the response to a call.

    Raises
    ------
    PlatformUnavailable
        If the block cannot parse the response.
    """
    try:
        yield
    except _PARSE_ERRORS as error:
        raise PlatformUnavailable(
            MayHaveRun(Reason.platform_down),
            f'{call}: unusable response, {type(error).__name__}',
        ) from error


def _parse_whole_number(digits: str) -> float:
    try:
        return int(digits)
    except ValueError:
        # Python limits the number of digits.
        return math.nan


def _prune(text: str) -> str:
    """Replace the parts that are nested too deep."""
    kept: list[str] = []
    depth = 0
    kept_from = 0
    for token in _TOKENS.finditer(text):
        match token.group():
            case '[' | '{':
                depth += 1
                if depth == _MAX_DEPTH:
                    kept.extend((text[kept_from : token.start()], _UNREADABLE))
            case ']' | '}':
                if depth == _MAX_DEPTH:
                    kept_from = token.end()
                depth -= 1
    # The rest of a text that ends too early is within such a part.
    if depth < _MAX_DEPTH:
        kept.append(text[kept_from:])
    return ''.join(kept)
