"""Groups of a replay: slots, a queue each, and speeds that differ."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from attrs import define, field, frozen

from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay.late_loads._cases import LateLoadCase, Surroundings


@frozen
class PlacedRequest:
    """A request at a group.

    Parameters
    ----------
    daemon
        Number of the daemon that sent it.
    placed_s
        When it was sent.
    held_s
        Time for which it holds a slot at speed 1.
    """

    daemon: int
    placed_s: float
    held_s: float


@define
class _Group:
    speed: float
    running: int = 0
    queue: deque[PlacedRequest] = field(factory=deque)


@define
class Groups:
    """Runs placed requests.

    Parameters
    ----------
    case
        The case.
    scheduler
        Scheduler of the replay.
    surroundings
        Speeds of the groups.
    on_end
        Called with the daemon and the group of a request that ends.

    Attributes
    ----------
    requests
        Requests in progress at each group.
    waits_s
        Waits of the requests that began after the warm-up.
    """

    case: LateLoadCase
    scheduler: EventScheduler
    surroundings: Surroundings
    on_end: Callable[[int, int], None]
    requests: list[int] = field(init=False)
    waits_s: list[float] = field(factory=list)
    _groups: list[_Group] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.requests = [0 for _ in range(self.case.groups)]
        self._groups = [_Group(speed) for speed in self.surroundings.speeds]
        for start in self.surroundings.starts:
            speed = self._groups[start.group].speed
            self._set_speed(start.at_s, start.group, speed * start.speed)
            self._set_speed(start.ends_s, start.group, speed)

    @property
    def speeds(self) -> list[float]:
        """The present speed of each group."""
        return [group.speed for group in self._groups]

    def place(self, number: int, daemon: int, rng: random.Random) -> None:
        """Let a request arrive at a group."""
        held_s = rng.expovariate(1 / self.case.held_s)
        group = self._groups[number]
        self.requests[number] += 1
        group.queue.append(
            PlacedRequest(daemon, self.scheduler.clock(), held_s)
        )
        self._fill_slots(number)

    def _set_speed(self, at_s: float, number: int, speed: float) -> None:
        def change() -> None:  # noqa: WPS430
            self._groups[number].speed = speed

        self.scheduler.schedule(at_s, change)

    def _fill_slots(self, number: int) -> None:
        group = self._groups[number]
        now_s = self.scheduler.clock()
        while group.queue and group.running < self.case.slots:
            request = group.queue.popleft()
            group.running += 1
            if request.placed_s >= self.case.warm_up_s:
                self.waits_s.append(now_s - request.placed_s)
            self.scheduler.schedule(
                now_s + request.held_s / group.speed,
                partial(self._end, number, request.daemon),
            )

    def _end(self, number: int, daemon: int) -> None:
        self._groups[number].running -= 1
        self.requests[number] -= 1
        self._fill_slots(number)
        self.on_end(daemon, number)
