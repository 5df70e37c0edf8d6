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
from cowslipstep.groups._writer import Clock, LedgerWriter, Written

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
    take_margin_s: float = 1
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

    seen: VersionedLedger = VersionedLedger(0, DomainLedger(''))
    seen_at_s: float = -math.inf
    sent_at_s: float = -math.inf
    term: int = 0
    commands_from_s: float = math.inf

    @property
    def lease(self) -> Lease:
        """The lease in the ledger, a lapsed one if there is none."""
        return self.seen.ledger.lease or Lease('', '', 0)

    @property
    def held(self) -> bool:
        """Whether the lease was this daemon's when last seen."""
        return self.sent_at_s > -math.inf

    @property
    def renewal_at_s(self) -> float:
        """Clock reading from which the holder should renew the lease."""
        return self.sent_at_s + self.lease.duration_s / RENEWALS_PER_LEASE


def adopt(
    state: LeaseState,
    written: Written,
    now_s: float,
    command_flight_s: float,
) -> LeaseState:
    """Return the state after the ledger was read or written."""
    changed = written.stored.version != state.seen.version
    if written.sent_at_s is None:
        return LeaseState(written.stored, now_s) if changed else state
    if not state.held:
        state = LeaseState(
            term=written.stored.version,
            commands_from_s=now_s + command_flight_s,
        )
    return evolve(
        state,
        seen=written.stored,
        seen_at_s=now_s if changed else state.seen_at_s,
        sent_at_s=max(state.sent_at_s, written.sent_at_s),
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
        if not self._state.held or now < self._state.commands_from_s:
            return False
        usable_s = self._state.lease.duration_s - self._timing.stop_margin_s
        return now < self._state.sent_at_s + usable_s

    @property
    def take_wait_s(self) -> float:
        """Seconds until the lease may be taken if it stays unchanged."""
        duration_s = self._state.lease.duration_s
        if self._state.held or not duration_s:
            return 0
        free_s = self._state.seen_at_s + duration_s + self._timing.take_margin_s
        return max(0, free_s - self._clock())

    def look(self) -> None:
        """Read the ledger.

        Raises
        ------
        LedgerUnavailable
            If there was no answer.
        """
        self._state = adopt(
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
        version = self._state.seen.version
        written = self._writer.write(version, ledger, duration_s)
        self._state = adopt(
            self._state,
            written,
            self._clock(),
            self._timing.command_flight_s,
        )
        return written.sent_at_s is not None

    def give_up(self) -> None:
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
        seen = self._state.seen
        self._state = LeaseState(seen, self._clock())
        self._writer.give_up(seen.version, seen.ledger)
