"""Requests, and what is known of upstreams, before the first request."""

from __future__ import annotations

import time
from collections import defaultdict

from cowslipstep.fleet import ServedModel
from cowslipstep.routing import UpstreamBackoffs, UpstreamLoads
from cowslipstep.serving._clocks import boot_time_s

# Time for which requests keep a full group busy, by model, seconds.
ModelWork = defaultdict[ServedModel, float]


def no_work() -> ModelWork:
    """Return the work before the first request."""
    return defaultdict(float)


def no_backoffs() -> UpstreamBackoffs:
    """Return the backoffs of upstreams before the first request."""
    return UpstreamBackoffs(boot_time_s)


def no_loads() -> UpstreamLoads:
    """Return the loads of upstreams before the first request."""
    return UpstreamLoads(time.monotonic)
