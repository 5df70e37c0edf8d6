"""A daemon of a replay, with what it knows of harmful prompts."""

from __future__ import annotations

from attrs import define, field

from cowslipstep.replay._poison_requests import HARMFUL_PARTS, PoisonRequest
from cowslipstep.routing.prompts import (
    PromptGuard,
    RecordedFailure,
    TrialChance,
)


@define
class PoisonDaemon:
    """Records of failures and sound parts, as far as they have arrived.

    Attributes
    ----------
    guard
        Decides which prompts are refused.
    holds_lease
        Whether this daemon tries refused prompts again.
    """

    guard: PromptGuard
    holds_lease: bool
    _records: dict[str, RecordedFailure] = field(factory=dict)
    _sound_revisions: dict[str, int] = field(factory=dict)
    _wrong_since_s: float | None = None

    def admits(
        self, request: PoisonRequest, now_s: float, *, has_idle: bool
    ) -> bool:
        """Return whether a request is sent, and begin a trial if it is one."""
        if not self.guard.refuses(request.parts):
            return True
        trials = self.guard.trials
        chance = TrialChance(now_s, has_idle, self.holds_lease)
        if not request.attempts and trials.may_try(request.parts, chance):
            trials.begin(request.parts, now_s)
            request.is_trial = True
        return request.is_trial

    def learn(self, record: RecordedFailure, now_s: float) -> None:
        """Learn of a failure."""
        if record.name not in self._records:
            self._records[record.name] = record
            self._decide(now_s)

    def clear(self, part: str, revision: int, now_s: float) -> None:
        """Learn that a part is sound."""
        self._sound_revisions[part] = revision
        self._decide(now_s)

    def begin_response(
        self, request: PoisonRequest, now_s: float
    ) -> frozenset[str]:
        """Record a response; return the suspected parts that it clears."""
        suspected = frozenset().union(*self.guard.combinations)
        if self.guard.begin_response(request.parts, now_s):
            self._decide(now_s)
        return suspected.intersection(request.parts)

    def wrong_for_s(self, now_s: float) -> float:
        """Return for how long sound prompts have been refused."""
        combinations = self.guard.combinations
        if not any(one.isdisjoint(HARMFUL_PARTS) for one in combinations):
            self._wrong_since_s = None
            return 0
        if self._wrong_since_s is None:
            self._wrong_since_s = now_s
        return now_s - self._wrong_since_s

    def _decide(self, now_s: float) -> None:
        records = self._records.values()
        self.guard.decide(records, self._sound_revisions, now_s)
