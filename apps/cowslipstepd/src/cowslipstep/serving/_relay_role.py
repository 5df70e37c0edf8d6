"""Role of this daemon in the exchange of load reports."""

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
)
from cowslipstep.serving._relay_reliance import RelayReliance

# Source name of the sum of a failure domain. Its relays share the name, so
# that the report of a new relay replaces that of the one before.
_DOMAIN_SOURCE = 'domain {domain}'


@frozen
class CompleteReport:
    """The report sums the loads of all other daemons."""


@frozen
class PartialReport:
    """The report replaces the last one of the same source.

    ``source`` is empty if the sender itself is the source.
    """

    source: str


@frozen
class RedundantReport:
    """The loads in the report also arrive in others; they do not count."""


ReportScope = CompleteReport | PartialReport | RedundantReport


class DomainRelays:
    """Failure domains of daemons, and when relays sent their last reports.

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
        """Other relays of the own failure domain with a recent report."""
        oldest_s = time.monotonic() - RELAY_TIMEOUT_S
        return frozenset(
            name
            for name, received_s in self._last_report_s.items()
            if received_s > oldest_s and self.contains(name)
        )

    def contains(self, name: str) -> bool:
        """Return whether a daemon is in the own failure domain."""
        return self.domain(name) == self._own

    def domain(self, name: str) -> str:
        """Return the failure domain of a daemon; empty if unknown."""
        return self._domains.get(name, '')

    def set_daemons(self, others: Collection[DaemonEntry]) -> None:
        """Replace the list of other daemons."""
        self._domains = {entry.name: entry.failure_domain for entry in others}

    def record_relay(self, name: str) -> None:
        """Record that a relay sent a report."""
        self._last_report_s[name] = time.monotonic()

    def last_report_s(self, name: str) -> float:
        """Return when a relay sent its last report; zero for never.

        Reading of the monotonic clock.
        """
        return self._last_report_s.get(name, 0)


class RelayRole(RelayReliance):
    """Chooses the role of this daemon by the reports that relays send.

    Parameters
    ----------
    own
        Entry of this daemon.
    """

    def __init__(self, own: DaemonEntry) -> None:
        super().__init__()
        self._own_domain = DomainRelays(own.failure_domain)
        self._choice = RelayChoice(
            own,
            self._own_domain.last_report_s,
            time.monotonic(),
        )

    @property
    def own_domain(self) -> DomainRelays:
        """The own failure domain and its relays."""
        return self._own_domain

    def choose(self, others: Collection[DaemonEntry]) -> bool:
        """Choose the role again; return whether it has changed."""
        previous = self._role
        now_s = time.monotonic()
        self._own_domain.set_daemons(others)
        self._role = self._choice.role(others, now_s)
        changed = not (
            self._has_read_daemons and isinstance(self._role, type(previous))
        )
        self._has_read_daemons = True
        if changed and isinstance(previous, Follower):
            self._left_relay_s = now_s
        if changed:
            # Gives the new relay time to send its first report.
            self._relay_report_s = now_s
        return changed

    def record(self, report: LoadReport) -> ReportScope:
        """Record a report; return which part of the loads it covers.

        Each request must count once: a relay uses the single reports of its
        own failure domain, and one sum for each of the other domains.
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
