"""Faults of hosts: set at one moment, and calls that they leave open."""

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
    known: dict[str, EngineHost],
    host: str,
    hosts: Iterable[str] = (),
    **faults: Any,
) -> None:
    """Set faults of the named ``hosts`` at one moment, else of ``host``."""
    for name in hosts or (host,):
        known[name].strike(EngineFaults(**faults))


def note_call(host: EngineHost, path: str) -> None:
    """Record a call if the host is dead or frozen."""
    if host.faults.dead or host.faults.frozen:
        host.unanswered.append(UnansweredCall(path, time.monotonic()))
