"""Refused and uncertain requests and orders."""

from __future__ import annotations

from cowslipstep.cli._evening._facts import (
    MAY_HAVE_RUN,
    VERDICTS,
    Facts,
)
from cowslipstep.cli._evening._numbers import (
    count_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening._parts import Measure, Place, Section, Table
from cowslipstep.cli._evening._refusals import (
    reason_table,
    request_table,
)
from cowslipstep.cli._evening._targets import at_most

_KINDS = (
    ('requests', 'completions'),
    ('service_calls', 'calls to plain services'),
    ('orders', 'orders'),
)
_COUNT_HEAD = ('', 'answered', 'refused', 'uncertain')


def outcome_section(facts: Facts) -> Section:
    """Return how requests and orders ended."""
    return Section(
        'Orders, refused and uncertain requests',
        (
            _doubled(facts),
            *[_uncertain(facts, name, title) for name, title in _KINDS],
        ),
        (_counts(facts), reason_table(facts), request_table(facts)),
    )


def _doubled(facts: Facts) -> Measure:
    total = facts.day.total
    entered = count_text(total('order_entries', entry='entered'))
    again = total('order_entries', entry='replayed')
    in_use = total('order_entries', entry='in_use')
    return Measure(
        'orders run twice',
        f'none known; {entered} keys were entered once each, '
        f'{count_text(again + in_use)} sends of a key in use did not run',
        'none; the order ledger rules it out',
        None,
        Place.orders,
    )


def _uncertain(facts: Facts, name: str, title: str) -> Measure:
    limit = facts.configuration.targets.uncertain_share
    gone = facts.day.total('hangups', of=name, verdict=MAY_HAVE_RUN)
    number = facts.day.total(name, verdict=MAY_HAVE_RUN) - gone
    share = ratio(number, facts.day.total(name))
    besides = f'{count_text(number)}, besides {count_text(gone)} hung up'
    return Measure(
        f'{title} with uncertain outcome',
        share_text(share, f'({besides})'),
        f'at most {share_text(limit)}',
        at_most(share, limit),
        Place.orders,
    )


def _counts(facts: Facts) -> Table:
    rows = [
        (title, *[_total(facts, name, verdict) for verdict in VERDICTS])
        for name, title in _KINDS
    ]
    return Table('Outcomes', _COUNT_HEAD, tuple(rows))


def _total(facts: Facts, name: str, verdict: str) -> str:
    return count_text(facts.day.total(name, verdict=verdict))
