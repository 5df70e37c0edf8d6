"""Work of requests by the model that they need."""

from __future__ import annotations

from collections import defaultdict

from cowslipstep.fleet import ServedModel

# Time for which requests keep a full group busy, seconds.
ModelWork = defaultdict[ServedModel, float]


def no_work() -> ModelWork:
    """Return the work before the first request."""
    return defaultdict(float)
