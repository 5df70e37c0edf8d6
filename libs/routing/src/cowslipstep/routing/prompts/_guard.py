"""Which prompts a daemon refuses, from what it and others have seen."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from cowslipstep.routing.prompts._combinations import (
    ended_alone,
    harmful_combinations,
)
from cowslipstep.routing.prompts._failures import Combination, is_harmful
from cowslipstep.routing.prompts._known_parts import KnownParts
from cowslipstep.routing.prompts._records import (
    EVIDENCE_LIFETIME_S,
    RecordedFailure,
    active_failures,
    last_failed_s,
    span_s,
    unexplained,
)
from cowslipstep.routing.prompts._trials import TrialSchedule, Verdict

# A part that was sound before becomes harmful only if upstreams end on it for
# this time without a response that begins.
_MIN_SPAN_S = 10


class PromptGuard:
    """Decides which prompts are refused.

    Times are those of the system clock, seconds.
    """

    def __init__(self) -> None:
        self._known = KnownParts()
        self._trials = TrialSchedule()
        self._combinations: frozenset[Combination] = frozenset()
        self._failed_parts: frozenset[str] = frozenset()

    @property
    def combinations(self) -> frozenset[Combination]:
        """Combinations of parts with which prompts are refused."""
        return self._combinations

    @property
    def known(self) -> KnownParts:
        """What this daemon has seen of parts."""
        return self._known

    @property
    def trials(self) -> TrialSchedule:
        """When a refused prompt is tried again."""
        return self._trials

    def refuses(self, parts: Sequence[str]) -> bool:
        """Return whether a prompt is refused."""
        return is_harmful(parts, self._combinations)

    def begin_response(self, parts: Sequence[str], now_s: float) -> bool:
        """Record that a response began; return whether to decide anew."""
        unclear = self._failed_parts.intersection(parts)
        sound = self._known.sound(unclear, now_s)
        self._known.record_response(parts, now_s)
        return bool(unclear - sound)

    def decide(
        self,
        records: Iterable[RecordedFailure],
        sound_revisions: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Decide anew which prompts are refused.

        Parameters
        ----------
        records
            Records of all daemons.
        sound_revisions
            Parts that a daemon has found sound, with the revision at which it
            wrote that.
        now_s
            The time.
        """
        listed = tuple(records)
        self._failed_parts = frozenset(
            part for record in listed for part in record.failure.parts
        )
        since_s = now_s - EVIDENCE_LIFETIME_S
        kept = [self._known.without_sound(one, since_s) for one in listed]
        failures = active_failures(kept, sound_revisions, now_s)
        harmful = harmful_combinations(failures, self._known.share)
        self._combinations = harmful | _harmful_since_sound(
            [
                self._known.without_sound(one, one.recorded_at_unix_s)
                for one in unexplained(listed, harmful)
            ],
            sound_revisions,
            now_s,
        )
        self._trials.update(
            {
                one: Verdict(
                    ended_alone(failures, one), last_failed_s(listed, one)
                )
                for one in self._combinations
            }
        )


def _harmful_since_sound(
    records: Sequence[RecordedFailure],
    sound_revisions: Mapping[str, int],
    now_s: float,
) -> frozenset[Combination]:
    """Return combinations that were sound once, and are no more.

    Parameters
    ----------
    records
        Records without parts that were sound after them.
    sound_revisions
        Parts that a daemon has found sound, with their revisions.
    now_s
        The time.
    """
    failures = active_failures(records, sound_revisions, now_s)
    return frozenset(
        combination
        for combination in harmful_combinations(failures, _common_share)
        if span_s(records, combination) >= _MIN_SPAN_S
    )


def _common_share(_part: str) -> float:
    """Return a share for which many upstreams have to end."""
    return 1


def shared_combinations(
    records: Iterable[RecordedFailure],
    sound_revisions: Mapping[str, int],
    now_s: float,
) -> frozenset[Combination]:
    """Return what a daemon without knowledge of its own would refuse."""
    return harmful_combinations(
        active_failures(records, sound_revisions, now_s)
    )
