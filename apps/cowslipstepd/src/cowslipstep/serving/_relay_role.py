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
_RELAY_REPLACEMENT_S = 2 * RELAY_TIMEOUT_S


@frozen
class CompleteReport:
    """A report that tells of all other daemons."""


@frozen
class PartialReport:
    """A report that replaces what its source has told before."""

    source: str


@frozen
class RedundantReport:
    """A report that tells what others tell as well."""


ReportScope = CompleteReport | PartialReport | RedundantReport


class DomainRelays:
    """The daemons of the own failure domain, and relays that were heard.

    Parameters
    ----------
    own
        Name of the own failure domain.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._domains: dict[str, str] = {}
        self._last_report_s: dict[str, float] = {}

    @property
    def other_relays(self) -> frozenset[str]:
        """Other relays of the failure domain that were heard lately."""
        oldest_s = time.monotonic() - RELAY_TIMEOUT_S
        return frozenset(
            name
            for name, received_s in self._last_report_s.items()
            if received_s > oldest_s and self.contains(name)
        )

    def contains(self, name: str) -> bool:
        """Whether a daemon is of the own failure domain."""
        return self.domain(name) == self._own

    def domain(self, name: str) -> str:
        """Failure domain of a daemon; empty if it is not known."""
        return self._domains.get(name, '')

    def set_daemons(self, others: Collection[DaemonEntry]) -> None:
        """Take over which other daemons there are."""
        self._domains = {entry.name: entry.failure_domain for entry in others}

    def record_relay(self, name: str) -> None:
        """Note that a relay was heard."""
        self._last_report_s[name] = time.monotonic()

    def last_report_s(self, name: str) -> float:
        """Clock reading at which a relay was heard; zero for never."""
        return self._last_report_s.get(name, 0)


class RelayRole:
    """Follows which relays are heard and chooses the role by it.

    Parameters
    ----------
    own
        Entry of this daemon.
    """

    def __init__(self, own: DaemonEntry) -> None:
        self._own_domain = DomainRelays(own.failure_domain)
        self._choice = RelayChoice(
            own,
            self._own_domain.last_report_s,
            time.monotonic(),
        )
        self._role: Role = MeshMember(frozenset())
        self._knows_daemons = False
        self._relay_report_s: float = 0

    @property
    def current(self) -> Role:
        """The role, as last chosen."""
        return self._role

    @property
    def own_domain(self) -> DomainRelays:
        """The daemons of the own failure domain."""
        return self._own_domain

    @property
    def knows_daemons(self) -> bool:
        """Whether the other daemons are known."""
        return self._knows_daemons

    @property
    def relies_on_relay(self) -> bool:
        """Whether a relay tells what the platform would be asked for.

        A daemon that does not know the others yet waits for a relay.
        """
        if not self._knows_daemons:
            return True
        match self._role:
            case Follower():
                return (
                    time.monotonic() - self._relay_report_s
                    < _RELAY_REPLACEMENT_S
                )
            case _:
                return False

    def choose(self, others: Collection[DaemonEntry]) -> bool:
        """Choose the role again; return whether it is another one."""
        before = self._role
        now_s = time.monotonic()
        self._own_domain.set_daemons(others)
        self._role = self._choice.role(others, now_s)
        changed = not (
            self._knows_daemons and isinstance(self._role, type(before))
        )
        self._knows_daemons = True
        if changed:
            # Its relay has some time to be heard.
            self._relay_report_s = now_s
        return changed

    def record(self, report: LoadReport) -> ReportScope:
        """Note a report; return what is to be made of its loads.

        Each request counts once: a relay takes reports of its own failure
        domain one by one, and one sum for each of the others.
        """
        now_s = time.monotonic()
        if report.from_relay:
            self._own_domain.record_relay(report.daemon)
        match self._role:
            case Follower(peers) if (
                report.covers_all_daemons and report.daemon in peers
            ):
                self._relay_report_s = now_s
                return CompleteReport()
            case Relay() if report.from_relay:
                return _relay_report_scope(report, self._own_domain)
            case Relay() if self._own_domain.contains(report.daemon):
                return PartialReport(report.daemon)
            case MeshMember() if not report.from_relay:
                return PartialReport(report.daemon)
        return RedundantReport()


def _relay_report_scope(
    report: LoadReport, own_domain: DomainRelays
) -> ReportScope:
    if report.covers_all_daemons or own_domain.contains(report.daemon):
        return RedundantReport()
    domain = own_domain.domain(report.daemon)
    return PartialReport(_DOMAIN_SOURCE.format(domain=domain) if domain else '')
