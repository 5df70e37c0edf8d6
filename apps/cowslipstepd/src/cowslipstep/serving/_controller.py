"""Task of the controller, which holds a lease and decides on groups."""

from __future__ import annotations

import contextlib
import random
import uuid

import eventlet
from loguru import logger

from cowslipstep.daemon._group_ledgers import PlatformGroupLedger
from cowslipstep.fleet import (
    CloseGroup,
    EngineProfile,
    Epochs,
    FleetPlanner,
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
from cowslipstep.platform import revision_of
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._command_sender import CommandSender
from cowslipstep.serving._fleet_log import FleetLog, log_group_change
from cowslipstep.serving._fleet_views import FleetViews
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._term_reader import TermReader

_LEASE_SCOPE = 'fleet'
_DECISION_PERIOD_S = 0.1
_LEASE_RETRY_DELAY_S = 0.3
# Short, so that a failed controller is replaced before many groups break.
_LEASE_DURATION_S = 1.6
_STOP_MARGIN_S = 0.3
_ACQUIRE_MARGIN_S = 0.2
_TIMING = LeaseTiming(
    duration_s=_LEASE_DURATION_S,
    stop_margin_s=_STOP_MARGIN_S,
    acquire_margin_s=_ACQUIRE_MARGIN_S,
)
# A controller from which two consecutive reports are missing may have failed.
_CONTROLLER_TIMEOUT_S = 0.9
# Decisions that end or form groups.
_GROUP_CHANGES = (CloseGroup, FormGroup)
# Random delay that spreads the first lease attempts of daemons that start
# together.
_MAX_START_DELAY_S = 0.3


class GroupController:
    """Acquires the lease if no other daemon has it, and decides on groups.

    Parameters
    ----------
    state
        State of the daemon.
    views
        Builds the fleet views that the planner decides on.
    """

    def __init__(
        self,
        state: ServingState,
        views: FleetViews,
    ) -> None:
        self._state = state
        self._views = views
        self._reader = TermReader(state)
        store = PlatformGroupLedger(state.platform, _LEASE_SCOPE)
        identity = LedgerWriterIdentity(
            state.settings.name,
            lambda: uuid.uuid4().hex,
            boot_time_s,
        )
        writer = LedgerWriter(identity, store)
        self._lease = DomainLease(writer, boot_time_s, _TIMING)
        # Evaluated at each call: the lease may expire while a renewal waits for
        # the store for seconds.
        state.holds_lease = lambda: self._lease.may_command
        self._sender = CommandSender(state, state.holds_lease)
        self._planners: dict[str, FleetPlanner] = {}
        self._log = FleetLog()
        self._term = 0
        self._epochs = Epochs(self._term)

    def run(self) -> None:
        """Decide on groups whenever the lease is held.

        A planned stop releases the lease.
        """
        eventlet.sleep(random.uniform(0, _MAX_START_DELAY_S))
        while not self._state.stopping:
            try:
                self._hold_lease()
            except LedgerUnavailable as error:
                logger.info(
                    'ledger of the lease for groups unavailable, retrying: {}',
                    error,
                )
            eventlet.sleep(_LEASE_RETRY_DELAY_S)
        with contextlib.suppress(CowslipstepError):
            if self._lease.state.is_held:
                self._lease.release()
        eventlet.Event().wait()

    def _hold_lease(self) -> None:
        if (
            self._has_other_controller()
            or self._state.configuration.table is None
        ):
            return
        self._lease.refresh()
        if self._lease.acquire_wait_s or not self._renew():
            return
        term = self._lease.state.term
        logger.bind(term=term).info('lease for groups acquired')
        if term != self._term:
            # Group numbers must not repeat within a term, so that planners are
            # replaced only in a new one. They pass those that runners report,
            # also after the revisions of the store went back.
            self._term = term
            self._planners.clear()
            self._epochs = Epochs(revision_of(term))
        while not self._state.stopping:
            if not self._renew_and_decide(term):
                logger.bind(term=term).warning(
                    'lease for groups lost, no more commands sent'
                )
                return
            eventlet.sleep(_DECISION_PERIOD_S)

    def _has_other_controller(self) -> bool:
        if self._state.relay_role.relies_on_relay:
            # The relay of this daemon acquires the lease if no other has it.
            return True
        reports = self._state.loads.recent(_CONTROLLER_TIMEOUT_S)
        return any(report.is_controller for report in reports)

    def _renew(self) -> bool:
        return self._lease.write(DomainLedger(_LEASE_SCOPE), _LEASE_DURATION_S)

    def _renew_and_decide(self, term: int) -> bool:
        if boot_time_s() >= self._lease.state.renewal_at_s:
            if not self._renew():
                return False
        table = self._state.configuration.table
        runner_table = self._state.runner_table
        if (
            table is None
            or runner_table.platform_lost
            or not self._lease.may_command
            or not self._reader.has_read(term)
        ):
            return True
        for service in table.configuration.services.values():
            if service.engine is not None:
                self._decide_for_service(service.name, service.engine, term)
        return True

    def _decide_for_service(
        self,
        service: str,
        engine: EngineProfile,
        term: int,
    ) -> None:
        planner = self._planners.setdefault(
            service, FleetPlanner(service, self._epochs)
        )
        view = self._views.view(service, engine, self._sender.departed)
        self._log.log_summary(service, view, term)
        decisions = planner.decide(view)
        if any(isinstance(decision, _GROUP_CHANGES) for decision in decisions):
            log_group_change(view, term)
        for decision in decisions:
            self._sender.carry_out(decision, term)
