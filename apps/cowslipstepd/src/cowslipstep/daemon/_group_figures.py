"""Metrics of the groups that this daemon owns."""

from __future__ import annotations

import collections
import time

from cowslipstep.daemon._keeper import KeeperTools
from cowslipstep.groups import DomainView, stranded_accelerators
from cowslipstep.metrics import CounterKey

_MS_PER_S = 1000


class GroupFigures:
    """Counts wanted groups that do not serve, and idle accelerators.

    Each wanted group counts once, at the daemon that owns its domain.

    Parameters
    ----------
    tools
        What the keepers of a daemon share.
    """

    def __init__(self, tools: KeeperTools) -> None:
        self._tools = tools
        self._counted_s = time.monotonic()

    def update(self) -> None:
        """Count the time since the last update."""
        now = time.monotonic()
        wanted = self._count_wanted()
        serving = self._count_serving()
        self._add_down_ms(wanted - serving, now - self._counted_s)
        self._counted_s = now
        gauges = self._tools.state.gauges
        gauges.set(CounterKey('groups_wanted'), wanted.total())
        gauges.set(CounterKey('groups_serving'), serving.total())
        self._note_stranded(now)

    def _add_down_ms(
        self,
        missing: collections.Counter[str],
        elapsed_s: float,
    ) -> None:
        elapsed_ms = round(elapsed_s * _MS_PER_S)
        for model, number in missing.items():
            key = CounterKey('group_down_ms', (('model', model),))
            self._tools.state.counters.add(key, number * elapsed_ms)

    def _count_wanted(self) -> collections.Counter[str]:
        wanted: collections.Counter[str] = collections.Counter()
        for scope in self._tools.scopes.owned.values():
            for model in scope.models:
                wanted[model.name] += model.groups
        return wanted

    def _count_serving(self) -> collections.Counter[str]:
        state = self._tools.state
        now = time.monotonic()
        return collections.Counter(
            group.model
            for domain in self._tools.scopes.owned.keys() & state.ledgers.keys()
            for group in state.ledgers[domain].groups
            if state.readiness.ready_until_s(group.name) > now
        )

    def _note_stranded(self, now_s: float) -> None:
        state = self._tools.state
        self._forget_stranded()
        for domain, scope in self._tools.scopes.owned.items():
            if domain not in state.ledgers:
                continue
            view = DomainView(
                state.ledgers[domain],
                scope.runners,
                self._tools.prober.records,
                now_s,
                leaving=self._tools.drains.barred,
            )
            stranded = stranded_accelerators(view, scope.models)
            state.gauges.set(_stranded_key(domain), stranded)

    def _forget_stranded(self) -> None:
        """Remove the figures of domains that another daemon owns now."""
        gauges = self._tools.state.gauges
        for sample in gauges.samples:
            domain = sample.key.label('fabric_domain')
            lost = domain and domain not in self._tools.scopes.owned
            if lost and sample.key == _stranded_key(domain):
                gauges.remove(sample.key)


def _stranded_key(domain: str) -> CounterKey:
    return CounterKey('stranded_accelerators', (('fabric_domain', domain),))
