"""Lease on the ledger of a fabric domain, from the view of one daemon.

References
----------
C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", SOSP 1989.
"""

from __future__ import annotations

import math

from attrs import evolve, field, frozen, validators

from cowslipstep.groups._ledger import DomainLedger, Lease, VersionedLedger
from cowslipstep.groups._ledger_writer import Clock, LedgerInForce, LedgerWriter

RENEWALS_PER_LEASE = 3


@frozen
class LeaseTiming:
    """Duration and safety margins of a lease, seconds.

    Parameters
    ----------
    duration_s
        A lease that is not renewed expires after this time.
    stop_margin_s
        The holder sends no commands in this time before the lease expires.
    acquire_margin_s
        Other daemons wait for this time after the lease has expired.
    command_flight_s
        A new holder waits for this time before its first command. If some
        engine ignores fencing tokens, it is the longest time between sending a
        command and its effect, otherwise zero.
    """

    duration_s: float = field(default=9, validator=validators.gt(0))
    stop_margin_s: float = 2
    acquire_margin_s: float = 1
    command_flight_s: float = 0


@frozen
class LeaseState:
    """State of a ledger and its lease as one daemon last read or wrote it.

    Parameters
    ----------
    versioned_ledger
        The ledger as last read or written, with its version.
    version_seen_at_s
        Clock reading when this version was first read or written, seconds.
    update_sent_at_s
        Clock reading just before this daemon sent its last update that took
        effect, seconds; minus infinity unless the daemon holds the lease.
    term
        Version of the ledger at which this daemon acquired the lease.
    commands_from_s
        Clock reading from which this daemon may send commands, seconds.
    """

    versioned_ledger: VersionedLedger = VersionedLedger(0, DomainLedger(''))
    version_seen_at_s: float = -math.inf
    update_sent_at_s: float = -math.inf
    term: int = 0
    commands_from_s: float = math.inf

    @property
    def lease(self) -> Lease:
        """The lease in the ledger; an expired one if there is none."""
        return self.versioned_ledger.ledger.lease or Lease('', '', 0)

    @property
    def is_held(self) -> bool:
        """Whether this daemon held the lease at the last read or write."""
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
    """Return the state after the ledger was read or written.

    A lease that this daemon just acquired starts a new term.
    """
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
    """Acquires, renews and releases the lease of a fabric domain.

    Parameters
    ----------
    writer
        Reads and writes the ledger.
    clock
        Monotonic clock, seconds.
    timing
        Duration and safety margins of the lease.
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
        """State of the lease after the last read or write of this daemon."""
        return self._state

    @property
    def may_command(self) -> bool:
        """Whether this daemon may send a command now.

        The lease counts from the time just before its last renewal was sent,
        and commands end before it expires, by the margin for stopping.
        """
        now = self._clock()
        if not self._state.is_held or now < self._state.commands_from_s:
            return False
        command_period_s = (
            self._state.lease.duration_s - self._timing.stop_margin_s
        )
        return now < self._state.update_sent_at_s + command_period_s

    @property
    def acquire_wait_s(self) -> float:
        """Seconds until the lease may be acquired if no one renews it."""
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
            If the store did not answer.
        """
        self._state = next_state(
            self._state,
            self._writer.read(),
            self._clock(),
            self._timing.command_flight_s,
        )

    def write(self, ledger: DomainLedger, duration_s: float) -> bool:
        """Acquire or renew the lease and replace the ledger.

        Returns false if another daemon changed the ledger first.

        Raises
        ------
        LedgerUnavailable
            If it is unknown whether the update took effect.
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
        """Release the lease, so that another daemon may acquire it at once.

        From now on this daemon sends no commands and does not count as the
        holder, even if it is unknown whether the release took effect: it may
        do so later.

        Raises
        ------
        LedgerConflict
            If another daemon has changed the ledger.
        LedgerUnavailable
            If it is unknown whether the release took effect.
        """
        versioned_ledger = self._state.versioned_ledger
        self._state = LeaseState(versioned_ledger, self._clock())
        self._writer.write_expired_lease(
            versioned_ledger.version, versioned_ledger.ledger
        )
