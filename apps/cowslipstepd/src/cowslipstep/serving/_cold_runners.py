"""Limits on the requests that this daemon sends to cold runners."""

from __future__ import annotations

import contextlib
import math
import random
from collections.abc import Collection, Iterator

from attrs import Factory, define, field
from loguru import logger

from cowslipstep.daemon._upstream_failures import NotSent
from cowslipstep.fleet import DiscoveredRunner
from cowslipstep.model import NotRun, Reason
from cowslipstep.routing.cold import (
    COLD_START_HOLD_S,
    COLD_WINDOW_S,
    ColdAllowance,
    KnownFleet,
    cold_share,
)
from cowslipstep.serving._cold_times import ColdFacts, ColdTimes

# Retry-After of a request that no cold runner may get, spread so that callers
# do not return together.
_MIN_RETRY_S = 0.25
_RETRY_SPREAD_SHARE = 0.5
_LOG_DECIMALS = 3
# Daemons that join together register within this time, so that their names
# are read by one call.
_LIST_AGAIN_DELAY_S = 3


@define
class ColdRunners:
    """Limits the requests to cold runners.

    Parameters
    ----------
    facts
        What the limits depend on.

    Attributes
    ----------
    times
        Until when each runner is cold.
    held_back
        How often a request was not sent, or found no upstream, because of
        the limits.
    listed
        Number of daemons whose entries this one has read, itself included.
    """

    _facts: ColdFacts
    times: ColdTimes = field(
        default=Factory(
            lambda runners: ColdTimes(runners._facts),  # noqa: WPS437
            takes_self=True,
        )
    )
    held_back: int = 0
    listed: int = 0
    _fleet: KnownFleet | None = None
    # Nothing is sent to cold runners until the list of daemons has been read.
    _allowance: ColdAllowance | None = None
    # Until when this daemon had read all names, seconds.
    _complete_s: float = math.inf
    _places: dict[str, int] = field(factory=dict)

    @property
    def misses_daemons(self) -> bool:
        """Whether others have long known daemons that this one has not read."""
        if self._facts.bounds().cold_overage is None:
            return False
        missing_s = self._facts.clock() - self._complete_s
        return missing_s > _LIST_AGAIN_DELAY_S

    def update_fleet(
        self, others: Collection[str], listed: int, largest_known: int
    ) -> None:
        """Set the daemons that share the limits.

        Parameters
        ----------
        others
            Names of the other daemons whose entries this one has read.
        listed
            Number of all entries that it has read.
        largest_known
            Largest number of entries that any other daemon has read.
        """
        self.listed = listed
        now_s = self._facts.clock()
        if self._allowance is None:
            self._allowance = ColdAllowance(now_s + COLD_START_HOLD_S)
            self._complete_s = now_s
        fleet = KnownFleet(self._facts.own, frozenset(others), largest_known)
        if fleet.names_all:
            self._complete_s = now_s
        is_changed = fleet != self._fleet
        self._fleet = fleet
        self._places = {
            name: place
            for name, place in self._places.items()
            if self.times.remaining_s(name) and not is_changed
        }

    def may_send(self, runner: DiscoveredRunner) -> bool:
        """Return whether a request may be sent to a runner now."""
        if not self.times.remaining_s(runner.name):
            return True
        return self._allowance is not None and self._allowance.allows(
            runner.name, self._share(runner), self._facts.clock()
        )

    @contextlib.contextmanager
    def writing(self, runner: DiscoveredRunner) -> Iterator[None]:
        """Count a request that is written within the context.

        Raises
        ------
        NotSent
            If the runner is cold and this daemon may not send the request.
        """
        if not self.times.remaining_s(runner.name):
            yield
            return
        allowance = self._allowance
        if allowance is None or not allowance.take(
            runner.name, self._share(runner), self._facts.clock()
        ):
            self.held_back += 1
            raise NotSent(
                NotRun(Reason.no_capacity),
                f'{runner.name} is cold and may get no other request now',
            )
        try:
            yield
        finally:
            allowance.record_written(runner.name, self._facts.clock())

    def refusal(self, service: str, rng: random.Random) -> NotRun | None:
        """Refuse a request without an upstream if there are cold ones."""
        longest_s = max(
            map(self.times.remaining_s, self.times.names(service)), default=0
        )
        if not longest_s:
            return None
        self.held_back += 1
        wait_s = min(COLD_WINDOW_S, max(_MIN_RETRY_S, longest_s))
        spread = 1 + rng.uniform(0, _RETRY_SPREAD_SHARE)
        return NotRun(Reason.no_capacity, wait_s * spread)

    def _share(self, runner: DiscoveredRunner) -> int:
        limit = self._facts.limit(runner.service)
        fleet = self._fleet
        if limit is None or fleet is None:
            return 0
        place = self._place(runner, fleet)
        share = cold_share(limit.in_touch, place, fleet.size)
        # Most daemons have no share; reports are looked up only for others.
        if share and fleet.others and not self._facts.hears_others():
            return cold_share(limit.cut_off, place, fleet.size)
        return share

    def _place(self, runner: DiscoveredRunner, fleet: KnownFleet) -> int:
        place = self._places.get(runner.name)
        if place is None:
            place = fleet.place(runner.name)
            self._places[runner.name] = place
            cold_s = self.times.remaining_s(runner.name)
            logger.bind(
                upstream=runner.name,
                service=runner.service,
                cold_s=round(cold_s, _LOG_DECIMALS),
                place=place,
                daemons=fleet.size,
            ).info('runner is cold, requests to it are limited')
        return place
