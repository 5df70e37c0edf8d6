"""Calls to the platform and their outcomes."""

from __future__ import annotations

import enum

from attrs import frozen

CALL_TIMEOUT_S = 2


@frozen
class PlatformCall:
    """One call: HTTP method, kind of object, path, body and time limit."""

    method: str
    kind: str
    path: str
    body: str | None = None
    timeout_s: float = CALL_TIMEOUT_S

    def __str__(self) -> str:
        return f'{self.method} {self.path}'


class CallOutcome(enum.StrEnum):
    """Outcome of a call; the last two mean that it was not sent.

    A call that was given up shows neither that the store responds nor that
    it does not.
    """

    answered = 'answered'
    conflict = 'conflict'
    missing = 'missing'
    failed = 'failed'
    given_up = 'given_up'
    over_budget = 'over_budget'
    backing_off = 'backing_off'


@frozen
class CallRecord:
    """Method, kind and outcome of a call, for metrics."""

    method: str
    kind: str
    outcome: CallOutcome
