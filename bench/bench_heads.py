"""Cost of reading the head of a response, against the HTTP library's."""

from __future__ import annotations

import io
import timeit
from collections.abc import Iterator
from http.client import HTTPResponse
from types import SimpleNamespace

from _figures import Figure

from cowslipstep.platform import CheckedResponse

_FIELDS = 20
_MANY_FIELDS = 80
_READINGS = 1000
_REPEATS = 7
_US_PER_S = 1000000
# The cost of a field may not grow with their number.
_MAX_GROWTH = 1


def figures() -> Iterator[Figure]:
    """Yield the time for a head, its ratio, and the growth of its cost."""
    checked_s = _read_s(CheckedResponse, _FIELDS)
    library_s = _read_s(HTTPResponse, _FIELDS)
    yield Figure(
        'heads.read_time',
        checked_s * _US_PER_S,
        'us',
        baseline=library_s * _US_PER_S,
    )
    yield Figure(
        'heads.read_ratio', checked_s / library_s, 'ratio', bound=1, baseline=1
    )
    yield Figure(
        'heads.field_cost_growth',
        _growth(CheckedResponse, checked_s),
        'ratio',
        bound=_MAX_GROWTH,
        baseline=_growth(HTTPResponse, library_s),
    )


def _growth(response_class: type[HTTPResponse], few_fields_s: float) -> float:
    many_s = _read_s(response_class, _MANY_FIELDS)
    return many_s / few_fields_s / (_MANY_FIELDS / _FIELDS)


def _read_s(response_class: type[HTTPResponse], fields: int) -> float:
    """Return the least time in which one head was read, seconds."""
    head = _head(fields)

    def read_head() -> None:  # noqa: WPS430
        sock = SimpleNamespace(makefile=lambda _mode: io.BytesIO(head))
        response_class(sock, method='GET').begin()

    times_s = timeit.repeat(read_head, number=_READINGS, repeat=_REPEATS)
    return min(times_s) / _READINGS


def _head(fields: int) -> bytes:
    lines = [f'X-Field-{number}: text of {number}' for number in range(fields)]
    lines[0] = 'Content-Length: 0'
    return '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', '')).encode()
