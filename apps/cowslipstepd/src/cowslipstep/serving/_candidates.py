"""Upstreams that may serve a request, with their loads and distances."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

from cowslipstep.fleet import (
    DiscoveredRunner,
    EngineProfile,
    ModelProfile,
    ServingGroup,
)
from cowslipstep.routing import (
    GroupView,
    doubted_upstreams,
    trusted_upstreams,
)
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._evacuations import groups_outside
from cowslipstep.serving._state import ServingState

# Assumed network delay between failure domains; none is published.
_REMOTE_DELAY_S = 0.0015

_Candidate = TypeVar('_Candidate')


class Candidates:
    """Lists upstreams; suspected ones only if there are no others.

    Parameters
    ----------
    state
        State of the daemon.
    rng
        Spreads requests over equally loaded upstreams.
    """

    def __init__(self, state: ServingState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng

    def least_loaded(self, delivery: DeliveryState) -> DiscoveredRunner | None:
        """Return the upstream with the fewest requests per slot.

        For services without an engine profile.
        """
        usable = [
            runner
            for runner in self._state.runner_table.runners.values()
            if _is_usable(runner, delivery)
            and not self._state.evacuations.is_evacuated(runner.failure_domain)
            and _may_send(self._state, runner)
        ]
        trusted = self._prefer_trusted(usable, lambda runner: runner.name)
        return min(trusted, key=self._load_then_distance, default=None)

    def group_views(
        self,
        delivery: DeliveryState,
        engine: EngineProfile,
        model: ModelProfile,
    ) -> list[GroupView]:
        """Return the groups that serve a model, with their loads."""
        groups = [
            group
            for group in self._groups_of(delivery.routed.service, engine)
            if group.model == model.name
            and group.leader.name not in delivery.avoided
            and _may_send(self._state, group.leader)
            and not (
                delivery.needs_idle_upstream
                and self._state.loads.total(group.leader.name).requests
            )
        ]
        return [
            GroupView(
                group,
                self._state.loads.total(group.leader.name),
                self._distance_s(group.leader),
                self._state.loads.own.requests_at(group.leader.name),
            )
            for group in self._prefer_trusted(groups, _leader_name)
        ]

    def _groups_of(
        self,
        service: str,
        engine: EngineProfile,
    ) -> Sequence[ServingGroup]:
        groups = self._state.serving_groups.serving(
            service,
            engine,
            self._state.runner_table.groups.groups,
        )
        return groups_outside(self._state.evacuations.current, groups)

    def _load_then_distance(
        self, runner: DiscoveredRunner
    ) -> tuple[float, float]:
        load = self._state.loads.total(runner.name)
        distance_s = self._distance_s(runner) + self._rng.uniform(
            0, _REMOTE_DELAY_S
        )
        return (load.requests / max(1, runner.slots), distance_s)

    def _distance_s(self, runner: DiscoveredRunner) -> float:
        in_own_domain = (
            runner.failure_domain == self._state.settings.failure_domain
        )
        return 0 if in_own_domain else _REMOTE_DELAY_S

    def _prefer_trusted(
        self,
        candidates: list[_Candidate],
        name_of: Callable[[_Candidate], str],
    ) -> list[_Candidate]:
        suspicions = self._state.suspicions
        names = tuple(map(name_of, candidates))
        trusted = trusted_upstreams(
            names,
            tuple(filter(suspicions.is_suspected, names)),
            doubted_upstreams(self._state.loads.reports),
        )
        return [
            candidate
            for candidate in candidates
            if name_of(candidate) in trusted
        ]


def _may_send(state: ServingState, runner: DiscoveredRunner) -> bool:
    """Return whether backoff and cold start allow a request now."""
    return not state.backoffs.wait_s(
        runner.name
    ) and state.cold_runners.may_send(runner)


def _leader_name(group: ServingGroup) -> str:
    return group.leader.name


def _is_usable(runner: DiscoveredRunner, delivery: DeliveryState) -> bool:
    if runner.draining or runner.name in delivery.avoided:
        return False
    return runner.service == delivery.routed.service
