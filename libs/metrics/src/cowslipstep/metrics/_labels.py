"""Series and type lines in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable
from types import MappingProxyType

Labels = Iterable[tuple[str, str]]

_PREFIX = 'cowslipstep_'
_ESCAPES = MappingProxyType(
    str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'}),
)


def render_series(name: str, labels: Labels) -> str:
    """Return name and labels of a series, as they precede its figure.

    Examples
    --------
    >>> render_series('seconds', [('rank', 'urgent')])
    'cowslipstep_seconds{rank="urgent"}'
    """
    quoted = [f'{label}="{text.translate(_ESCAPES)}"' for label, text in labels]
    if not quoted:
        return f'{_PREFIX}{name}'
    joined = ','.join(quoted)
    return f'{_PREFIX}{name}{{{joined}}}'


def render_type(name: str, kind: str) -> str:
    """Return the comment line that declares the type of a metric.

    Examples
    --------
    >>> render_type('answers_total', 'counter')
    '# TYPE cowslipstep_answers_total counter'
    """
    return f'# TYPE {_PREFIX}{name} {kind}'
