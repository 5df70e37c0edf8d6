"""Conditional changes whose lost answers are resolved by reading back."""

from __future__ import annotations

import random
import time

from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.platform._breaker import backoff_s
from cowslipstep.platform._change import (
    Change,
    ChangeOverwritten,
    ObjectCalls,
    send_change,
)
from cowslipstep.platform._objects import (
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)

DEADLINE_S = 5


def change_verified(
    calls: ObjectCalls,
    change: Change,
    deadline_s: float = DEADLINE_S,
) -> int:
    """Make a change and return the new version.

    A repeated conditional change is safe: at most one of the tries finds
    the version that it expects.

    Raises
    ------
    VersionConflict
        If another change won; this one never took effect.
    PlatformUnavailable
        If it is not known within ``deadline_s`` what became of it.
    """
    attempts = _Attempts(calls, change)
    end_s = time.monotonic() + deadline_s
    while True:
        version = attempts.make()
        if version is not None:
            return version
        delay_s = attempts.next_delay_s()
        if time.monotonic() + delay_s > end_s:
            raise attempts.give_up()
        time.sleep(delay_s)


class _Attempts:
    """Attempts at one change; uncertain once an answer was lost."""

    def __init__(self, calls: ObjectCalls, change: Change) -> None:
        self._calls = calls
        self._change = change
        self._name = str(change.key)
        self._uncertain = False
        self._failures = 0
        self._rng = random.Random()

    def make(self) -> int | None:
        """Return the new version, or nothing if the try failed."""
        try:
            return self._find_made() or self._send()
        except ChangeOverwritten:
            raise
        except PlatformUnavailable as error:
            self._uncertain |= isinstance(error.verdict, MayHaveRun)
            self._failures += 1
        return None

    def next_delay_s(self) -> float:
        """Return the wait before the next try."""
        return backoff_s(self._failures - 1, self._rng)

    def give_up(self) -> PlatformUnavailable:
        """Return the error that says whether the change may be made."""
        verdict = MayHaveRun if self._uncertain else NotRun
        return PlatformUnavailable(
            verdict(Reason.platform_down),
            f'no answer on {self._name}',
        )

    def _send(self) -> int:
        try:
            return send_change(self._calls, self._change)
        except VersionConflict:
            if not self._uncertain:
                raise
        version = self._find_made()
        if version is None:
            raise ChangeOverwritten(
                MayHaveRun(Reason.platform_down),
                f'{self._name} has changed since an answer was lost',
            )
        return version

    def _find_made(self) -> int | None:
        if not self._uncertain:
            return None
        try:
            stored = self._calls.read(self._change.key)
        except ObjectMissing:
            return None
        return stored.version if self._change.made(stored) else None
