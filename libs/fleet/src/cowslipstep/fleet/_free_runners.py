"""Runners that can be taken for a group, and how soon they are ready."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._runners import DiscoveredRunner

# Time to join a group of the model that the runner last served.
_REJOIN_S = 0.2


def free_by_domain(
    view: FleetView,
    claimed: Collection[str],
) -> dict[str, list[DiscoveredRunner]]:
    """Return the runners that are neither claimed nor about to leave."""
    free: dict[str, list[DiscoveredRunner]] = defaultdict(list)
    for runner in view.present:
        if runner.name not in claimed and not runner.draining:
            free[runner.fabric_domain].append(runner)
    return free


def must_load(runner: DiscoveredRunner, model: ModelProfile) -> bool:
    """Whether the weights of a model have to come from their store."""
    return model.name not in (*runner.loaded, *runner.staged)


def ready_s(runner: DiscoveredRunner, model: ModelProfile) -> float:
    """Return the time until a runner that joins is ready, seconds."""
    if model.name in runner.loaded:
        return _REJOIN_S
    if model.name in runner.staged:
        return model.warm_s
    return model.load_s
