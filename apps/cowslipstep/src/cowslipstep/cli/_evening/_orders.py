"""Refused and uncertain requests and orders."""

from __future__ import annotations

from cowslipstep.cli._evening._facts import (
    MAY_HAVE_RUN,
    VERDICTS,
    Facts,
)
from cowslipstep.cli._evening._numbers import (
    ratio,
    share_text,
)
from cowslipstep.cli._evening._parts import Measure, Section, Table
from cowslipstep.cli._evening._refusals import (
    reason_table,
    request_table,
)
from cowslipstep.cli._evening._targets import at_most

_KINDS = (
    ('requests', 'completions'),
    ('service_calls', 'calls to plain services'),
    ('orders', 'orders with a key'),
)
_COUNT_HEAD = ('', 'answered', 'refused', 'uncertain')


def outcome_section(facts: Facts) -> Section:
    """Return how requests and orders ended."""
    return Section(
        'Orders, refused and uncertain requests',
        (_doubled(), _uncertain(facts)),
        (_counts(facts), reason_table(facts), request_table(facts)),
    )


def _doubled() -> Measure:
    return Measure(
        'orders run twice',
        '0, by construction: an order runs only after its key was entered',
        '0',
        reached=True,
    )


def _uncertain(facts: Facts) -> Measure:
    limit = facts.configuration.targets.uncertain_share
    gone = int(facts.day.total('hangups', verdict=MAY_HAVE_RUN))
    share = ratio(facts.count(MAY_HAVE_RUN) - gone, facts.asked())
    return Measure(
        'requests with an uncertain outcome',
        share_text(share, f'(besides {gone} whose callers hung up)'),
        f'at most {share_text(limit)}',
        at_most(share, limit),
    )


def _counts(facts: Facts) -> Table:
    rows = [
        (title, *[_total(facts, name, verdict) for verdict in VERDICTS])
        for name, title in _KINDS
    ]
    return Table('Outcomes', _COUNT_HEAD, tuple(rows))


def _total(facts: Facts, name: str, verdict: str) -> str:
    return str(int(facts.day.total(name, verdict=verdict)))
