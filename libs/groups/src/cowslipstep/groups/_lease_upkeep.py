"""Steps of a controller: acquire the lease, maintain the ledger, release."""

from __future__ import annotations

from cowslipstep.groups._lease import DomainLease
from cowslipstep.groups._ledger import DomainLedger

LEASE_DURATION_S = 9


def acquire_lease(lease: DomainLease) -> bool:
    """Acquire the lease if it is free or expired; return whether it is held.

    Raises
    ------
    LedgerUnavailable
        If it is unknown whether the update took effect.
    """
    if lease.acquire_wait_s:
        return False
    return lease.write(lease.state.versioned_ledger.ledger, LEASE_DURATION_S)


def maintain_ledger(
    lease: DomainLease,
    planned: DomainLedger,
    now_s: float,
) -> bool:
    """Write the planned ledger if it differs, or renew the lease if due.

    Returns false if this daemon has lost the lease.

    Raises
    ------
    LedgerUnavailable
        If it is unknown whether the update took effect.
    """
    state = lease.state
    unchanged = planned.groups == state.versioned_ledger.ledger.groups
    if unchanged and now_s < state.renewal_at_s:
        return state.is_held
    return lease.write(planned, LEASE_DURATION_S)


def release_lease(lease: DomainLease) -> None:
    """Release the lease if held, so that another daemon may acquire it.

    Raises
    ------
    LedgerConflict
        If another daemon has changed the ledger.
    LedgerUnavailable
        If it is unknown whether the release took effect.
    """
    if lease.state.is_held:
        lease.release()
