"""Counts of requests by workspace and rank, from the daemons' metrics."""

from __future__ import annotations

import collections
import re
from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.cli._daemons import get_text
from cowslipstep.platform import CheckedPools

_LINE = re.compile(
    r'cowslipstep_requests_total\{(?P<labels>.*)\} (?P<count>\d+)'
)
_VERDICTS = ('completed', 'not_run', 'may_have_run')
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


@frozen(order=True)
class RequestCounts:
    """Ended requests of one workspace and rank today, by verdict."""

    workspace: str
    rank: str
    completed: int = 0
    not_run: int = 0
    may_have_run: int = 0


@frozen
class _LabelledCount:
    workspace: str
    rank: str
    verdict: str
    amount: int


@frozen
class FleetRequestCounts:
    """Counts summed over daemons.

    Parameters
    ----------
    counts
        Sums over the daemons that answered, by workspace and rank.
    answered
        Number of daemons that answered.
    unreachable
        Addresses of the daemons that did not answer.
    """

    counts: tuple[RequestCounts, ...]
    answered: int
    unreachable: tuple[str, ...]


def read_request_counts(addresses: Iterable[str]) -> FleetRequestCounts:
    """Read the metrics of daemons and add up their counts of requests."""
    http = CheckedPools(retries=False)
    texts: list[str] = []
    unreachable: list[str] = []
    for address in addresses:
        text = get_text(http, address, '/metrics')
        if text is None:
            unreachable.append(address)
        else:
            texts.append(text)
    return FleetRequestCounts(
        sum_request_counts(texts), len(texts), tuple(unreachable)
    )


def sum_request_counts(texts: Iterable[str]) -> tuple[RequestCounts, ...]:
    """Add up the counts in metrics texts, in the format of Prometheus.

    Examples
    --------
    >>> line = (
    ...     'cowslipstep_requests_total'
    ...     '{workspace="a",rank="urgent",verdict="completed"} 3'
    ... )
    >>> sum_request_counts([line, line])[0].completed
    6
    """
    totals: dict[tuple[str, str], collections.Counter[str]] = {}
    for text in texts:
        for count in _labelled_counts(text):
            key = (count.workspace, count.rank)
            verdicts = totals.setdefault(key, collections.Counter())
            verdicts[count.verdict] += count.amount
    return tuple(
        RequestCounts(*key, *[verdicts[name] for name in _VERDICTS])
        for key, verdicts in sorted(totals.items())
    )


def _labelled_counts(text: str) -> Iterator[_LabelledCount]:
    for line in _LINE.finditer(text):
        labels = dict(_LABEL.findall(line['labels']))
        yield _LabelledCount(
            labels.get('workspace', ''),
            labels.get('rank', ''),
            labels.get('verdict', ''),
            int(line['count']),
        )
