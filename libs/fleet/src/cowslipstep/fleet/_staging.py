"""Which hosts load the weights of a second model in advance."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.fleet._decisions import FleetView, StageModel
from cowslipstep.fleet._load_pace import LoadPace
from cowslipstep.fleet._runners import DiscoveredRunner, MemberState


def stage_models(view: FleetView, pace: LoadPace) -> Iterator[StageModel]:
    """Yield loads onto hosts that lack the weights of some model.

    A runner that serves a model joins a group of that model again without
    a load, so its host may hold the weights of another one: whichever
    group it is needed for after a failure, it is ready soon.
    """
    for runner in view.present:
        model = _lacking(view, runner)
        if not model or pace.is_loading(runner.name):
            continue
        if not pace.admits(view, 1):
            return
        pace.start(view, runner.name, model)
        yield StageModel(runner, model)


def _lacking(view: FleetView, runner: DiscoveredRunner) -> str:
    """Return a model that the host lacks; empty for none, or not now."""
    if runner.draining or not runner.loaded or _is_joining(runner):
        return ''
    held = {*runner.loaded, *runner.staged}
    lacking = (
        model.name for model in view.engine.models if model.name not in held
    )
    return next(lacking, '')


def _is_joining(runner: DiscoveredRunner) -> bool:
    """Whether the runner may load weights for its group itself."""
    return (
        runner.group_position is not None
        and runner.group_position.state is MemberState.joining
    )
