"""Lease of a fabric domain as one daemon sees it.

References
----------
C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.
"""

from __future__ import annotations

import math

from attrs import evolve, field, frozen, validators

from cowslipstep.groups._ledger import DomainLedger, Lease, VersionedLedger
from cowslipstep.groups._ledger_writer import Clock, LedgerWriter, LedgerInForce

RENEWALS_PER_LEASE = 3


@frozen
class LeaseTiming:
    """Times of a lease, seconds.

    Parameters
    ----------
    duration_s
        An unchanged lease lapses after this time.
    stop_margin_s
        The holder sends no command so long before its end.
    take_margin_s
        Others wait so long after its end.
    command_flight_s
        How long a new holder waits before its first command; the longest
        time between the send of a command and its effect where some engine
        ignores fencing numbers, else zero.
    """

    duration_s: float = field(default=9, validator=validators.gt(0))
    stop_margin_s: float = 2
    acquire_margin_s: float = 1
    command_flight_s: float = 0


@frozen
class LeaseState:
    """What a daemon knows of the lease of a fabric domain.

    Parameters
    ----------
    seen
        The ledger as last read or written.
    seen_at_s
        Clock reading when its version was first seen.
    sent_at_s
        Clock reading before the last own update in force was sent; minus
        infinity unless this daemon holds the lease.
    term
        Version of the ledger at which this daemon took the lease.
    commands_from_s
        Clock reading from which this daemon may send commands.
    """

    versioned_ledger: VersionedLedger = VersionedLedger(0, DomainLedger(''))
    version_seen_at_s: float = -math.inf
    update_sent_at_s: float = -math.inf
    term: int = 0
    commands_from_s: float = math.inf

    @property
    def lease(self) -> Lease:
        """The lease in the ledger, a lapsed one if there is none."""
        return self.versioned_ledger.ledger.lease or Lease('', '', 0)

    @property
    def is_held(self) -> bool:
        """Whether the lease was this daemon's when last seen."""
        return self.update_sent_at_s > -math.inf

    @property
    def renewal_at_s(self) -> float:
        """Clock reading from which the holder should renew the lease."""
        return (
            self.update_sent_at_s + self.lease.duration_s / RENEWALS_PER_LEASE
        )


def next_state(
    state: LeaseState,
    in_force: LedgerInForce,
    now_s: float,
    command_flight_s: float,
) -> LeaseState:
    """Return the state after the ledger was read or written."""
    version_changed = (
        in_force.versioned_ledger.version != state.versioned_ledger.version
    )
    if in_force.own_update_sent_at_s is None:
        return (
            LeaseState(in_force.versioned_ledger, now_s)
            if version_changed
            else state
        )
    if not state.is_held:
        state = LeaseState(
            term=in_force.versioned_ledger.version,
            commands_from_s=now_s + command_flight_s,
        )
    return evolve(
        state,
        versioned_ledger=in_force.versioned_ledger,
        version_seen_at_s=now_s if version_changed else state.version_seen_at_s,
        update_sent_at_s=max(
            state.update_sent_at_s, in_force.own_update_sent_at_s
        ),
    )


class DomainLease:
    """Takes, renews and gives up the lease of a fabric domain.

    Parameters
    ----------
    writer
        Writes the ledger.
    clock
        Monotonic clock, seconds.
    timing
        Times of the lease.
    """

    def __init__(
        self,
        writer: LedgerWriter,
        clock: Clock,
        timing: LeaseTiming,
    ) -> None:
        self._writer = writer
        self._clock = clock
        self._timing = timing
        self._state = LeaseState()

    @property
    def state(self) -> LeaseState:
        """What is known of the lease."""
        return self._state

    @property
    def may_command(self) -> bool:
        """Whether a command may be sent at this very moment."""
        now = self._clock()
        if not self._state.is_held or now < self._state.commands_from_s:
            return False
        command_period_s = (
            self._state.lease.duration_s - self._timing.stop_margin_s
        )
        return now < self._state.update_sent_at_s + command_period_s

    @property
    def acquire_wait_s(self) -> float:
        """Seconds until the lease may be taken if it stays unchanged."""
        duration_s = self._state.lease.duration_s
        if self._state.is_held or not duration_s:
            return 0
        free_at_s = (
            self._state.version_seen_at_s
            + duration_s
            + self._timing.acquire_margin_s
        )
        return max(0, free_at_s - self._clock())

    def refresh(self) -> None:
        """Read the ledger.

        Raises
        ------
        LedgerUnavailable
            If there was no answer.
        """
        self._state = next_state(
            self._state,
            self._writer.read(),
            self._clock(),
            self._timing.command_flight_s,
        )

    def write(self, ledger: DomainLedger, duration_s: float) -> bool:
        """Take or renew the lease and replace the ledger.

        Returns false if another daemon was first.

        Raises
        ------
        LedgerUnavailable
            If the outcome could not be learned.
        """
        version = self._state.versioned_ledger.version
        in_force = self._writer.write(version, ledger, duration_s)
        self._state = next_state(
            self._state,
            in_force,
            self._clock(),
            self._timing.command_flight_s,
        )
        return in_force.own_update_sent_at_s is not None

    def release(self) -> None:
        """Let another daemon take the lease at once.

        No command may be sent from now on, not even if the outcome is not
        learned: the update may take effect late. For the same reason the
        former lease no longer counts as this daemon's.

        Raises
        ------
        LedgerConflict
            If another daemon took it already.
        LedgerUnavailable
            If the outcome could not be learned.
        """
        versioned_ledger = self._state.versioned_ledger
        self._state = LeaseState(versioned_ledger, self._clock())
        self._writer.write_lapsed_lease(
            versioned_ledger.version, versioned_ledger.ledger
        )
