"""Processor time of relaying, and retries while a failure domain is down."""

from __future__ import annotations

import itertools
import os
import pathlib
import re

import urllib3
from attrs import evolve, frozen

from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._outcomes import Call
from cowslipstep_standins.load import mixed_calls, send_all, round_robin

_CONCURRENT_STREAMS = 16
_SEED = 3
_KIB = 1024
_CPU_TICKS_FIELDS = (13, 14)


@frozen
class ProcessUsage:
    """Processor time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the usage of a process from /proc."""
    folder = pathlib.Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().split()
    ticks = sum(int(fields[index]) for index in _CPU_TICKS_FIELDS)
    resident = re.search(r'VmRSS:\s+(\d+)', (folder / 'status').read_text())
    return ProcessUsage(
        ticks / os.sysconf('SC_CLK_TCK'),
        int(resident.group(1)) * _KIB if resident else 0,
    )


def relay_cpu_s(fleet: LocalFleet, requests: int, tokens: int) -> float:
    """Return the processor time that the first daemon uses for streams."""
    daemon = fleet.plan.daemons[0]
    process = fleet.daemon(daemon.name)
    before = read_usage(process.pid)
    _send_streams(daemon.http, requests, tokens)
    return read_usage(process.pid).cpu_s - before.cpu_s


def _send_streams(address: str, requests: int, tokens: int) -> None:
    call = Call('cost', 'grid-a', tokens=tokens, stream=True)
    outcomes = send_all(
        itertools.repeat(call, requests),
        round_robin([address]),
        _CONCURRENT_STREAMS,
    )
    assert all(outcome.correct for outcome in outcomes)


def retries_per_request(fleet: LocalFleet, requests: int) -> float:
    """Return the retries for each request while a failure domain is down."""
    failed_domain = fleet.plan.hosts[0].failure_domain
    for host in fleet.plan.hosts:
        if host.failure_domain == failed_domain:
            fleet.control(host.address, {'dead': True})
    calls = mixed_calls(requests, ('grid-a', 'grid-b'), _SEED, services=False)
    daemons = [daemon.http for daemon in fleet.plan.daemons]
    without_keys = [evolve(call, key='') for call in calls]
    send_all(without_keys, round_robin(daemons), _CONCURRENT_STREAMS)
    return sum(map(_retries, daemons)) / requests


def _retries(daemon: str) -> int:
    text = urllib3.PoolManager().request('GET', f'http://{daemon}/metrics')
    counts = re.findall(
        r'cowslipstep_retries_total\S* (\d+)',
        text.data.decode(),
    )
    return sum(map(int, counts))
