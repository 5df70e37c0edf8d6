"""Upstreams that may serve a request, with what is known of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeVar

from cowslipstep.fleet import (
    DiscoveredRunner,
    EngineProfile,
    ModelProfile,
    ServingGroup,
)
from cowslipstep.routing import GroupView
from cowslipstep.serving._serving_run import ServingRun
from cowslipstep.serving._state import ServingState

# Network delay between failure domains, where none is published.
_FAR_S = 0.0015

_Candidate = TypeVar('_Candidate')


class Candidates:
    """Lists upstreams; suspected ones only where there are no others.

    Parameters
    ----------
    state
        State of the daemon.
    rng
        Spreads requests over equal upstreams.
    """

    def __init__(self, state: ServingState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng

    def least_loaded(self, run: ServingRun) -> DiscoveredRunner | None:
        """Return the plain upstream with the least load for its slots."""
        usable = [
            runner
            for runner in self._state.directory.runners.values()
            if _is_usable(runner, run)
        ]
        trusted = self._trusted(usable, lambda runner: runner.name)
        return min(trusted, key=self._plain_order, default=None)

    def group_views(
        self,
        run: ServingRun,
        engine: EngineProfile,
        model: ModelProfile,
    ) -> list[GroupView]:
        """Return the groups of a model with their loads."""
        groups = [
            group
            for group in self._serving(run.routed.service, engine)
            if group.model == model.name
            and group.leader.name not in run.avoided
        ]
        return [
            GroupView(
                group,
                self._state.loads.total(group.leader.name),
                self._distance_s(group.leader),
            )
            for group in self._trusted(groups, _head_name)
        ]

    def _serving(
        self,
        service: str,
        engine: EngineProfile,
    ) -> tuple[ServingGroup, ...]:
        return self._state.groups.serving(
            service,
            engine,
            self._state.directory.runners,
        )

    def _plain_order(self, runner: DiscoveredRunner) -> tuple[float, float]:
        load = self._state.loads.total(runner.name)
        distance_s = self._distance_s(runner) + self._rng.uniform(0, _FAR_S)
        return (load.requests / max(1, runner.slots), distance_s)

    def _distance_s(self, runner: DiscoveredRunner) -> float:
        near = runner.failure_domain == self._state.settings.failure_domain
        return 0 if near else _FAR_S

    def _trusted(
        self,
        candidates: list[_Candidate],
        name_of: Callable[[_Candidate], str],
    ) -> list[_Candidate]:
        trusted = [
            candidate
            for candidate in candidates
            if not self._state.suspicions.holds(name_of(candidate))
        ]
        return trusted or candidates


def _head_name(group: ServingGroup) -> str:
    return group.leader.name


def _is_usable(runner: DiscoveredRunner, run: ServingRun) -> bool:
    if runner.draining or runner.name in run.avoided:
        return False
    return runner.service == run.routed.service
