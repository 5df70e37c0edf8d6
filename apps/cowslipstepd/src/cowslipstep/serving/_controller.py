"""Keeper of the fleet's groups: one task that holds a lease."""

from __future__ import annotations

import contextlib
import random
import uuid

import eventlet
from loguru import logger

from cowslipstep.daemon._ledgers import PlatformLedger
from cowslipstep.fleet import (
    CloseGroup,
    EngineProfile,
    FleetPlanner,
    FleetView,
    FormGroup,
)
from cowslipstep.groups import (
    DomainLease,
    DomainLedger,
    LeaseTiming,
    LedgerUnavailable,
    LedgerWriter,
    LedgerWriterIdentity,
)
from cowslipstep.model import CowslipstepError
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._command_sender import CommandSender
from cowslipstep.serving._fleet_views import FleetViews
from cowslipstep.serving._state import ServingState

_SCOPE = 'fleet'
_STEP_S = 0.1
_RETRY_DELAY_S = 0.3
# Short, so that a keeper that died is replaced before much is broken.
_LEASE_S = 1.6
_STOP_MARGIN_S = 0.3
_TAKE_MARGIN_S = 0.2
_TIMING = LeaseTiming(
    duration_s=_LEASE_S,
    stop_margin_s=_STOP_MARGIN_S,
    take_margin_s=_TAKE_MARGIN_S,
)
# A keeper that is not heard for two of its reports may be gone.
_KEEPER_SILENCE_S = 0.9
# Decisions that change which groups there are.
_LAYOUT = (CloseGroup, FormGroup)
_DECIMALS = 2
# Daemons that start together do not all ask at the same moment.
_FIRST_LOOK_S = 0.3


class GroupController:
    """Takes the lease when no other daemon has it, and keeps the groups.

    Parameters
    ----------
    state
        State of the daemon.
    views
        Makes views of the fleet.
    """

    def __init__(
        self,
        state: ServingState,
        views: FleetViews,
    ) -> None:
        self._state = state
        self._views = views
        store = PlatformLedger(state.platform, _SCOPE)
        author = LedgerWriterIdentity(
            state.settings.name,
            lambda: uuid.uuid4().hex,
            boot_time_s,
        )
        writer = LedgerWriter(author, store)
        self._lease = DomainLease(writer, boot_time_s, _TIMING)
        # Asked anew each time: a renewal may wait for seconds meanwhile.
        state.lease_holds = lambda: self._lease.may_command
        self._orders = CommandSender(state, state.lease_holds)
        self._keepers: dict[str, FleetPlanner] = {}
        self._term = 0

    def run(self) -> None:
        """Keep the groups whenever the lease is held."""
        eventlet.sleep(random.uniform(0, _FIRST_LOOK_S))
        while not self._state.stopping:
            try:
                self._take_and_keep()
            except LedgerUnavailable as error:
                logger.info('no lease for groups: {}', error)
            eventlet.sleep(_RETRY_DELAY_S)
        with contextlib.suppress(CowslipstepError):
            if self._lease.state.held:
                self._lease.give_up()
        eventlet.Event().wait()

    def _take_and_keep(self) -> None:
        if self._is_kept() or self._state.configuration.table is None:
            return
        self._lease.look()
        if self._lease.take_wait_s or not self._renew():
            return
        term = self._lease.state.term
        logger.bind(term=term).info('lease for groups taken')
        if term != self._term:
            # Numbers of groups go on within a term.
            self._term = term
            self._keepers.clear()
        while not self._state.stopping:
            if not self._keep(term):
                logger.bind(term=term).warning('lease for groups lost')
                return
            eventlet.sleep(_STEP_S)

    def _is_kept(self) -> bool:
        if self._state.role.fed:
            # Its relay takes the lease if no other daemon has it.
            return True
        reports = self._state.loads.recent(_KEEPER_SILENCE_S)
        return any(report.is_controller for report in reports)

    def _renew(self) -> bool:
        return self._lease.write(DomainLedger(_SCOPE), _LEASE_S)

    def _keep(self, term: int) -> bool:
        if boot_time_s() >= self._lease.state.renewal_at_s:
            if not self._renew():
                return False
        table = self._state.configuration.table
        directory = self._state.directory
        blind = table is None or directory.lost or not directory.known
        if table is None or blind or not self._lease.may_command:
            return True
        for service in table.configuration.services.values():
            if service.engine is not None:
                self._keep_service(service.name, service.engine, term)
        return True

    def _keep_service(
        self,
        service: str,
        engine: EngineProfile,
        term: int,
    ) -> None:
        keeper = self._keepers.setdefault(service, FleetPlanner(term))
        view = self._views.view(service, engine, self._orders.left)
        decisions = keeper.decide(view)
        if any(isinstance(step, _LAYOUT) for step in decisions):
            _log_layout(view, term)
        for decision in decisions:
            self._orders.carry_out(decision, term)


def _log_layout(view: FleetView, term: int) -> None:
    logger.bind(
        term=term,
        runners=len(view.runners),
        lost=len(view.lost_runners),
        demand={
            model: round(groups, _DECIMALS)
            for model, groups in view.demand.items()
        },
    ).info('layout of groups changes')
