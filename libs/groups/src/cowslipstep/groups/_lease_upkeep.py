"""One round of a controller: take the lease, keep the ledger, give it up."""

from __future__ import annotations

from cowslipstep.groups._lease import DomainLease
from cowslipstep.groups._ledger import DomainLedger

LEASE_S = 9


def acquire_lease(lease: DomainLease) -> bool:
    """Take the lease if it is free or has lapsed; return whether it is held.

    Raises
    ------
    LedgerUnavailable
        If the outcome could not be learned.
    """
    if lease.take_wait_s:
        return False
    return lease.write(lease.state.seen.ledger, LEASE_S)


def maintain_ledger(
    lease: DomainLease,
    planned: DomainLedger,
    now_s: float,
) -> bool:
    """Write the planned ledger, or renew the lease where that is due.

    Returns false if the lease was lost.

    Raises
    ------
    LedgerUnavailable
        If the outcome could not be learned.
    """
    state = lease.state
    unchanged = planned.groups == state.seen.ledger.groups
    if unchanged and now_s < state.renewal_at_s:
        return state.held
    return lease.write(planned, LEASE_S)


def release_lease(lease: DomainLease) -> None:
    """Let another daemon take the lease at once.

    Raises
    ------
    LedgerConflict
        If another daemon took it already.
    LedgerUnavailable
        If the outcome could not be learned.
    """
    if lease.state.held:
        lease.give_up()
