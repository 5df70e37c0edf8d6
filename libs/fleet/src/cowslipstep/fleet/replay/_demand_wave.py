"""Demand that swings while a replay runs."""

from __future__ import annotations

import math
from collections.abc import Mapping

from attrs import field, frozen


@frozen
class DemandWave:
    """Demand that swings about its mean; it starts there and rises.

    Parameters
    ----------
    period_s
        Time from crest to crest, seconds.
    amplitude
        Largest deviation from the mean, as a part of it.
    lags_s
        Time by which the crest of a model is later, by model, seconds.
    """

    period_s: float
    amplitude: float
    lags_s: Mapping[str, float] = field(factory=dict)

    def demand(
        self, means: Mapping[str, float], since_start_s: float
    ) -> dict[str, float]:
        """Return the demand by model, given the means, at a time."""
        return {
            model: mean * self._factor(model, since_start_s)
            for model, mean in means.items()
        }

    def _factor(self, model: str, since_start_s: float) -> float:
        since_mean_s = since_start_s - self.lags_s.get(model, 0)
        phase = math.tau * since_mean_s / self.period_s
        return 1 + self.amplitude * math.sin(phase)
