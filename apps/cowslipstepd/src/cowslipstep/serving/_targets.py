"""Choice of the upstream for the next try of a request."""

from __future__ import annotations

import random
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.model import (
    DiscoveredRunner,
    EngineProfile,
    ServedModel,
    ServedService,
    ServingGroup,
)
from cowslipstep.routing import GroupView, choose_group, group_seconds
from cowslipstep.serving._serving_run import ServingRun
from cowslipstep.serving._state import ServingState

# Network delay between failure domains, where none is published.
_FAR_S = 0.0015
# A first event that takes this much longer than predicted is lost.
_PATIENCE_FACTOR = 2
_PATIENCE_SLACK_S = 0.4


@frozen
class Target:
    """An upstream for one try.

    Parameters
    ----------
    runner
        The upstream.
    patience_s
        Longest wait for the beginning of its answer.
    expected_s
        Predicted time until the beginning of its answer; zero if unknown.
    """

    runner: DiscoveredRunner
    patience_s: float
    expected_s: float = 0


class TargetChoice:
    """Chooses upstreams by load, distance and earlier failures.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._rng = random.Random()

    def choose(self, run: ServingRun) -> Target | None:
        """Return the upstream for the next try; ``None`` if there is none."""
        service = self._service(run)
        if service is None:
            return None
        if service.engine is None:
            return self._choose_plain(run)
        model = service.engine.model(run.routed.request.model)
        if model is None:
            return None
        return self._choose_group(run, service.engine, model)

    def note_demand(self, run: ServingRun) -> None:
        """Count the work of a new request for the layout of groups."""
        service = self._service(run)
        if service is None or service.engine is None:
            return
        request = run.routed.request
        model = service.engine.model(request.model)
        if model is not None:
            self._state.model_work_s[model.name] += group_seconds(
                request.prompt_tokens,
                request.output_tokens,
                service.engine,
                model,
            )

    def _service(self, run: ServingRun) -> ServedService | None:
        table = self._state.configuration.table
        if table is None:
            return None
        return table.configuration.services.get(run.routed.service)

    def _choose_plain(self, run: ServingRun) -> Target | None:
        usable = [
            runner
            for runner in self._state.directory.runners.values()
            if runner.service == run.routed.service
            and not runner.draining
            and runner.name not in run.avoided
        ]
        if not usable:
            return None
        trusted = self._trusted(usable, lambda runner: runner.name)
        best = min(trusted, key=self._plain_order)
        return Target(best, self._plain_patience_s(run))

    def _plain_order(self, runner: DiscoveredRunner) -> tuple[float, float]:
        load = self._state.loads.total(runner.name) / max(1, runner.slots)
        return (load, self._distance_s(runner) + self._rng.uniform(0, _FAR_S))

    def _plain_patience_s(self, run: ServingRun) -> float:
        route = run.routed.route
        if not route.repeatable or len(run.runs) + 1 >= route.max_tries:
            return run.remaining_s
        # Leaves as much time for another try.
        return run.remaining_s / 2

    def _choose_group(
        self,
        run: ServingRun,
        engine: EngineProfile,
        model: ServedModel,
    ) -> Target | None:
        groups = [
            group
            for group in self._serving(run, engine)
            if group.model == model.name and group.head.name not in run.avoided
        ]
        trusted = self._trusted(groups, lambda group: group.head.name)
        chosen = choose_group(
            [self._view(group) for group in trusted],
            run.routed.request.prompt_tokens,
            engine,
            model,
            self._rng,
        )
        if chosen is None:
            return None
        view, expected_s = chosen
        patience_s = _PATIENCE_FACTOR * expected_s + _PATIENCE_SLACK_S
        return Target(
            view.group.head,
            min(run.remaining_s, patience_s),
            expected_s,
        )

    def _serving(
        self,
        run: ServingRun,
        engine: EngineProfile,
    ) -> tuple[ServingGroup, ...]:
        directory = self._state.directory
        return self._state.groups.serving(
            run.routed.service,
            engine,
            lambda: directory.runners,
        )

    def _view(self, group: ServingGroup) -> GroupView:
        return GroupView(
            group,
            self._state.loads.total(group.head.name),
            self._distance_s(group.head),
        )

    def _distance_s(self, runner: DiscoveredRunner) -> float:
        near = runner.failure_domain == self._state.settings.failure_domain
        return 0 if near else _FAR_S

    def _trusted(self, candidates: Iterable, name_of) -> list:
        """Leave out suspects, unless no other is left."""
        listed = list(candidates)
        trusted = [
            candidate
            for candidate in listed
            if not self._state.suspicions.holds(name_of(candidate))
        ]
        return trusted or listed
