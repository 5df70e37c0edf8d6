"""The former decision on harmful prompts, as a baseline."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from cowslipstep.routing.prompts import (
    KnownParts,
    PromptFailure,
    PromptGuard,
    RecordedFailure,
    active_failures,
)

_MIN_FAILURES = 3
_MIN_REQUESTS = 2


class _NothingKnown(KnownParts):
    """Takes no part for sound because a response began before a failure."""

    def record_response(self, parts: Iterable[str], now_s: float) -> None:
        """Record nothing."""


class FormerPromptGuard(PromptGuard):
    """Refuses what most failures have in common, until a response begins.

    What was sound before a failure does not count, and a refused prompt is
    never tried again.
    """

    def __init__(self) -> None:
        super().__init__()
        self._known = _NothingKnown()
        self._cleared: dict[str, frozenset[str]] = {}
        self._records: tuple[RecordedFailure, ...] = ()

    def begin_response(self, parts: Sequence[str], now_s: float) -> bool:
        """Clear the parts of all records so far."""
        begun = frozenset(parts)
        for record in self._records:
            cleared = self._cleared.get(record.name, frozenset())
            self._cleared[record.name] = cleared | begun
        return True

    def decide(
        self,
        records: Iterable[RecordedFailure],
        sound_revisions: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Decide anew which prompts are refused."""
        self._records = tuple(records)
        kept = [
            record.without(self._cleared.get(record.name, frozenset()))
            for record in self._records
        ]
        failures = active_failures(kept, sound_revisions, now_s)
        self._combinations = _former_combinations(failures)


def _former_combinations(
    failures: Iterable[PromptFailure],
) -> frozenset[frozenset[str]]:
    combinations: set[frozenset[str]] = set()
    unexplained = list(failures)
    while common := _most_frequent(unexplained):
        combinations.add(common)
        unexplained = [
            failure
            for failure in unexplained
            if not common.issubset(failure.parts)
        ]
    return frozenset(combinations)


def _most_frequent(failures: Iterable[PromptFailure]) -> frozenset[str]:
    by_part: defaultdict[str, list[PromptFailure]] = defaultdict(list)
    for failed in failures:
        for part in dict.fromkeys(failed.parts):
            by_part[part].append(failed)
    worst: list[PromptFailure] = max(
        filter(_suffice, by_part.values()), key=len, default=[]
    )
    if not worst:
        return frozenset()
    return frozenset.intersection(
        *(frozenset(failure.parts) for failure in worst)
    )


def _suffice(failures: Sequence[PromptFailure]) -> bool:
    requests = {failure.request for failure in failures}
    return len(failures) >= _MIN_FAILURES and len(requests) >= _MIN_REQUESTS
