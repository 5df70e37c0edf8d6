"""Cases of daemons that choose groups by loads which they know late."""

from __future__ import annotations

import random

from attrs import field, frozen

_SPEEDS = (0.6, 1)
_EVEN = (1, 1)
# A group that starts runs at this part of its speed for some seconds.
_STARTING_SPEED = 0.5
_STARTING_S = 5
# Part of the groups that start again during a replay.
_STARTED_SHARE = 0.2
# A daemon's part of the requests is drawn from this range, before scaling.
_ENTRY_WEIGHTS = (0.2, 2)
# Period of reports through relays; reports that are younger come as often as
# they are old.
_MAX_PERIOD_S = 0.2


@frozen
class LateLoadCase:
    """Requests for one model that enter at many daemons.

    Parameters
    ----------
    daemons
        Number of daemons, each with a view of its own.
    groups
        Number of groups of the model.
    utilisation
        Requests that arrive, as a part of those that the groups can serve.
    report_age_s
        Mean age of what a daemon knows of the requests of others.
    slots
        Requests that a group runs at once.
    held_s
        Mean time for which a request holds a slot of a group of speed 1.
    length_s
        Time for which requests arrive, seconds.
    warm_up_s
        Time at the beginning that is not measured, seconds.
    even
        Whether all groups have the same speed, all the time, and all daemons
        get the same part of the requests.
    seed
        Seed of all that is random.
    """

    daemons: int
    groups: int
    utilisation: float
    report_age_s: float
    slots: int = 8
    held_s: float = 0.95
    length_s: float = 25
    warm_up_s: float = 5
    even: bool = False
    seed: int = 0

    @property
    def report_period_s(self) -> float:
        """Time between two reports that a daemon receives."""
        return min(_MAX_PERIOD_S, self.report_age_s)

    @property
    def report_delay_s(self) -> float:
        """Age of a report when it arrives."""
        return self.report_age_s - self.report_period_s / 2


@frozen
class Start:
    """A group that starts again and is slow for some seconds."""

    group: int
    at_s: float
    ends_s: float
    speed: float = _STARTING_SPEED


@frozen
class Surroundings:
    """What is drawn at random before a replay begins.

    Parameters
    ----------
    speeds
        Speed of each group.
    entry_weights
        Part of the requests that each daemon gets, before scaling.
    starts
        Groups that start again.
    requests_per_s
        Rate of all requests.
    """

    speeds: tuple[float, ...]
    entry_weights: tuple[float, ...]
    starts: tuple[Start, ...] = field()
    requests_per_s: float


def draw_surroundings(case: LateLoadCase, rng: random.Random) -> Surroundings:
    """Draw speeds, entry of requests, and groups that start again."""
    speeds = _draw(rng, _EVEN if case.even else _SPEEDS, case.groups)
    weights_range = _EVEN if case.even else _ENTRY_WEIGHTS
    return Surroundings(
        speeds,
        _draw(rng, weights_range, case.daemons),
        () if case.even else _draw_starts(case, rng),
        case.utilisation * case.slots * sum(speeds) / case.held_s,
    )


def _draw(
    rng: random.Random, bounds: tuple[float, float], number: int
) -> tuple[float, ...]:
    return tuple(rng.uniform(*bounds) for _ in range(number))


def _draw_starts(case: LateLoadCase, rng: random.Random) -> tuple[Start, ...]:
    number = round(_STARTED_SHARE * case.groups)
    return tuple(
        _start(group, rng.uniform(case.warm_up_s, case.length_s))
        for group in rng.sample(range(case.groups), number)
    )


def _start(group: int, at_s: float) -> Start:
    return Start(group, at_s, at_s + _STARTING_S)
