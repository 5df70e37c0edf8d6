"""Choice of the upstream for the next attempt of a request."""

from __future__ import annotations

import math
import random
import time
from collections import defaultdict
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.fleet import (
    DiscoveredRunner,
    EngineProfile,
    ModelProfile,
    ServedModel,
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
    group_busy_s,
    urgency_level,
)
from cowslipstep.serving._backoff_refusals import backoff_refusal
from cowslipstep.serving._candidates import Candidates
from cowslipstep.serving._delivery_state import (
    DeliveryState,
    may_run_elsewhere,
)
from cowslipstep.serving._placement import group_placement
from cowslipstep.serving._state import ServingState

# An attempt fails if its response takes longer to begin than the predicted
# time multiplied by the factor, plus the slack.
_ATTEMPT_TIMEOUT_FACTOR = 2
_ATTEMPT_TIMEOUT_SLACK_S = 0.4
# Retry-After of a request for which there is no upstream.
_RETRY_AFTER_S = 0.5


@frozen
class ChosenUpstream:
    """An upstream for one attempt.

    Parameters
    ----------
    runner
        The upstream.
    response_timeout_s
        Longest wait for the head of its response, and again for the first
        part of a stream after the head.
    urgency
        Place in the upstream's queue; 0 goes first.
    expected_s
        Predicted time until the beginning of its response; zero if unknown.
    begins_by_s
        Clock reading by which the response must begin for the caller.
    member_domains
        Failure domains of the members of its group.
    """

    runner: DiscoveredRunner
    response_timeout_s: float
    urgency: int = 0
    expected_s: float = 0
    begins_by_s: float = math.inf
    member_domains: frozenset[str] = frozenset()

    @property
    def failure_domains(self) -> frozenset[str]:
        """Failure domains of the upstream and of the members of its group."""
        return self.member_domains | {self.runner.failure_domain}

    @property
    def is_substitute(self) -> bool:
        """Whether the request still waits for a silent upstream besides."""
        return self.begins_by_s < math.inf


class UpstreamChoice:
    """Chooses upstreams by load, distance and failed attempts.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._rng = random.Random()
        self._candidates = Candidates(state, self._rng)
        # By service: the engine of each one publishes a mean of its own.
        self._usual_requests: defaultdict[str, UsualRequests] = defaultdict(
            UsualRequests
        )

    def choose(self, delivery: DeliveryState) -> ChosenUpstream | NotRun:
        """Return the upstream for the next attempt, or why there is none."""
        service = self._service(delivery)
        if service is None:
            return NotRun(Reason.unknown_service)
        if service.engine is None:
            return self._choose_without_engine(delivery)
        model = service.engine.model(delivery.routed.request.model)
        if model is None:
            return NotRun(Reason.unknown_model)
        return self._choose_group(delivery, service.engine, model)

    def record_demand(self, delivery: DeliveryState) -> None:
        """Count the work of a new request, for decisions on groups."""
        service = self._service(delivery)
        if service is None or service.engine is None:
            return
        request = delivery.routed.request
        model = service.engine.model(request.model)
        if model is not None:
            self._usual_requests[service.name].add(
                model.name,
                request.prompt_tokens,
                request.output_tokens,
            )
            served = ServedModel(service.name, model.name)
            self._state.model_work_s[served] += group_busy_s(
                request.prompt_tokens,
                request.output_tokens,
                service.engine,
                model,
            )

    def _service(self, delivery: DeliveryState) -> ServiceConfiguration | None:
        table = self._state.configuration.table
        if table is None:
            return None
        return table.configuration.services.get(delivery.routed.service)

    def _choose_without_engine(
        self, delivery: DeliveryState
    ) -> ChosenUpstream | NotRun:
        runner = self._candidates.least_loaded(delivery)
        if runner is None:
            return self._no_upstream(delivery, None)
        if not may_run_elsewhere(delivery):
            return ChosenUpstream(runner, delivery.remaining_s)
        # Half of the time is left for a second attempt.
        return ChosenUpstream(runner, delivery.remaining_s / 2)

    def _choose_group(
        self,
        delivery: DeliveryState,
        engine: EngineProfile,
        model: ModelProfile,
    ) -> ChosenUpstream | NotRun:
        usual = self._usual_requests[delivery.routed.service]
        views = self._candidates.group_views(delivery, engine, model)
        _sample_loads(
            self._state,
            ServedModel(delivery.routed.service, model.name),
            views,
        )
        times = ModelTimes(engine, model, usual.usual(model.name, engine))
        admission = admit_request(
            views,
            _demand(delivery),
            times,
            self._rng,
            group_placement(self._state, views, times),
        )
        match admission:
            case OnTime(view, expected_s):
                return _on_time(delivery, view.group, expected_s)
            case BestEffort(view, expected_s):
                return _best_effort(delivery, view, expected_s)
            case Overloaded(retry_after_s):
                return NotRun(Reason.queue_full, retry_after_s)
        return self._no_upstream(delivery, engine)

    def _no_upstream(
        self, delivery: DeliveryState, engine: EngineProfile | None
    ) -> NotRun:
        cold = self._state.cold_runners
        return (
            backoff_refusal(self._state, delivery, engine, self._rng)
            or cold.refusal(delivery.routed.service, self._rng)
            or NotRun(Reason.no_capacity, _RETRY_AFTER_S)
        )


def _sample_loads(
    state: ServingState, served: ServedModel, views: Iterable[GroupView]
) -> None:
    samples = state.load_samples
    if samples.is_due(served, time.monotonic()):
        samples.add(
            served,
            (view.load.requests for view in views),
            state.loads.report_ages_s,
        )


def _demand(delivery: DeliveryState) -> RequestDemand:
    route = delivery.routed.route
    # The objective covers the time until the first event. A stream that is
    # resumed gets a full objective like a new request, so that it is not
    # refused midway.
    remaining_objective_s = (
        delivery.arrived_s + route.objective_s - delivery.now_s
    )
    objective_s = (
        route.objective_s if delivery.response_begun else remaining_objective_s
    )
    return RequestDemand(
        delivery.routed.request.prompt_tokens,
        _urgency(delivery),
        objective_s,
        delivery.remaining_s,
    )


def _urgency(delivery: DeliveryState) -> int:
    return urgency_level(delivery.routed.rank, delivery.routed.route.rank)


def _on_time(
    delivery: DeliveryState,
    group: ServingGroup,
    expected_s: float,
) -> ChosenUpstream:
    response_timeout_s = delivery.remaining_s
    if delivery.routed.route.repeatable:
        # Early enough for another attempt, by the daemon or by the caller.
        response_timeout_s = min(
            response_timeout_s,
            _ATTEMPT_TIMEOUT_FACTOR * expected_s + _ATTEMPT_TIMEOUT_SLACK_S,
        )
    return ChosenUpstream(
        group.leader,
        response_timeout_s,
        _urgency(delivery),
        expected_s,
        member_domains=group.failure_domains,
    )


def _best_effort(
    delivery: DeliveryState,
    view: GroupView,
    expected_s: float,
) -> ChosenUpstream:
    return ChosenUpstream(
        view.group.leader,
        delivery.remaining_s,
        BEST_EFFORT_URGENCY + _urgency(delivery),
        expected_s,
        member_domains=view.group.failure_domains,
    )
