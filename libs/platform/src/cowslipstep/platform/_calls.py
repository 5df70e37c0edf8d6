"""Calls to the platform and what came of them."""

from __future__ import annotations

import enum

from attrs import frozen

CALL_TIMEOUT_S = 2


@frozen
class PlatformCall:
    """One call: HTTP method, kind of object, path and body."""

    method: str
    kind: str
    path: str
    body: str | None = None
    timeout_s: float = CALL_TIMEOUT_S

    def __str__(self) -> str:
        return f'{self.method} {self.path}'


class CallOutcome(enum.StrEnum):
    """What came of a call."""

    answered = 'answered'
    conflict = 'conflict'
    missing = 'missing'
    failed = 'failed'
    over_budget = 'over_budget'
    backing_off = 'backing_off'


@frozen
class CallRecord:
    """Method and kind of a call, and what came of it, for counts."""

    method: str
    kind: str
    outcome: CallOutcome
