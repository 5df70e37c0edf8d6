"""Metrics of the groups that this daemon owns."""

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
# A daemon that was paused knows nothing of the time of its pause.
_MAX_ELAPSED_S = 5


class GroupFigures:
    """Counts wanted groups that do not serve, and idle accelerators.

    Each wanted group counts once, at the daemon that owns its domain.

    Parameters
    ----------
    tools
        What the keepers of a daemon share.
    """

    def __init__(self, tools: ControllerContext) -> None:
        self._tools = tools
        self._counted_s = time.monotonic()
        self._keys: frozenset[CounterKey] = frozenset()

    def update(self) -> None:
        """Count the time since the last update and set the gauges."""
        now = time.monotonic()
        elapsed_s = min(_MAX_ELAPSED_S, now - self._counted_s)
        elapsed_ms = round(elapsed_s * _MS_PER_S)
        self._counted_s = now
        figures: dict[CounterKey, float] = {}
        for scope in self._tools.scopes.owned.values():
            figures.update(self._measure(scope, elapsed_ms))
        self._set(figures)

    def _set(self, figures: dict[CounterKey, float]) -> None:
        gauges = self._tools.state.gauges
        for stale in self._keys - figures.keys():
            gauges.remove(stale)
        for key, figure in figures.items():
            gauges.set(key, figure)
        self._keys = frozenset(figures)

    def _measure(
        self,
        scope: DomainScope,
        elapsed_ms: int,
    ) -> Iterator[tuple[CounterKey, float]]:
        serving = self._count_serving(scope.domain)
        for model in scope.models:
            number = serving[model.name]
            yield _key('groups_wanted', scope, model), model.groups
            yield _key('groups_serving', scope, model), number
            self._add_ms('group_watched_ms', model, model.groups * elapsed_ms)
            missing = max(0, model.groups - number)
            self._add_ms('group_down_ms', model, missing * elapsed_ms)
        yield _key('stranded_accelerators', scope), self._count_stranded(scope)

    def _add_ms(self, name: str, model: Model, amount_ms: int) -> None:
        key = CounterKey(name, (('model', model.name),))
        self._tools.state.counters.add(key, amount_ms)

    def _count_serving(self, domain: str) -> collections.Counter[str]:
        state = self._tools.state
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
        ledger = self._tools.state.ledgers.get(scope.domain)
        if ledger is None:
            return 0
        view = domain_view(self._tools, scope, ledger)
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
