"""Sets faults of several hosts at once and records unanswered calls."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

from cowslipstep_standins._engine_host import (
    EngineFaults,
    EngineHost,
    UnansweredCall,
)


def set_faults(
    hosts_by_name: dict[str, EngineHost],
    host: str,
    hosts: Iterable[str] = (),
    **faults: Any,
) -> None:
    """Set the faults of ``hosts`` in one call; of ``host`` if none is named."""
    for name in hosts or (host,):
        hosts_by_name[name].inject_faults(EngineFaults(**faults))


def record_unanswered(host: EngineHost, path: str) -> None:
    """Record a call if the host is dead or frozen and will not respond."""
    if host.faults.dead or host.faults.frozen:
        host.unanswered.append(UnansweredCall(path, time.monotonic()))
