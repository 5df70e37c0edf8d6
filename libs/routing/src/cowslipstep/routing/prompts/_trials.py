"""When a refused prompt is tried again, so that no refusal lasts by itself.

A refusal takes away the responses that would show a part to be sound. One
request with it is let through at times, alone on its upstream.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import define, frozen

from cowslipstep.routing.prompts._failures import Combination, harmful_in

# Time from the last failure to the first trial, if something else may have
# ended the upstreams.
_FIRST_TRIAL_S = 3
# Time to the first trial of a part that must have ended upstreams, and after
# each trial.
_NEXT_TRIAL_S = 60
_BACKOFF_FACTOR = 4
# Time for which a trial waits for an idle upstream.
_IDLE_WAIT_S = 2
# Time for which a daemon leaves trials to the holder of the lease, which may
# not refuse the same prompts.
_LEASE_WAIT_S = 60


@frozen
class Verdict:
    """What is known of a refused combination.

    Parameters
    ----------
    is_certain
        Whether it must have ended upstreams.
    last_failed_s
        Clock reading at its last failure, seconds.
    """

    is_certain: bool
    last_failed_s: float


@frozen
class TrialChance:
    """Circumstances of a possible trial.

    Parameters
    ----------
    now_s
        Clock reading, seconds.
    alone
        Whether the request would be alone on its upstream. If none has become
        idle for a while, one with other requests has to do.
    holds_lease
        Whether this daemon makes the trials, so that few reach upstreams.
    """

    now_s: float
    alone: bool = True
    holds_lease: bool = True

    @property
    def wait_s(self) -> float:
        """Time for which a better chance is waited for."""
        idle_wait_s = 0 if self.alone else _IDLE_WAIT_S
        lease_wait_s = 0 if self.holds_lease else _LEASE_WAIT_S
        return idle_wait_s + lease_wait_s


@define
class _Trials:
    verdict: Verdict
    due_s: float
    period_s: float = _NEXT_TRIAL_S

    def update(self, verdict: Verdict) -> None:
        """Put the next trial off after new failures."""
        became_certain = verdict.is_certain and not self.verdict.is_certain
        wait_s = _NEXT_TRIAL_S if became_certain else _FIRST_TRIAL_S
        self.due_s = max(self.due_s, verdict.last_failed_s + wait_s)
        self.verdict = verdict


class TrialSchedule:
    """Decides when a request with a refused combination is let through.

    Examples
    --------
    >>> schedule = TrialSchedule()
    >>> schedule.update({frozenset({'deadly'}): Verdict(False, 10)})
    >>> [
    ...     schedule.may_try(('deadly',), TrialChance(now_s))
    ...     for now_s in (12, 13)
    ... ]
    [False, True]
    >>> schedule.begin(('deadly',), now_s=13)
    >>> schedule.may_try(('deadly',), TrialChance(14))
    False
    """

    def __init__(self) -> None:
        self._trials: dict[Combination, _Trials] = {}

    def update(self, verdicts: Mapping[Combination, Verdict]) -> None:
        """Set the combinations that are refused at present."""
        self._trials = {
            combination: self._trial(combination, verdict)
            for combination, verdict in verdicts.items()
        }

    def may_try(self, parts: Sequence[str], chance: TrialChance) -> bool:
        """Return whether a refused prompt may be let through."""
        held = harmful_in(parts, self._trials)
        if len(held) != 1:
            # With two harmful combinations, a trial tells nothing of either.
            return False
        return self._trials[held[0]].due_s + chance.wait_s <= chance.now_s

    def begin(self, parts: Sequence[str], now_s: float) -> None:
        """Record that a refused prompt is let through."""
        for combination in harmful_in(parts, self._trials):
            trials = self._trials[combination]
            trials.due_s = now_s + trials.period_s
            trials.period_s *= _BACKOFF_FACTOR

    def _trial(self, combination: Combination, verdict: Verdict) -> _Trials:
        known = self._trials.get(combination)
        if known is None:
            wait_s = _NEXT_TRIAL_S if verdict.is_certain else _FIRST_TRIAL_S
            return _Trials(verdict, verdict.last_failed_s + wait_s)
        known.update(verdict)
        return known
