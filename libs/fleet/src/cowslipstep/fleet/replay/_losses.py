"""Seeded losses and returns of runners, and of the controller."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping

from attrs import field, frozen

from cowslipstep.fleet.replay._demand_wave import DemandWave

# Part of the time between two losses by which each one may be early or late.
_JITTER_SHARE = 0.2
_CUT_SHARE = 0.1
_CUT_S = 5
_CONTROLLER_AWAY_S = (3, 7)
# When the cut and the loss of the controller come, as parts of the time with
# requests.
_CUT_AT_SHARES = (0.1, 0.5)
_LOST_AT_SHARES = (0.2, 0.7)
_DOMAINS_PER_ZONE = 3


@frozen
class RunnersLost:
    """Serving members in some domains are lost; others replace them later."""

    domains: tuple[int, ...]
    count: int


@frozen
class RunnersStarted:
    """Runners without weights register in some domains."""

    domains: tuple[int, ...]
    count: int


@frozen
class RunnersCut:
    """A share of the runners is cut off from the store for a time."""

    share: float
    for_s: float


@frozen
class ControllerLost:
    """The controller is lost; the next one begins after a time."""

    for_s: float


LossEvent = RunnersLost | RunnersStarted | RunnersCut | ControllerLost


@frozen
class LossCase:
    """A fleet that loses runners while requests need all of them.

    Parameters
    ----------
    demand
        Number of groups that the requests keep busy, by model.
    domains
        Number of fabric domains.
    domain_size
        Runners of each fabric domain.
    registered_within_s
        Time within which all runners register at the start, seconds.
    calm_s
        Time until the first request and the first loss, seconds.
    length_s
        Time from the first request to the end, seconds.
    loss_period_s
        Mean time between two losses, seconds.
    seed
        Seed of all that is random.
    lost_at_once
        Numbers of runners of which each loss takes one.
    wave
        How the demand swings; ``None`` if it does not.
    """

    demand: Mapping[str, float]
    domains: int = 12
    domain_size: int = 18
    registered_within_s: float = 4
    calm_s: float = 16
    length_s: float = 34
    loss_period_s: float = 3
    seed: int = field(default=0)
    lost_at_once: tuple[int, ...] = (3, 4)
    wave: DemandWave | None = None

    @property
    def zones(self) -> list[tuple[int, ...]]:
        """Domains of each failure domain."""
        return [
            tuple(range(first, first + _DOMAINS_PER_ZONE))
            for first in range(0, self.domains, _DOMAINS_PER_ZONE)
        ]

    def demand_at(self, now_s: float) -> dict[str, float]:
        """Return the demand by model at a clock reading of the replay."""
        wave = self.wave
        if wave is None:
            return dict(self.demand)
        return wave.demand(self.demand, now_s - self.calm_s)


def scheduled_events(case: LossCase) -> Iterator[tuple[float, LossEvent]]:
    """Yield all events of a case with their clock readings, seconds."""
    rng = random.Random(case.seed)
    yield from _runner_events(case, rng)
    cut_at_s = case.calm_s + case.length_s * rng.uniform(*_CUT_AT_SHARES)
    yield cut_at_s, RunnersCut(_CUT_SHARE, _CUT_S)
    lost_at_s = case.calm_s + case.length_s * rng.uniform(*_LOST_AT_SHARES)
    yield lost_at_s, ControllerLost(rng.uniform(*_CONTROLLER_AWAY_S))


def _runner_events(
    case: LossCase, rng: random.Random
) -> Iterator[tuple[float, LossEvent]]:
    jitter_s = _JITTER_SHARE * case.loss_period_s
    for number in range(int(case.length_s / case.loss_period_s)):
        at_s = case.calm_s + case.loss_period_s * (number + 1 / 2)
        count = rng.choice(case.lost_at_once)
        yield (
            at_s + rng.uniform(-jitter_s, jitter_s),
            RunnersLost(rng.choice(case.zones), count),
        )
        yield (
            at_s + case.loss_period_s * rng.uniform(1, 3),
            RunnersStarted(rng.choice(case.zones), count),
        )
