"""Invariants, checked over the stand-ins' own records."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from attrs import define

from cowslipstep_standins._caller import Outcome
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
        Requests answered ``not_run`` that ran.
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
    ran_digests = {run['digest'] for run in runs}
    ran_bodies = {call['body'] for call in calls}
    counted = Tally(doubled=_doubled(runs) + _doubled(calls))
    for outcome in outcomes:
        counted.requests += 1
        _count(outcome, counted)
        if outcome.verdict == 'not_run':
            counted.false_not_run += _ran(outcome, ran_digests, ran_bodies)
    return counted


def engine_runs(fleet: LocalFleet) -> list[Any]:
    """Records of all requests that engines ran."""
    return [
        run
        for host in fleet.plan.hosts
        for run in fleet.control(host.address)['runs']
    ]


def service_calls(fleet: LocalFleet) -> list[Any]:
    """Records of all calls that plain services ran."""
    return [
        call
        for address in fleet.plan.services
        for call in fleet.control(address)['calls']
    ]


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


def _ran(outcome: Outcome, digests: set[str], bodies: set[str]) -> bool:
    if outcome.call.service:
        return any(outcome.call.prompt in body for body in bodies)
    return prompt_digest(outcome.call.prompt) in digests


def _doubled(records: list[Any]) -> int:
    keys = collections.Counter(
        record['key']
        for record in records
        if record['key'] and not record.get('first_token')
    )
    return sum(count > 1 for count in keys.values())
