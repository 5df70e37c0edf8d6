"""Staging: hosts load the weights of a second model in advance."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.fleet._decisions import FleetView, StageModel
from cowslipstep.fleet._runners import DiscoveredRunner, MemberState
from cowslipstep.fleet._weight_load_limiter import WeightLoadLimiter


def stage_models(
    view: FleetView, load_limiter: WeightLoadLimiter
) -> Iterator[StageModel]:
    """Yield decisions to load weights onto hosts that lack those of a model.

    A runner can rejoin a group of the model that it serves without a load. If
    its host also holds the weights of another model, the runner is soon ready
    for a group of either one after a failure. Hosts without weights come first:
    their runners cannot serve at all, and the weight store admits few loads.
    """
    for runner in sorted(view.answering, key=_holds_weights):
        model = _missing_model(view, runner)
        if not model or load_limiter.is_loading(runner.name):
            continue
        if not load_limiter.admits(view, 1):
            return
        load_limiter.record_start(view, runner.name, model)
        yield StageModel(runner, model)


def _holds_weights(runner: DiscoveredRunner) -> bool:
    return bool(runner.loaded_models or runner.staged_models)


def _missing_model(view: FleetView, runner: DiscoveredRunner) -> str:
    """Return a model that the host lacks; empty if none may be loaded now."""
    if runner.draining or _is_joining(runner):
        return ''
    held = {*runner.loaded_models, *runner.staged_models}
    missing = (model for model in view.engine.models if model.name not in held)
    # A host without weights is soonest of use in the smallest group.
    smallest_first = sorted(missing, key=lambda model: model.group_size)
    if not smallest_first or (not held and not view.load_limits_apply):
        return ''
    return smallest_first[0].name


def _is_joining(runner: DiscoveredRunner) -> bool:
    """Return whether the runner joins a group, which may load weights."""
    return (
        runner.group_position is not None
        and runner.group_position.state is MemberState.joining
    )
