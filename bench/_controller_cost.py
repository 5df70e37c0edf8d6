"""Cost of a controller: platform calls and processor time."""

from __future__ import annotations

import os
import pathlib
import time
import timeit
from collections.abc import Callable

from _domain_plans import plan_with_repacking
from _domain_view import make_domain_view, make_full_model
from attrs import evolve

from cowslipstep.daemon._group_ledgers import encode_ledger, decode_ledger
from cowslipstep.platform import ObjectKey, StoredObject
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape

_SETTLE_S = 3
_MEASUREMENT_S = 10
_OBJECT_KINDS = ('ledger', 'hosts', 'drain')
_UTIME_FIELD = 11
_STIME_FIELD = 12
_REPEATS = 20


def calls_per_controller_s() -> float:
    """Platform calls a second for each controller of an idle fleet."""
    domains = ('port-louis', 'ebene', 'curepipe')
    shape = FleetShape(
        daemons=len(domains),
        failure_domains=domains,
        hosts_per_domain=4,
    )
    with local_fleet(shape) as fleet:
        time.sleep(_SETTLE_S)
        before = _count_calls(fleet)
        time.sleep(_MEASUREMENT_S)
        calls = _count_calls(fleet) - before
    return calls / _MEASUREMENT_S / len(domains)


def core_share(hosts: int) -> float:
    """Share of a core that a daemon uses as sole controller of some hosts."""
    shape = FleetShape(hosts_per_domain=hosts)
    with local_fleet(shape) as fleet:
        time.sleep(_SETTLE_S)
        pid = fleet.daemon(fleet.plan.daemons[0].name).pid
        before_s = _cpu_s(pid)
        time.sleep(_MEASUREMENT_S)
        return (_cpu_s(pid) - before_s) / _MEASUREMENT_S


def plan_s(hosts: int) -> float:
    """Time of one planning step of a domain in which nothing changes."""
    view = make_domain_view(hosts)
    model = make_full_model(hosts)
    at_rest = evolve(view, ledger=plan_with_repacking(view, model))
    return _shortest_s(lambda: plan_with_repacking(at_rest, model))


def ledger_codec_s(hosts: int) -> float:
    """Time to encode and decode the ledger of a domain."""
    view = make_domain_view(hosts)
    ledger = plan_with_repacking(view, make_full_model(hosts))
    key = ObjectKey('ledger', ledger.fabric_domain)

    def encode_and_decode() -> None:  # noqa: WPS430
        decode_ledger(StoredObject(key, 1, encode_ledger(ledger)))

    return _shortest_s(encode_and_decode)


def _count_calls(fleet: LocalFleet) -> int:
    counts = fleet.control(fleet.plan.platform)['counts']
    names = [name for name in counts if name.endswith(_OBJECT_KINDS)]
    return sum(counts[name] for name in names)


def _shortest_s(action: Callable[[], object]) -> float:
    return min(timeit.repeat(action, number=1, repeat=_REPEATS))


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    _, _, tail = text.rpartition(')')
    fields = tail.split()
    ticks = [int(entry) for entry in fields[_UTIME_FIELD : _STIME_FIELD + 1]]
    return sum(ticks) / os.sysconf('SC_CLK_TCK')
