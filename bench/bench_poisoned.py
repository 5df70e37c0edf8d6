"""Prompts that end upstreams: the decision beside the former one."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from _figures import Figure
from attrs import evolve, frozen

from cowslipstep.replay._former_prompt_guard import FormerPromptGuard
from cowslipstep.replay._poison_cases import PoisonCase, PoisonFigures
from cowslipstep.replay._poisoned_prompts import replay_poisoned
from cowslipstep.routing.prompts import PromptGuard

_SEEDS = 8
_MAX_LATE = 3
_MAX_REFUSED_SHARE = 0.5
_RARE = 0.01
_FREQUENT = 0.3
# Two groups bear fewer requests a second than the eight of the other cases.
_TWO_GROUPS_RATE = 18
_BASE = PoisonCase(0)
_OFTEN = evolve(_BASE, poisoned_share=_FREQUENT)
_CASES = (
    ('usual', _BASE),
    ('rare', evolve(_BASE, poisoned_share=_RARE)),
    ('frequent', _OFTEN),
    ('two_parts', evolve(_BASE, harmful_parts=2)),
    ('two_frequent_parts', evolve(_OFTEN, harmful_parts=2)),
    ('other_crashes', evolve(_BASE, other_crash_period_s=2)),
    ('late_evidence', evolve(_BASE, daemons=9, evidence_delay_s=5)),
    ('two_groups', evolve(_BASE, upstreams=2, requests_per_s=_TWO_GROUPS_RATE)),
    ('no_calm', evolve(_OFTEN, calm_s=0)),
)


def figures() -> Iterator[Figure]:
    """Yield the worst of several seeds for each case, and the former one."""
    for name, case in _CASES:
        bounds = (_MAX_LATE * case.harmful_parts, _MAX_REFUSED_SHARE)
        compared = _Compared(
            name, _replays(case, PromptGuard), _former(case), *bounds
        )
        yield from compared.figures()


@frozen
class _Compared:
    """Replays of one case, with the decision and with the former one."""

    name: str
    replays: list[PoisonFigures]
    former: list[PoisonFigures]
    max_late: float
    max_refused_share: float

    def figures(self) -> Iterator[Figure]:
        """Yield the figures of the case."""
        yield self._figure('crashes', 'upstreams')
        yield self._figure('late_poisoned', 'requests', self.max_late)
        yield self._figure('refused_share', 'share', self.max_refused_share)
        yield self._figure('wrong_verdict_s', 's')

    def _figure(
        self, measured: str, unit: str, bound: float | None = None
    ) -> Figure:
        return Figure(
            f'poisoned.{self.name}.{measured}',
            _worst(self.replays, measured),
            unit,
            bound,
            _worst(self.former, measured),
        )


def _former(case: PoisonCase) -> list[PoisonFigures]:
    return _replays(case, FormerPromptGuard)


def _replays(
    case: PoisonCase, new_guard: Callable[[], PromptGuard]
) -> list[PoisonFigures]:
    return [
        replay_poisoned(evolve(case, seed=seed), new_guard)
        for seed in range(_SEEDS)
    ]


def _worst(replays: list[PoisonFigures], measured: str) -> float:
    return max(getattr(replay, measured) for replay in replays)
