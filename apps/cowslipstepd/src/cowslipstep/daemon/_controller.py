"""Controller of one fabric domain, which acts only while it has the lease."""

from __future__ import annotations

import contextlib
import time
import uuid

import eventlet
from attrs import evolve, frozen
from loguru import logger

from cowslipstep.daemon._commands import CommandAuthority, CommandSender
from cowslipstep.daemon._drains import DrainTracker
from cowslipstep.daemon._group_events import record_group_changes
from cowslipstep.daemon._group_ledger_reader import GroupLedgerReader
from cowslipstep.daemon._group_ledgers import PlatformGroupLedger
from cowslipstep.daemon._prober import Prober
from cowslipstep.daemon._scopes import DomainScope, DomainScopes
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import (
    DomainLease,
    DomainLedger,
    DomainOutageDetector,
    DomainView,
    HostRecords,
    LeaseTiming,
    LedgerUnavailable,
    LedgerWriter,
    LedgerWriterIdentity,
    acquire_lease,
    due_commands,
    maintain_ledger,
    plan_domain,
    release_lease,
)
from cowslipstep.model import CowslipstepError, Fencing

_STEP_PERIOD_S = 0.25
_RETRY_DELAY_S = 1
_COMMAND_FLIGHT_LIMIT_S = 2


@frozen
class ControllerContext:
    """Objects that the controllers of a daemon share."""

    state: DaemonState
    scopes: DomainScopes
    prober: Prober
    commands: CommandSender
    drains: DrainTracker
    ledgers: GroupLedgerReader


def domain_view(
    context: ControllerContext,
    scope: DomainScope,
    ledger: DomainLedger,
) -> DomainView:
    """Return the current view of a fabric domain, as plans use it."""
    return DomainView(
        ledger,
        scope.runners,
        context.prober.records,
        time.monotonic(),
        excluded_hosts=context.drains.excluded,
    )


class DomainController:
    """Acquires the lease of a fabric domain and decides on its groups.

    It writes the decisions to the ledger and sends commands to the engines.

    Parameters
    ----------
    context
        Objects that the controllers of a daemon share.
    scope
        The fabric domain as configured at present.
    """

    def __init__(self, context: ControllerContext, scope: DomainScope) -> None:
        self._context = context
        self._domain = scope.domain
        self._outages = DomainOutageDetector(time.monotonic)
        self._store = PlatformGroupLedger(context.state.platform, scope.domain)
        self._lease = _new_lease(context.state, self._store, scope)

    def run(self) -> None:
        """Control the domain while it is owned here, then release its lease."""
        while self._domain in self._context.scopes.owned:
            try:
                self._control_domain()
            except LedgerUnavailable as error:
                logger.warning(
                    'ledger of {} unavailable, retrying: {}',
                    self._domain,
                    error,
                )
                eventlet.sleep(_RETRY_DELAY_S)
        with contextlib.suppress(CowslipstepError):
            release_lease(self._lease)

    def _control_domain(self) -> None:
        self._lease.refresh()
        self._context.ledgers.adopt_if_newer(self._lease.state.versioned_ledger)
        wait_s = self._lease.acquire_wait_s
        if wait_s:
            self._store.wait(self._lease.state.versioned_ledger.version, wait_s)
            # Another daemon may have renewed the lease during the wait; if it
            # did, the lease has not expired and must not be acquired.
            self._lease.refresh()
        if not acquire_lease(self._lease):
            return
        term = self._lease.state.term
        self._record_event(
            'lease_taken', f'it was free or had lapsed; term {term}'
        )
        while self._domain in self._context.scopes.owned:
            if not self._control_once():
                self._record_event('lease_lost', 'another daemon took it')
                return
            eventlet.sleep(_STEP_PERIOD_S)

    def _control_once(self) -> bool:
        scope = self._context.scopes.owned[self._domain]
        view = self._view(scope)
        planned = plan_domain(view, scope.models, scope.loads_at_once)
        if not maintain_ledger(self._lease, planned, view.now_s):
            return False
        versioned = self._lease.state.versioned_ledger
        record_group_changes(self._context.state, view, versioned.ledger)
        self._context.ledgers.adopt_if_newer(versioned)
        if not view.losses_uncertain:
            # While losses are uncertain, the plan limits no loads: commands
            # sent now could make too many hosts load weights at once.
            self._send_commands(scope)
        self._context.drains.report_progress(
            versioned.ledger, scope.hosts, view.records
        )
        return True

    def _view(self, scope: DomainScope) -> DomainView:
        ledger = self._lease.state.versioned_ledger.ledger
        view = domain_view(self._context, scope, ledger)
        return evolve(
            view,
            drained_groups=self._context.drains.finished_groups(
                ledger, view.records
            ),
            losses_uncertain=self._outages.are_losses_uncertain(
                _records_in_scope(view.records, scope)
            ),
        )

    def _send_commands(self, scope: DomainScope) -> None:
        if not self._lease.may_command:
            return
        state = self._lease.state
        commands = due_commands(
            state.versioned_ledger.ledger,
            scope.runners,
            self._context.prober.records,
            state.term,
        )
        authority = CommandAuthority(
            state.versioned_ledger.version, lambda: self._lease.may_command
        )
        self._context.commands.send_all(list(commands), authority)

    def _record_event(self, kind: str, cause: str) -> None:
        self._context.state.events.add(kind, self._domain, cause)


def _records_in_scope(records: HostRecords, scope: DomainScope) -> HostRecords:
    return {host: records[host] for host in scope.hosts if host in records}


def _new_lease(
    state: DaemonState,
    store: PlatformGroupLedger,
    scope: DomainScope,
) -> DomainLease:
    writer = LedgerWriterIdentity(
        state.settings.name,
        lambda: uuid.uuid4().hex,
        time.monotonic,
    )
    fencing = {runner.fencing for runner in scope.runners}
    timing = LeaseTiming(
        command_flight_s=_COMMAND_FLIGHT_LIMIT_S
        if Fencing.ignored in fencing
        else 0,
    )
    return DomainLease(LedgerWriter(writer, store), time.monotonic, timing)
