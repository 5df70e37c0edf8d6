"""Conditional changes that read the object back if a response is lost."""

from __future__ import annotations

import random
import time

from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.platform._circuit_breaker import backoff_s
from cowslipstep.platform._conditional_change import (
    ChangeOutcomeUnknown,
    ConditionalChange,
    ObjectCalls,
    send_change,
)
from cowslipstep.platform._objects import (
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)

CHANGE_TIMEOUT_S = 5


def change_verified(
    calls: ObjectCalls,
    change: ConditionalChange,
    timeout_s: float = CHANGE_TIMEOUT_S,
) -> int:
    """Make a change and return the new version.

    Attempts that fail are repeated, which is safe: at most one of them
    finds the version that the change expects.

    Raises
    ------
    VersionConflict
        If another change came first; this one never took effect.
    PlatformUnavailable
        If no attempt succeeded within ``timeout_s`` seconds, or a response
        was lost and the object holds another change by now; its verdict
        says whether the change may have taken effect.
    """
    attempts = _Attempts(calls, change)
    deadline_s = time.monotonic() + timeout_s
    while True:
        version = attempts.attempt_once()
        if version is not None:
            return version
        delay_s = attempts.next_delay_s()
        if time.monotonic() + delay_s > deadline_s:
            raise attempts.timeout_error()
        time.sleep(delay_s)


class _Attempts:
    """Attempts at one change.

    Once a response is lost, the change may have taken effect: from then on
    the object is read back, before an attempt and after a version conflict.
    """

    def __init__(self, calls: ObjectCalls, change: ConditionalChange) -> None:
        self._calls = calls
        self._change = change
        self._name = str(change.key)
        self._may_have_run = False
        self._failures = 0
        self._rng = random.Random()

    def attempt_once(self) -> int | None:
        """Return the new version, or ``None`` if the attempt failed."""
        try:
            return self._read_back() or self._send()
        except ChangeOutcomeUnknown:
            raise
        except PlatformUnavailable as error:
            self._may_have_run |= isinstance(error.verdict, MayHaveRun)
            self._failures += 1
        return None

    def next_delay_s(self) -> float:
        """Return the wait before the next attempt."""
        return backoff_s(self._failures - 1, self._rng)

    def timeout_error(self) -> PlatformUnavailable:
        """Return the error to raise when no time is left.

        Its verdict says whether the change may have taken effect.
        """
        verdict = MayHaveRun if self._may_have_run else NotRun
        return PlatformUnavailable(
            verdict(Reason.platform_down),
            f'no change of {self._name} succeeded in time',
        )

    def _send(self) -> int:
        try:
            return send_change(self._calls, self._change)
        except VersionConflict:
            if not self._may_have_run:
                raise
        version = self._read_back()
        if version is None:
            raise ChangeOutcomeUnknown(
                MayHaveRun(Reason.platform_down),
                f'{self._name} holds another change since a response was lost',
            )
        return version

    def _read_back(self) -> int | None:
        if not self._may_have_run:
            return None
        try:
            stored = self._calls.read(self._change.key)
        except ObjectMissing:
            return None
        return stored.version if self._change.is_contained_in(stored) else None
