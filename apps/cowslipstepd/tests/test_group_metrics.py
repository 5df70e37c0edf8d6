"""Groups are counted only by the daemon that owns their fabric domain."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from cowslipstep.daemon._group_metrics import GroupMetrics
from cowslipstep.daemon._sampling import Sampler
from cowslipstep.daemon._scopes import DomainScope
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import DomainLedger, HostRecord, HostReport, HostState
from cowslipstep.metrics import CounterKey
from cowslipstep.model import Address, Model, Runner
from cowslipstep.settings import DaemonSettings

_UNUSED_ADDRESS = Address('127.0.0.1', 0)
_MODEL = Model('drafting', hosts_per_group=2, groups=1)
_SPARE_RUNNER = Runner('h0', _UNUSED_ADDRESS, 'ebene', 'fab', accelerators=8)
_SCOPE = DomainScope('fab', (_SPARE_RUNNER,), (_MODEL,), 4)
_STRANDED = CounterKey('stranded_accelerators', (('fabric_domain', 'fab'),))
_DOWN_MS = CounterKey('group_down_ms', (('model', 'drafting'),))
_STRANDED_MS = CounterKey('stranded_accelerator_ms', _STRANDED.labels)
_PAUSE_S = 600


class _Clock:
    """A monotonic clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture(name='clock')
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr(time, 'monotonic', clock)
    return clock


@pytest.fixture(name='context')
def context_fixture(clock: _Clock) -> Any:
    settings = DaemonSettings(
        'd0', 'ebene', _UNUSED_ADDRESS, _UNUSED_ADDRESS, _UNUSED_ADDRESS
    )
    platform: Any = None
    state = DaemonState(settings, platform)
    state.ledgers['fab'] = DomainLedger('fab')
    report = HostReport('h0', '', HostState.idle, clock.now_s)
    return SimpleNamespace(
        state=state,
        scopes=SimpleNamespace(owned={'fab': _SCOPE}),
        prober=SimpleNamespace(records={'h0': HostRecord(report)}),
        drains=SimpleNamespace(excluded=frozenset()),
    )


def _gauges(state: DaemonState) -> dict[CounterKey, float]:
    return {sample.key: sample.amount for sample in state.gauges.samples}


def _counters(state: DaemonState) -> dict[CounterKey, float]:
    return {sample.key: sample.amount for sample in state.counters.samples}


def test_the_owner_of_a_domain_counts_its_groups(
    context: Any, clock: _Clock
) -> None:
    metrics = GroupMetrics(context)
    sampler = Sampler(context.state)
    metrics.update()
    clock.now_s += 1
    metrics.update()
    sampler.sample()
    assert _gauges(context.state)[_STRANDED] == 8
    counted = _counters(context.state)
    assert counted[_DOWN_MS] == 1000
    assert counted[_STRANDED_MS] == 8000


def test_a_former_owner_stops_counting(
    context: Any,
    clock: _Clock,
) -> None:
    metrics = GroupMetrics(context)
    sampler = Sampler(context.state)
    metrics.update()
    context.scopes.owned.clear()
    for _ in range(3):
        clock.now_s += 1
        metrics.update()
        sampler.sample()
    assert not _gauges(context.state)
    counted = _counters(context.state)
    assert not counted[_DOWN_MS]
    assert not counted.get(_STRANDED_MS)


def test_a_pause_of_the_daemon_is_not_counted(
    context: Any,
    clock: _Clock,
) -> None:
    metrics = GroupMetrics(context)
    sampler = Sampler(context.state)
    metrics.update()
    clock.now_s += _PAUSE_S
    metrics.update()
    sampler.sample()
    counted = _counters(context.state)
    assert counted[_DOWN_MS] < _PAUSE_S * 1000 / 10
    assert counted[_STRANDED_MS] < _PAUSE_S * 8000 / 10
