"""Requests by workspace and rank, from the metrics of daemons."""

from __future__ import annotations

import collections
import re
from collections.abc import Iterable, Iterator

import urllib3
from attrs import frozen

from cowslipstep.cli._daemons import get_text

_LINE = re.compile(
    r'cowslipstep_requests_total\{(?P<labels>.*)\} (?P<count>\d+)'
)
_VERDICTS = ('completed', 'not_run', 'may_have_run')
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


@frozen(order=True)
class Load:
    """Requests of one workspace and rank that ended, by verdict."""

    workspace: str
    rank: str
    completed: int = 0
    not_run: int = 0
    may_have_run: int = 0


@frozen
class _Count:
    workspace: str
    rank: str
    verdict: str
    amount: int


@frozen
class LoadView:
    """The loads of the daemons that answer, and the addresses of others."""

    loads: tuple[Load, ...]
    answered: int
    silent: tuple[str, ...]


def read_loads(addresses: Iterable[str]) -> LoadView:
    """Add up the metrics of daemons."""
    http = urllib3.PoolManager(retries=False)
    answered: list[str] = []
    silent: list[str] = []
    for address in addresses:
        text = get_text(http, address, '/metrics')
        if text is None:
            silent.append(address)
        else:
            answered.append(text)
    return LoadView(add_loads(answered), len(answered), tuple(silent))


def add_loads(texts: Iterable[str]) -> tuple[Load, ...]:
    """Add up metrics in the text format of Prometheus.

    Examples
    --------
    >>> line = (
    ...     'cowslipstep_requests_total'
    ...     '{workspace="a",rank="urgent",verdict="completed"} 3'
    ... )
    >>> add_loads([line, line])[0].completed
    6
    """
    totals: dict[tuple[str, str], collections.Counter[str]] = {}
    for text in texts:
        for count in _counts(text):
            key = (count.workspace, count.rank)
            verdicts = totals.setdefault(key, collections.Counter())
            verdicts[count.verdict] += count.amount
    return tuple(
        Load(*key, *[verdicts[name] for name in _VERDICTS])
        for key, verdicts in sorted(totals.items())
    )


def _counts(text: str) -> Iterator[_Count]:
    for line in _LINE.finditer(text):
        labels = dict(_LABEL.findall(line['labels']))
        yield _Count(
            labels.get('workspace', ''),
            labels.get('rank', ''),
            labels.get('verdict', ''),
            int(line['count']),
        )
