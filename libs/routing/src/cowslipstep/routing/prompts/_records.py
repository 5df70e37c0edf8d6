"""Records of failed prompts, which daemons share, and what of them counts.

A part is sound once a request with it has begun its response; what failed
before that is no evidence against it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import evolve, frozen

from cowslipstep.routing.prompts._failures import (
    Combination,
    PromptFailure,
    is_harmful,
)

# A repaired upstream is tried again after this time.
EVIDENCE_LIFETIME_S = 600
_MAX_FAILURES = 256
_NOT_STORED = 0


@frozen
class RecordedFailure:
    """A failure as recorded by a daemon.

    Parameters
    ----------
    name
        Name that no other record has.
    failure
        What failed.
    recorded_at_unix_s
        When it failed, by the clock of its daemon.
    revision
        Revision of the store at which it was written; zero before.
    """

    name: str
    failure: PromptFailure
    recorded_at_unix_s: float
    revision: int = _NOT_STORED

    def is_current(self, now_unix_s: float) -> bool:
        """Whether it still counts; clocks of daemons may differ a little."""
        age_s = abs(now_unix_s - self.recorded_at_unix_s)
        return age_s < EVIDENCE_LIFETIME_S

    def without(self, parts: frozenset[str]) -> RecordedFailure:
        """Return the record without parts that are known to be sound."""
        kept = tuple(part for part in self.failure.parts if part not in parts)
        return evolve(self, failure=evolve(self.failure, parts=kept))


def active_failures(
    records: Iterable[RecordedFailure],
    sound_revisions: Mapping[str, int],
    now_unix_s: float,
) -> tuple[PromptFailure, ...]:
    """Return the failures that count, the latest ones if there are many.

    Parameters
    ----------
    records
        Records of all daemons.
    sound_revisions
        Parts known to be sound, with the revision at which that was written.
    now_unix_s
        The time.

    Examples
    --------
    >>> record = RecordedFailure('f', PromptFailure('r', ('a', 'b')), 0, 7)
    >>> active_failures([record], {'a': 9, 'b': 5}, 0)[0].parts
    ('b',)
    """
    current = [record for record in records if record.is_current(now_unix_s)]
    current.sort(key=lambda record: record.recorded_at_unix_s)
    active = (
        record.without(_sound_since(record, sound_revisions))
        for record in current[-_MAX_FAILURES:]
    )
    return tuple(record.failure for record in active if record.failure.parts)


def unexplained(
    records: Iterable[RecordedFailure], combinations: Iterable[Combination]
) -> tuple[RecordedFailure, ...]:
    """Return the records of upstreams that no harmful combination ended."""
    known = tuple(records)
    harmful = tuple(combinations)
    explained = {
        record.failure.upstream
        for record in known
        if is_harmful(record.failure.parts, harmful)
    }
    return tuple(
        record for record in known if record.failure.upstream not in explained
    )


def span_s(
    records: Iterable[RecordedFailure], combination: Combination
) -> float:
    """Return the time from the first to the last failure with a combination."""
    times_s = _failure_times_s(records, combination)
    return max(times_s, default=0) - min(times_s, default=0)


def last_failed_s(
    records: Iterable[RecordedFailure], combination: Combination
) -> float:
    """Return when a combination failed last; zero if it never did."""
    return max(_failure_times_s(records, combination), default=0)


def _failure_times_s(
    records: Iterable[RecordedFailure], combination: Combination
) -> list[float]:
    return [
        record.recorded_at_unix_s
        for record in records
        if combination.issubset(record.failure.parts)
    ]


def _sound_since(
    record: RecordedFailure, sound_revisions: Mapping[str, int]
) -> frozenset[str]:
    # What is not stored yet is newer than all that is.
    revision = record.revision or math.inf
    return frozenset(
        part
        for part in record.failure.parts
        if sound_revisions.get(part, _NOT_STORED) > revision
    )
