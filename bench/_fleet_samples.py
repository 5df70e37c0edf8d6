"""Processor time, memory, traffic and platform calls of daemons."""

from __future__ import annotations

import os
import pathlib
import time
from collections.abc import Iterator

from _idle_fleet import HTTP
from _daemon_metrics import platform_calls, wire_bytes
from attrs import frozen

from cowslipstep_standins._fleet import LocalFleet

_MEGABYTE = 1048576
_UTIME_FIELD = 11
_STIME_FIELD = 12


@frozen
class FleetSample:
    """Sums over all daemons of a fleet since their start."""

    at_s: float
    cpu_s: float
    wire_bytes: float
    platform_calls: float


def sample_fleet(fleet: LocalFleet) -> FleetSample:
    """Read the metrics and the processor time of all daemons."""
    metrics = [
        HTTP.request('GET', f'http://{daemon.http}/metrics').data.decode()
        for daemon in fleet.plan.daemons
    ]
    return FleetSample(
        time.monotonic(),
        sum(_cpu_s(pid) for pid in _pids(fleet)),
        sum(map(wire_bytes, metrics)),
        sum(map(platform_calls, metrics)),
    )


def _pids(fleet: LocalFleet) -> Iterator[int]:
    for daemon in fleet.plan.daemons:
        yield fleet.daemon(daemon.name).pid


def _cpu_s(pid: int) -> float:
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    ticks = stat.rsplit(')')[-1].split()
    cpu_ticks = int(ticks[_UTIME_FIELD]) + int(ticks[_STIME_FIELD])
    return cpu_ticks / os.sysconf('SC_CLK_TCK')


def resident_mb(fleet: LocalFleet) -> float:
    """Return the mean resident memory of a daemon, megabytes."""
    pages = [_resident_pages(pid) for pid in _pids(fleet)]
    page_mb = os.sysconf('SC_PAGE_SIZE') / _MEGABYTE
    return sum(pages) / len(pages) * page_mb


def _resident_pages(pid: int) -> int:
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(statm.split()[1])
