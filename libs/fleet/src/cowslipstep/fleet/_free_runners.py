"""Runners that are free for a new group, and how soon they are ready."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._runners import DiscoveredRunner

# Time to join a group of the model that the runner has loaded.
_REJOIN_TIME_S = 0.2


def free_by_domain(
    view: FleetView,
    claimed: Collection[str],
) -> dict[str, list[DiscoveredRunner]]:
    """Return the runners that are neither claimed nor draining.

    They are grouped by fabric domain; lost runners are left out.
    """
    free: dict[str, list[DiscoveredRunner]] = defaultdict(list)
    for runner in view.answering:
        if runner.name not in claimed and not runner.draining:
            free[runner.fabric_domain].append(runner)
    return free


def must_load(runner: DiscoveredRunner, model: ModelProfile) -> bool:
    """Return whether a runner needs a model's weights from the weight store."""
    return model.name not in (*runner.loaded_models, *runner.staged_models)


def time_to_ready_s(runner: DiscoveredRunner, model: ModelProfile) -> float:
    """Return the seconds until a runner is ready after joining a group."""
    if model.name in runner.loaded_models:
        return _REJOIN_TIME_S
    if model.name in runner.staged_models:
        return model.staged_load_s
    return model.load_s
