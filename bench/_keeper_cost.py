"""What a keeper costs: platform calls and processor time."""

from __future__ import annotations

import os
import pathlib
import time
import timeit
from collections.abc import Callable

from _domain_plans import repack
from _domain_view import domain_view, full_model
from attrs import evolve

from cowslipstep.daemon._group_ledgers import encode_ledger, decode_ledger
from cowslipstep.platform import ObjectKey, StoredObject
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape

_SETTLE_S = 3
_MEASURE_S = 10
_KINDS = ('ledger', 'hosts', 'drain')
_UTIME = 11
_STIME = 12
_REPEATS = 20


def calls_per_keeper_s() -> float:
    """Platform calls a second for each keeper while nothing happens."""
    domains = ('port-louis', 'ebene', 'curepipe')
    shape = FleetShape(
        daemons=len(domains),
        failure_domains=domains,
        hosts_per_domain=4,
    )
    with local_fleet(shape) as fleet:
        time.sleep(_SETTLE_S)
        before = _count_calls(fleet)
        time.sleep(_MEASURE_S)
        calls = _count_calls(fleet) - before
    return calls / _MEASURE_S / len(domains)


def core_share(hosts: int) -> float:
    """Share of a core that a lone daemon uses that keeps so many hosts."""
    shape = FleetShape(hosts_per_domain=hosts)
    with local_fleet(shape) as fleet:
        time.sleep(_SETTLE_S)
        pid = fleet.daemon(fleet.plan.daemons[0].name).pid
        before_s = _processor_s(pid)
        time.sleep(_MEASURE_S)
        return (_processor_s(pid) - before_s) / _MEASURE_S


def plan_s(hosts: int) -> float:
    """Processor time of one planning step of a domain at rest."""
    view = domain_view(hosts)
    model = full_model(hosts)
    at_rest = evolve(view, ledger=repack(view, model))
    return _best_s(lambda: repack(at_rest, model))


def ledger_codec_s(hosts: int) -> float:
    """Processor time to encode and decode the ledger of a domain."""
    view = domain_view(hosts)
    ledger = repack(view, full_model(hosts))
    key = ObjectKey('ledger', ledger.fabric_domain)

    def there_and_back() -> None:  # noqa: WPS430
        decode_ledger(StoredObject(key, 1, encode_ledger(ledger)))

    return _best_s(there_and_back)


def _count_calls(fleet: LocalFleet) -> int:
    counts = fleet.control(fleet.plan.platform)['counts']
    names = [name for name in counts if name.endswith(_KINDS)]
    return sum(counts[name] for name in names)


def _best_s(action: Callable[[], object]) -> float:
    return min(timeit.repeat(action, number=1, repeat=_REPEATS))


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    _, _, tail = text.rpartition(')')
    fields = tail.split()
    ticks = [int(entry) for entry in fields[_UTIME : _STIME + 1]]
    return sum(ticks) / os.sysconf('SC_CLK_TCK')
