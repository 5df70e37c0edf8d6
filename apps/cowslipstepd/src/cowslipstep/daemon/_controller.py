"""Keeper of one fabric domain: one task that holds its lease."""

from __future__ import annotations

import contextlib
import time
import uuid

import eventlet
from attrs import evolve, frozen
from loguru import logger

from cowslipstep.daemon._commands import CommandAuthority, CommandSender
from cowslipstep.daemon._drains import DrainTracker
from cowslipstep.daemon._group_events import note_changes
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

_STEP_S = 0.25
_RETRY_DELAY_S = 1
_ORDER_FLIGHT_S = 2


@frozen
class ControllerContext:
    """What the keepers of a daemon share."""

    state: DaemonState
    scopes: DomainScopes
    prober: Prober
    orders: CommandSender
    drains: DrainTracker
    ledgers: GroupLedgerReader


def domain_view(
    tools: ControllerContext,
    scope: DomainScope,
    ledger: DomainLedger,
) -> DomainView:
    """Return what is known of a fabric domain now."""
    return DomainView(
        ledger,
        scope.runners,
        tools.prober.records,
        time.monotonic(),
        excluded_hosts=tools.drains.barred,
    )


class DomainController:
    """Holds the lease of a fabric domain, keeps its ledger, gives orders.

    Parameters
    ----------
    tools
        What the keepers of a daemon share.
    scope
        The fabric domain as configured now.
    """

    def __init__(self, tools: ControllerContext, scope: DomainScope) -> None:
        self._tools = tools
        self._domain = scope.domain
        self._dark = DomainOutageDetector(time.monotonic)
        self._store = PlatformGroupLedger(tools.state.platform, scope.domain)
        self._lease = _new_lease(tools.state, self._store, scope)

    def run(self) -> None:
        """Take the lease and use it for as long as the domain is owned."""
        while self._domain in self._tools.scopes.owned:
            try:
                self._take_and_keep()
            except LedgerUnavailable as error:
                logger.warning('ledger of {}: {}', self._domain, error)
                eventlet.sleep(_RETRY_DELAY_S)
        with contextlib.suppress(CowslipstepError):
            release_lease(self._lease)

    def _take_and_keep(self) -> None:
        self._lease.refresh()
        self._tools.ledgers.adopt_if_newer(self._lease.state.versioned_ledger)
        wait_s = self._lease.acquire_wait_s
        if wait_s:
            self._store.wait(self._lease.state.versioned_ledger.version, wait_s)
            # Only a lease that no one renewed meanwhile has lapsed.
            self._lease.refresh()
        if not acquire_lease(self._lease):
            return
        term = self._lease.state.term
        self._note('lease_taken', f'it was free or had lapsed; term {term}')
        while self._domain in self._tools.scopes.owned:
            if not self._keep():
                self._note('lease_lost', 'another daemon took it')
                return
            eventlet.sleep(_STEP_S)

    def _keep(self) -> bool:
        scope = self._tools.scopes.owned[self._domain]
        view = self._view(scope)
        planned = plan_domain(view, scope.models, scope.loads_at_once)
        if not maintain_ledger(self._lease, planned, view.now_s):
            return False
        seen = self._lease.state.versioned_ledger
        note_changes(self._tools.state, view, seen.ledger)
        self._tools.ledgers.adopt_if_newer(seen)
        if not view.losses_uncertain:
            # An order to load would not be paced.
            self._give_orders(scope)
        self._tools.drains.report(seen.ledger, scope.hosts, view.records)
        return True

    def _view(self, scope: DomainScope) -> DomainView:
        ledger = self._lease.state.versioned_ledger.ledger
        view = domain_view(self._tools, scope, ledger)
        return evolve(
            view,
            drained_groups=self._tools.drains.finished(ledger, view.records),
            losses_uncertain=self._dark.are_losses_uncertain(
                _only(view.records, scope)
            ),
        )

    def _give_orders(self, scope: DomainScope) -> None:
        if not self._lease.may_command:
            return
        state = self._lease.state
        orders = due_commands(
            state.versioned_ledger.ledger,
            scope.runners,
            self._tools.prober.records,
            state.term,
        )
        right = CommandAuthority(
            state.versioned_ledger.version, lambda: self._lease.may_command
        )
        self._tools.orders.send_all(list(orders), right)

    def _note(self, kind: str, cause: str) -> None:
        self._tools.state.events.add(kind, self._domain, cause)


def _only(records: HostRecords, scope: DomainScope) -> HostRecords:
    return {host: records[host] for host in scope.hosts if host in records}


def _new_lease(
    state: DaemonState,
    store: PlatformGroupLedger,
    scope: DomainScope,
) -> DomainLease:
    author = LedgerWriterIdentity(
        state.settings.name,
        lambda: uuid.uuid4().hex,
        time.monotonic,
    )
    fencing = {runner.fencing for runner in scope.runners}
    timing = LeaseTiming(
        command_flight_s=_ORDER_FLIGHT_S if Fencing.ignored in fencing else 0,
    )
    return DomainLease(LedgerWriter(author, store), time.monotonic, timing)
