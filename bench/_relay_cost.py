"""What a daemon spends on requests and chunks, and on a dark domain."""

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

_STREAMS = 16
_SEED = 3
_KIB = 1024
_TICKS_FIELDS = (13, 14)


@frozen
class Usage:
    """Processor time and resident memory of a process."""

    processor_s: float
    resident_bytes: int


def usage_of(pid: int) -> Usage:
    """Read what a process has used."""
    folder = pathlib.Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().split()
    ticks = sum(int(fields[index]) for index in _TICKS_FIELDS)
    resident = re.search(r'VmRSS:\s+(\d+)', (folder / 'status').read_text())
    return Usage(
        ticks / os.sysconf('SC_CLK_TCK'),
        int(resident.group(1)) * _KIB if resident else 0,
    )


def processor_s(fleet: LocalFleet, requests: int, tokens: int) -> float:
    """Return the processor time of the first daemon for some streams."""
    daemon = fleet.plan.daemons[0]
    process = fleet.daemon(daemon.name)
    before = usage_of(process.pid)
    _send_streams(daemon.http, requests, tokens)
    return usage_of(process.pid).processor_s - before.processor_s


def _send_streams(address: str, requests: int, tokens: int) -> None:
    call = Call('cost', 'grid-a', tokens=tokens, stream=True)
    outcomes = send_all(
        itertools.repeat(call, requests),
        round_robin([address]),
        _STREAMS,
    )
    assert all(outcome.correct for outcome in outcomes)


def share_of_retries(fleet: LocalFleet, requests: int) -> float:
    """Return the retries for each request while a domain is dark."""
    dark = fleet.plan.hosts[0].failure_domain
    for host in fleet.plan.hosts:
        if host.failure_domain == dark:
            fleet.control(host.address, {'dead': True})
    calls = mixed_calls(requests, ('grid-a', 'grid-b'), _SEED, services=False)
    daemons = [daemon.http for daemon in fleet.plan.daemons]
    plain = [evolve(call, key='') for call in calls]
    send_all(plain, round_robin(daemons), _STREAMS)
    return sum(map(_retries, daemons)) / requests


def _retries(daemon: str) -> int:
    text = urllib3.PoolManager().request('GET', f'http://{daemon}/metrics')
    counts = re.findall(
        r'cowslipstep_retries_total\S* (\d+)',
        text.data.decode(),
    )
    return sum(map(int, counts))
