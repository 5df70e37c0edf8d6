"""Which hosts load the weights of a second model in advance."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.groups._fleet_decisions import FleetView, StageModel
from cowslipstep.groups._load_pace import LoadPace
from cowslipstep.model import DiscoveredRunner, SeatState


def stage_models(
    view: FleetView,
    pace: LoadPace,
) -> Iterator[StageModel]:
    """Yield loads onto hosts that lack the weights of some model.

    A runner that serves a model joins a group of that model again without
    a load, so its host may hold the weights of another one: whichever
    group it is needed for after a failure, it is ready soon.
    """
    for runner in view.present:
        if runner.draining or pace.is_loading(runner.name):
            continue
        model = _lacking(view, runner)
        if not model or not _is_settled(runner):
            continue
        if not pace.admits(view, 1):
            return
        pace.start(view, runner.name, model)
        yield StageModel(runner, model)


def _lacking(view: FleetView, runner: DiscoveredRunner) -> str:
    held = (*runner.loaded, *runner.staged)
    if not runner.loaded:
        return ''
    for model in view.engine.models:
        if model.name not in held:
            return model.name
    return ''


def _is_settled(runner: DiscoveredRunner) -> bool:
    """Whether the runner does not load weights for its group itself."""
    return runner.seat is None or runner.seat.state is not SeatState.joining
