"""Metrics of the groups in the fabric domains that this daemon owns."""

from __future__ import annotations

import collections
import time
from collections.abc import Iterator

from cowslipstep.daemon._controller import ControllerContext, domain_view
from cowslipstep.daemon._scopes import DomainScope
from cowslipstep.groups import stranded_accelerators
from cowslipstep.metrics import CounterKey
from cowslipstep.model import Model

_MS_PER_S = 1000
# The state of the groups during a pause of the daemon is unknown: at most this
# much time is counted per update.
_MAX_ELAPSED_S = 5


class GroupMetrics:
    """Counts configured groups that do not serve and stranded accelerators.

    An accelerator is stranded if its host could be used but is in no group,
    while some model lacks one.

    Only the daemon that owns a fabric domain counts its groups, so that each
    group counts once in the sum over all daemons.

    Parameters
    ----------
    context
        Objects that the controllers of a daemon share.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._updated_at_s = time.monotonic()
        self._gauge_keys: frozenset[CounterKey] = frozenset()

    def update(self) -> None:
        """Count groups for the time since the last update; set the gauges."""
        now = time.monotonic()
        elapsed_s = min(_MAX_ELAPSED_S, now - self._updated_at_s)
        elapsed_ms = round(elapsed_s * _MS_PER_S)
        self._updated_at_s = now
        readings: dict[CounterKey, float] = {}
        for scope in self._context.scopes.owned.values():
            readings.update(self._measure(scope, elapsed_ms))
        self._replace_gauges(readings)

    def _replace_gauges(self, readings: dict[CounterKey, float]) -> None:
        gauges = self._context.state.gauges
        for stale in self._gauge_keys - readings.keys():
            gauges.remove(stale)
        for key, reading in readings.items():
            gauges.set(key, reading)
        self._gauge_keys = frozenset(readings)

    def _measure(
        self,
        scope: DomainScope,
        elapsed_ms: int,
    ) -> Iterator[tuple[CounterKey, float]]:
        serving = self._count_serving(scope.domain)
        for model in scope.models:
            serving_count = serving[model.name]
            yield _key('groups_wanted', scope, model), model.groups
            yield _key('groups_serving', scope, model), serving_count
            self._add_ms('group_watched_ms', model, model.groups * elapsed_ms)
            missing = max(0, model.groups - serving_count)
            self._add_ms('group_down_ms', model, missing * elapsed_ms)
        yield _key('stranded_accelerators', scope), self._count_stranded(scope)

    def _add_ms(self, name: str, model: Model, amount_ms: int) -> None:
        key = CounterKey(name, (('model', model.name),))
        self._context.state.counters.add(key, amount_ms)

    def _count_serving(self, domain: str) -> collections.Counter[str]:
        state = self._context.state
        ledger = state.ledgers.get(domain)
        if ledger is None:
            return collections.Counter()
        now = time.monotonic()
        return collections.Counter(
            group.model
            for group in ledger.groups
            if state.readiness.ready_until_s(group.name) > now
        )

    def _count_stranded(self, scope: DomainScope) -> int:
        ledger = self._context.state.ledgers.get(scope.domain)
        if ledger is None:
            return 0
        view = domain_view(self._context, scope, ledger)
        return stranded_accelerators(view, scope.models)


def _key(
    name: str,
    scope: DomainScope,
    model: Model | None = None,
) -> CounterKey:
    labels = (('fabric_domain', scope.domain),)
    if model is None:
        return CounterKey(name, labels)
    return CounterKey(name, (('model', model.name), *labels))
