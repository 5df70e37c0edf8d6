"""Role of this daemon in telling loads, and whether a relay feeds it."""

from __future__ import annotations

import time
from collections.abc import Collection

from attrs import frozen

from cowslipstep.model import DaemonEntry
from cowslipstep.model.loads import LoadReport
from cowslipstep.routing import (
    RELAY_TIMEOUT_S,
    Follower,
    MeshMember,
    Relay,
    RelayChoice,
    Role,
)

# Sums of a failure domain are told by one of its relays at a time.
_DOMAIN_SOURCE = 'domain {domain}'
# A relay that ends is replaced before its followers ask the platform.
_UNFED_S = 2 * RELAY_TIMEOUT_S


@frozen
class Whole:
    """A report that tells of all other daemons."""


@frozen
class Part:
    """A report that replaces what its source has told before."""

    source: str


@frozen
class Unused:
    """A report that tells what others tell as well."""


Hearing = Whole | Part | Unused


class Neighbourhood:
    """The daemons of the own failure domain, and relays that were heard.

    Parameters
    ----------
    own
        Name of the own failure domain.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._domains: dict[str, str] = {}
        self._heard_s: dict[str, float] = {}

    @property
    def rivals(self) -> frozenset[str]:
        """Other relays of the failure domain that were heard lately."""
        oldest_s = time.monotonic() - RELAY_TIMEOUT_S
        return frozenset(
            name
            for name, heard_s in self._heard_s.items()
            if heard_s > oldest_s and self.holds(name)
        )

    def holds(self, name: str) -> bool:
        """Whether a daemon is of the own failure domain."""
        return self.domain(name) == self._own

    def domain(self, name: str) -> str:
        """Failure domain of a daemon; empty if it is not known."""
        return self._domains.get(name, '')

    def follow(self, others: Collection[DaemonEntry]) -> None:
        """Take over which other daemons there are."""
        self._domains = {entry.name: entry.failure_domain for entry in others}

    def hear(self, name: str) -> None:
        """Note that a relay was heard."""
        self._heard_s[name] = time.monotonic()

    def heard_at_s(self, name: str) -> float:
        """Clock reading at which a relay was heard; zero for never."""
        return self._heard_s.get(name, 0)


class RelayRole:
    """Follows which relays are heard and chooses the role by it.

    Parameters
    ----------
    own
        Entry of this daemon.
    """

    def __init__(self, own: DaemonEntry) -> None:
        self._near = Neighbourhood(own.failure_domain)
        self._choice = RelayChoice(
            own,
            self._near.heard_at_s,
            time.monotonic(),
        )
        self._role: Role = MeshMember(frozenset())
        self._known = False
        self._fed_s: float = 0

    @property
    def current(self) -> Role:
        """The role, as last chosen."""
        return self._role

    @property
    def near(self) -> Neighbourhood:
        """The daemons of the own failure domain."""
        return self._near

    @property
    def known(self) -> bool:
        """Whether the other daemons are known."""
        return self._known

    @property
    def fed(self) -> bool:
        """Whether a relay tells what the platform would be asked for.

        A daemon that does not know the others yet waits for a relay.
        """
        if not self._known:
            return True
        match self._role:
            case Follower():
                return time.monotonic() - self._fed_s < _UNFED_S
            case _:
                return False

    def choose(self, others: Collection[DaemonEntry]) -> bool:
        """Choose the role again; return whether it is another one."""
        before = self._role
        now_s = time.monotonic()
        self._near.follow(others)
        self._role = self._choice.role(others, now_s)
        changed = not (self._known and isinstance(self._role, type(before)))
        self._known = True
        if changed:
            # Its relay has some time to be heard.
            self._fed_s = now_s
        return changed

    def hear(self, report: LoadReport) -> Hearing:
        """Note a report; return what is to be made of its loads.

        Each request counts once: a relay takes reports of its own failure
        domain one by one, and one sum for each of the others.
        """
        now_s = time.monotonic()
        if report.from_relay:
            self._near.hear(report.daemon)
        match self._role:
            case Follower(peers) if (
                report.covers_all_daemons and report.daemon in peers
            ):
                self._fed_s = now_s
                return Whole()
            case Relay() if report.from_relay:
                return _hear_relay(report, self._near)
            case Relay() if self._near.holds(report.daemon):
                return Part(report.daemon)
            case MeshMember() if not report.from_relay:
                return Part(report.daemon)
        return Unused()


def _hear_relay(report: LoadReport, near: Neighbourhood) -> Hearing:
    if report.covers_all_daemons or near.holds(report.daemon):
        return Unused()
    domain = near.domain(report.daemon)
    return Part(_DOMAIN_SOURCE.format(domain=domain) if domain else '')
