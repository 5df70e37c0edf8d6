"""Limits on loads from the weight store."""

from __future__ import annotations

from cowslipstep.fleet._decisions import FleetView

# Window over which loads that started count against the rate of the store.
_RATE_WINDOW_S = 5
# A load whose weights are not reported after this many times the model's load
# time has failed.
_LOAD_TIMEOUT_FACTOR = 3


class WeightLoadLimiter:
    """Limits the rate and the concurrency of loads from the weight store."""

    def __init__(self) -> None:
        self._start_times_s: list[float] = []
        self._loading: dict[str, tuple[str, float]] = {}

    def admits(self, view: FleetView, loads: int) -> bool:
        """Return whether that many more loads may start now.

        While no load runs, any number within the rate may start together, so
        that a group needing more loads than the limit can be formed.
        """
        if not (loads and view.load_limits_apply):
            return True
        recent = sum(
            started_s > view.now_s - _RATE_WINDOW_S
            for started_s in self._start_times_s
        )
        if recent + loads > view.engine.loads_per_s * _RATE_WINDOW_S:
            return False
        running = len(self._loading)
        return not running or running + loads <= view.engine.loads_at_once

    def record_start(self, view: FleetView, name: str, model: str) -> None:
        """Record that a runner starts to load a model."""
        profile = view.engine.model(model)
        load_s = profile.load_s if profile else 0
        self._loading[name] = (
            model,
            view.now_s + _LOAD_TIMEOUT_FACTOR * load_s,
        )
        self._start_times_s.append(view.now_s)

    def is_loading(self, name: str) -> bool:
        """Return whether a runner loads a model now."""
        return name in self._loading

    def drop_ended(self, view: FleetView) -> None:
        """Drop loads that are complete, timed out or lost with their runner."""
        self._start_times_s = [
            started_s
            for started_s in self._start_times_s
            if started_s > view.now_s - _RATE_WINDOW_S
        ]
        for name, (model, fails_at_s) in tuple(self._loading.items()):
            runner = view.runners.get(name)
            if (
                runner is None
                or name in view.lost_runners
                or fails_at_s < view.now_s
            ):
                self._loading.pop(name)
            elif model in runner.staged_models:
                self._loading.pop(name)
