"""Choice of the upstream for the next try of a request."""

from __future__ import annotations

import random

from attrs import frozen

from cowslipstep.fleet import (
    DiscoveredRunner,
    EngineProfile,
    ModelProfile,
    ServiceConfiguration,
    ServingGroup,
)
from cowslipstep.model import NotRun, Reason
from cowslipstep.routing import (
    BEST_EFFORT_URGENCY,
    BestEffort,
    GroupView,
    ModelTimes,
    OnTime,
    Overloaded,
    RequestDemand,
    UsualRequests,
    admit_request,
    group_seconds,
)
from cowslipstep.serving._candidates import Candidates
from cowslipstep.serving._serving_run import ServingRun
from cowslipstep.serving._state import ServingState

# A first event that takes this much longer than predicted is lost.
_PATIENCE_FACTOR = 2
_PATIENCE_SLACK_S = 0.4
# Ranks from here on share a place, so that all of them stay before requests
# that stand by.
_MAX_RANK = 4
# When a request for which there is no upstream may find one.
_RETRY_AFTER_S = 0.5


@frozen
class Target:
    """An upstream for one try.

    Parameters
    ----------
    runner
        The upstream.
    patience_s
        Longest wait for the beginning of its answer.
    urgency
        Place in the upstream's queue; 0 goes first.
    expected_s
        Predicted time until the beginning of its answer; zero if unknown.
    """

    runner: DiscoveredRunner
    patience_s: float
    urgency: int = 0
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
        self._candidates = Candidates(state, self._rng)
        self._usual = UsualRequests()

    def choose(self, run: ServingRun) -> Target | NotRun:
        """Return the upstream for the next try, or why there is none."""
        service = self._service(run)
        if service is None:
            return NotRun(Reason.unknown_service)
        if service.engine is None:
            return self._choose_plain(run)
        model = service.engine.model(run.routed.request.model)
        if model is None:
            return NotRun(Reason.unknown_model)
        return self._choose_group(run, service.engine, model)

    def note_demand(self, run: ServingRun) -> None:
        """Count the work of a new request for the layout of groups."""
        service = self._service(run)
        if service is None or service.engine is None:
            return
        request = run.routed.request
        model = service.engine.model(request.model)
        if model is not None:
            self._usual.add(
                model.name,
                request.prompt_tokens,
                request.output_tokens,
            )
            self._state.model_work_s[model.name] += group_seconds(
                request.prompt_tokens,
                request.output_tokens,
                service.engine,
                model,
            )

    def _service(self, run: ServingRun) -> ServiceConfiguration | None:
        table = self._state.configuration.table
        if table is None:
            return None
        return table.configuration.services.get(run.routed.service)

    def _choose_plain(self, run: ServingRun) -> Target | NotRun:
        runner = self._candidates.least_loaded(run)
        if runner is None:
            return NotRun(Reason.no_capacity, _RETRY_AFTER_S)
        route = run.routed.route
        if not route.repeatable or len(run.runs) + 1 >= route.max_tries:
            return Target(runner, run.remaining_s)
        # Leaves as much time for another try.
        return Target(runner, run.remaining_s / 2)

    def _choose_group(
        self,
        run: ServingRun,
        engine: EngineProfile,
        model: ModelProfile,
    ) -> Target | NotRun:
        admission = admit_request(
            self._candidates.group_views(run, engine, model),
            _demand(run),
            ModelTimes(engine, model, self._usual.usual(model.name, engine)),
            self._rng,
        )
        match admission:
            case OnTime(view, expected_s):
                return _on_time(run, view.group, expected_s)
            case BestEffort(view, expected_s):
                return _standing_by(run, view, expected_s)
            case Overloaded(retry_after_s):
                return NotRun(Reason.queue_full, retry_after_s)
        return NotRun(Reason.no_capacity, _RETRY_AFTER_S)


def _demand(run: ServingRun) -> RequestDemand:
    route = run.routed.route
    # The objective ends with the first event; a stream that goes on after a
    # failure competes like a new one, so that it is not refused midway.
    left_s = run.arrived_s + route.objective_s - run.now_s
    objective_s = route.objective_s if run.begun else left_s
    return RequestDemand(
        run.routed.request.prompt_tokens,
        _urgency(run),
        objective_s,
        run.remaining_s,
    )


def _urgency(run: ServingRun) -> int:
    return min(_MAX_RANK, max(0, run.routed.rank))


def _on_time(
    run: ServingRun,
    group: ServingGroup,
    expected_s: float,
) -> Target:
    patience_s = _PATIENCE_FACTOR * expected_s + _PATIENCE_SLACK_S
    return Target(
        group.leader,
        min(run.remaining_s, patience_s),
        _urgency(run),
        expected_s,
    )


def _standing_by(
    run: ServingRun,
    view: GroupView,
    expected_s: float,
) -> Target:
    return Target(
        view.group.leader,
        run.remaining_s,
        BEST_EFFORT_URGENCY + _urgency(run),
        expected_s,
    )
