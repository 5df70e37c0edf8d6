"""Controllers of the owned fabric domains, and readiness of groups."""

from __future__ import annotations

import itertools
from typing import Any

import eventlet
from loguru import logger

from cowslipstep.daemon._commands import CommandSender
from cowslipstep.daemon._controller import (
    ControllerContext,
    DomainController,
    domain_view,
)
from cowslipstep.daemon._drains import DrainTracker
from cowslipstep.daemon._group_metrics import GroupMetrics
from cowslipstep.daemon._drain_targets import DrainTargets
from cowslipstep.daemon._group_ledger_reader import GroupLedgerReader
from cowslipstep.daemon._own_readiness import own_readiness
from cowslipstep.daemon._prober import Prober
from cowslipstep.daemon._scopes import DomainScope, DomainScopes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.model import GroupReadiness

_STEP_PERIOD_S = 0.25
_DRAIN_TARGETS_PERIOD_S = 1.5


class GroupService:
    """Probes the hosts of the owned fabric domains and runs their controllers.

    Parameters
    ----------
    state
        State of the daemon.
    ledgers
        Ledgers of all fabric domains.
    """

    def __init__(self, state: DaemonState, ledgers: GroupLedgerReader) -> None:
        self._drain_targets = DrainTargets(state)
        prober = Prober()
        self._context = ControllerContext(
            state,
            DomainScopes(state),
            prober,
            CommandSender(prober),
            DrainTracker(state, self._drain_targets),
            ledgers,
        )
        self._metrics = GroupMetrics(self._context)
        self._controllers: dict[str, Any] = {}

    def start(self) -> None:
        """Start the tasks that read ledgers and drains and control groups."""
        start_task('ledgers', self._context.ledgers.run)
        start_task(
            'leaving',
            repeat(_DRAIN_TARGETS_PERIOD_S, self._refresh_drain_targets),
        )
        start_task('groups', repeat(_STEP_PERIOD_S, self._step))

    def own_readiness(self) -> tuple[GroupReadiness, ...]:
        """Return the present readiness of the groups probed here."""
        return tuple(own_readiness(self._context))

    def _step(self) -> None:
        context = self._context
        context.scopes.update()
        scopes = context.scopes.owned.values()
        context.prober.probe_only(
            itertools.chain.from_iterable(scope.runners for scope in scopes),
        )
        for scope in scopes:
            self._update_domain(scope)
        for readiness in self.own_readiness():
            context.state.readiness.record(readiness)
        self._metrics.update()

    def _update_domain(self, scope: DomainScope) -> None:
        context = self._context
        controller = self._controllers.get(scope.domain)
        if controller is None or controller.dead:
            run = logger.catch(DomainController(context, scope).run)
            self._controllers[scope.domain] = eventlet.spawn(run)
        ledger = context.state.ledgers.get(scope.domain)
        if ledger is not None:
            context.drains.update(domain_view(context, scope, ledger))

    def _refresh_drain_targets(self) -> None:
        if self._context.scopes.owned:
            self._drain_targets.refresh()
