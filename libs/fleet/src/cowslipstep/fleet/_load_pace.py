"""Pace of loads from the weight store."""

from __future__ import annotations

from cowslipstep.fleet._decisions import FleetView

# Loads that started are counted against the rate over this window.
_WINDOW_S = 5
# A load that has not shown after this many of its times has failed.
_OVERDUE_FACTOR = 3


class LoadPace:
    """Keeps loads within the rate and the concurrency of the store."""

    def __init__(self) -> None:
        self._started_s: list[float] = []
        self._loading: dict[str, tuple[str, float]] = {}

    def admits(self, view: FleetView, loads: int) -> bool:
        """Whether that many more loads may start now."""
        if not (loads and view.paced):
            return True
        recent = sum(
            started_s > view.now_s - _WINDOW_S for started_s in self._started_s
        )
        if recent + loads > view.engine.loads_per_s * _WINDOW_S:
            return False
        running = len(self._loading)
        return not running or running + loads <= view.engine.loads_at_once

    def start(self, view: FleetView, name: str, model: str) -> None:
        """Note that a runner begins to load a model."""
        served = view.engine.model(model)
        load_s = served.load_s if served else 0
        self._loading[name] = (model, view.now_s + _OVERDUE_FACTOR * load_s)
        self._started_s.append(view.now_s)

    def is_loading(self, name: str) -> bool:
        """Whether a runner loads a model now."""
        return name in self._loading

    def settle(self, view: FleetView) -> None:
        """Forget loads that have ended."""
        self._started_s = [
            started_s
            for started_s in self._started_s
            if started_s > view.now_s - _WINDOW_S
        ]
        for name, (model, until_s) in tuple(self._loading.items()):
            runner = view.runners.get(name)
            if (
                runner is None
                or name in view.lost_runners
                or until_s < view.now_s
            ):
                self._loading.pop(name)
            elif model in runner.staged:
                self._loading.pop(name)
