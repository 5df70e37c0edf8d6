"""Demand of each model over a whole wave, for the division of the runners.

Addresses demand that swings within seconds: a group that ends in a trough is
missing at the next crest, and one formed at the crest is ready too late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

Demand = Mapping[str, float]
# Waves up to this long do not change the division of the runners. A group that
# changes its model costs 3.5 s, and its hosts stage for 12 to 16 s after it.
_WINDOW_S = 15


class DemandPeaks:
    """Tracks the highest demand for each model within a window.

    Examples
    --------
    >>> peaks = DemandPeaks()
    >>> peaks.update(0, {'large': 2, 'small': 5})
    {'large': 2, 'small': 5}
    >>> peaks.update(9, {'large': 3, 'small': 1})
    {'large': 3, 'small': 5}
    >>> peaks.update(20, {'small': 2})
    {'small': 2, 'large': 3}
    """

    def __init__(self) -> None:
        self._demands: deque[tuple[float, Demand]] = deque()

    def update(self, now_s: float, demand: Demand) -> dict[str, float]:
        """Record the demand; return the highest within the window, by model.

        Parameters
        ----------
        now_s
            Clock reading, seconds.
        demand
            Number of groups that the requests keep busy, by model.
        """
        self._demands.append((now_s, demand))
        while self._demands[0][0] < now_s - _WINDOW_S:
            self._demands.popleft()
        peaks = dict(demand)
        for _, earlier in self._demands:
            for model, groups in earlier.items():
                peaks[model] = max(groups, peaks.get(model, 0))
        return peaks
