"""Checks the outcomes of callers against the records of the stand-ins."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from attrs import asdict, define

from cowslipstep_standins._caller import call_body
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._generation import prompt_digest
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._records import engine_runs, service_calls


@define
class OutcomeCounts:
    """Counts of the requests of a run; all but the first four must be zero.

    Attributes
    ----------
    lost
        Requests whose caller received no complete response.
    doubled
        Idempotency keys whose request ran more than once.
    misdelivered
        Completed responses that are incomplete or belong to another request.
    false_not_run
        Requests with the verdict ``not_run`` that ran, in this send or an
        earlier one of the same order.
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
        """Whether no invariant is violated."""
        violations = (
            self.lost,
            self.doubled,
            self.misdelivered,
            self.false_not_run,
        )
        return not any(violations)


def count_outcomes(
    outcomes: Iterable[Outcome], fleet: LocalFleet
) -> OutcomeCounts:
    """Compare the outcomes of callers with what the stand-ins ran."""
    runs = engine_runs(fleet)
    calls = service_calls(fleet)
    counts = OutcomeCounts(
        doubled=count_repeated_keys(runs) + count_repeated_keys(calls)
    )
    for outcome in outcomes:
        counts.requests += 1
        _count(outcome, counts)
        counts.false_not_run += _is_false_not_run(outcome, [*runs, *calls])
    return counts


def _is_false_not_run(outcome: Outcome, records: Iterable[Any]) -> bool:
    """Whether a ``not_run`` request ran, in this or in an earlier send.

    A run by a later send of the same order is no violation.
    """
    if outcome.verdict != 'not_run':
        return False
    return any(
        record['request_id'] == outcome.request_id
        or record['started_s'] < outcome.started_s
        for record in records
        if _recorded_content(outcome.call)
        in {record.get('digest'), record.get('body')}
    )


def _count(outcome: Outcome, counts: OutcomeCounts) -> None:
    match outcome.verdict:
        case 'completed':
            counts.answered += 1
            counts.misdelivered += not outcome.correct
        case 'not_run':
            counts.not_run += 1
        case 'may_have_run':
            counts.may_have_run += 1
        case _:
            counts.lost += 1


def _recorded_content(call: Call) -> str:
    if call.service:
        return call_body(call)
    return prompt_digest(call.prompt)


def count_repeated_keys(records: Iterable[Any]) -> int:
    """Count idempotency keys whose requests ran more than once.

    A run that resumes a stream does not count as another run.
    """
    keys = collections.Counter(
        record['key']
        for record in records
        if record['key'] and not record.get('first_token')
    )
    return sum(count > 1 for count in keys.values())


def format_counts(counts: OutcomeCounts) -> str:
    """Return the counts in one line, with ``ok`` or ``FAILED``."""
    status = 'ok' if counts.correct else 'FAILED'
    fields = [
        f'{name}={count}'
        for name, count in asdict(counts).items()
        if count or name != 'false_not_run'
    ]
    return ' '.join([f'demo {status}:', *fields])
