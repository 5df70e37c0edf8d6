"""What happened on the day, in a few lines."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._facts import VERDICTS, Facts
from cowslipstep.cli._evening._floods import flood_titles
from cowslipstep.cli._evening._incidents import all_events
from cowslipstep.cli._evening._numbers import count_text
from cowslipstep.cli._evening._times import clock_text
from cowslipstep.metrics import Event

_SHOWN = 3
_WORDS = ('answered', 'refused', 'uncertain')
_NOTED = ('member_lost', 'daemon_silent')


def summary_lines(facts: Facts) -> Iterator[str]:
    """Yield the requests, the floods and what was lost."""
    yield _ended(facts)
    yield _listed('floods', flood_titles(facts))
    events = all_events(facts.day)
    for kind in _NOTED:
        found = [_event_text(event) for event in events if event.kind == kind]
        yield _listed(kind.replace('_', ' '), tuple(found))


def _ended(facts: Facts) -> str:
    asked = count_text(facts.asked())
    counts = [count_text(facts.count(verdict)) for verdict in VERDICTS]
    pairs = zip(counts, _WORDS, strict=True)
    ended = ', '.join(map(' '.join, pairs))
    return f'{asked} requests: {ended}'


def _listed(what: str, texts: tuple[str, ...]) -> str:
    if not texts:
        return f'{what}: none'
    shown = ', '.join(texts[:_SHOWN])
    further = len(texts) - _SHOWN
    more = f' and {further} more' if further > 0 else ''
    return f'{what}: {shown}{more}'


def _event_text(event: Event) -> str:
    return f'{event.subject} at {clock_text(event.at_unix_s)}'
