"""Invariants, checked over the stand-ins' own records."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from attrs import asdict, define

from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._records import engine_runs, service_calls
from cowslipstep_standins._caller import call_body
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._generation import prompt_digest


@define
class Tally:
    """Counts of a run; all but the first four must be zero.

    Attributes
    ----------
    lost
        Requests whose caller got no answer at all.
    doubled
        Keyed non-idempotent requests that ran more than once.
    misdelivered
        Completed answers that are not whole or not the caller's own.
    false_not_run
        Requests answered ``not_run`` that ran, or that an earlier send ran.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    doubled: int = 0
    misdelivered: int = 0
    false_not_run: int = 0

    @property
    def correct(self) -> bool:
        """Whether no invariant is broken."""
        broken = (
            self.lost,
            self.doubled,
            self.misdelivered,
            self.false_not_run,
        )
        return not any(broken)


def tally(outcomes: Iterable[Outcome], fleet: LocalFleet) -> Tally:
    """Compare what callers saw with what the stand-ins really ran."""
    runs = engine_runs(fleet)
    calls = service_calls(fleet)
    counted = Tally(doubled=doubled_keys(runs) + doubled_keys(calls))
    for outcome in outcomes:
        counted.requests += 1
        _count(outcome, counted)
        counted.false_not_run += _is_false(outcome, [*runs, *calls])
    return counted


def _is_false(outcome: Outcome, records: Iterable[Any]) -> bool:
    """Say whether a request told ``not_run`` ran, then or by an earlier send.

    A later send of the same order may run it: it stands after this one.
    """
    if outcome.verdict != 'not_run':
        return False
    return any(
        record['request_id'] == outcome.request_id
        or record['started_s'] < outcome.started_s
        for record in records
        if _footprint(outcome.call)
        in {record.get('digest'), record.get('body')}
    )


def _count(outcome: Outcome, counted: Tally) -> None:
    match outcome.verdict:
        case 'completed':
            counted.answered += 1
            counted.misdelivered += not outcome.correct
        case 'not_run':
            counted.not_run += 1
        case 'may_have_run':
            counted.may_have_run += 1
        case _:
            counted.lost += 1


def _footprint(call: Call) -> str:
    if call.service:
        return call_body(call)
    return prompt_digest(call.prompt)


def doubled_keys(records: Iterable[Any]) -> int:
    """Count the keys whose orders ran more than once."""
    keys = collections.Counter(
        record['key']
        for record in records
        if record['key'] and not record.get('first_token')
    )
    return sum(count > 1 for count in keys.values())


def summarize(counted: Tally) -> str:
    """Return a tally in one line, ``ok`` if no invariant is broken."""
    word = 'ok' if counted.correct else 'FAILED'
    fields = [
        f'{name}={count}'
        for name, count in asdict(counted).items()
        if count or name != 'false_not_run'
    ]
    return ' '.join([f'demo {word}:', *fields])
