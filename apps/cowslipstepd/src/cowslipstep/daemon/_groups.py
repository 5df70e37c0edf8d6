"""Groups: keepers of the owned fabric domains, and readiness."""

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
from cowslipstep.daemon._group_figures import GroupFigures
from cowslipstep.daemon._group_ledger_reader import GroupLedgerReader
from cowslipstep.daemon._leaving import LeavingFeed
from cowslipstep.daemon._own_readiness import own_readiness
from cowslipstep.daemon._prober import Prober
from cowslipstep.daemon._scopes import DomainScope, DomainScopes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.model import GroupReadiness

_PERIOD_S = 0.25
_LEAVING_PERIOD_S = 1.5


class GroupService:
    """Keeps the groups of the fabric domains that this daemon owns.

    Parameters
    ----------
    state
        State of the daemon.
    ledgers
        Ledgers of all fabric domains.
    """

    def __init__(self, state: DaemonState, ledgers: GroupLedgerReader) -> None:
        self._leaving = LeavingFeed(state)
        prober = Prober()
        self._tools = ControllerContext(
            state,
            DomainScopes(state),
            prober,
            CommandSender(prober),
            DrainTracker(state, self._leaving),
            ledgers,
        )
        self._figures = GroupFigures(self._tools)
        self._keepers: dict[str, Any] = {}

    def start(self) -> None:
        """Start the tasks of keepers, probes and feeds."""
        start_task('ledgers', self._tools.ledgers.run)
        start_task('leaving', repeat(_LEAVING_PERIOD_S, self._read_leaving))
        start_task('groups', repeat(_PERIOD_S, self._step))

    def own_readiness(self) -> tuple[GroupReadiness, ...]:
        """Readiness, at this moment, of the groups that this daemon probes."""
        return tuple(own_readiness(self._tools))

    def _step(self) -> None:
        tools = self._tools
        tools.scopes.update()
        scopes = tools.scopes.owned.values()
        tools.prober.cover(
            itertools.chain.from_iterable(scope.runners for scope in scopes),
        )
        for scope in scopes:
            self._keep(scope)
        for readiness in self.own_readiness():
            tools.state.readiness.record(readiness)
        self._figures.update()

    def _keep(self, scope: DomainScope) -> None:
        tools = self._tools
        keeper = self._keepers.get(scope.domain)
        if keeper is None or keeper.dead:
            run = logger.catch(DomainController(tools, scope).run)
            self._keepers[scope.domain] = eventlet.spawn(run)
        ledger = tools.state.ledgers.get(scope.domain)
        if ledger is not None:
            tools.drains.update(domain_view(tools, scope, ledger))

    def _read_leaving(self) -> None:
        if self._tools.scopes.owned:
            self._leaving.read()
