"""Records of the hosts that this daemon probes or keeps."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipstep.groups import (
    HostRecord,
    HostReport,
    note_finding,
    note_miss,
    note_report,
)
from cowslipstep.model import HostFinding


class HostRecords:
    """Remembers what hosts said, or what other daemons found of them."""

    def __init__(self) -> None:
        self._records: dict[str, HostRecord] = {}

    @property
    def by_host(self) -> Mapping[str, HostRecord]:
        """The records by the names of their hosts."""
        return self._records

    def keep(self, hosts: frozenset[str]) -> None:
        """Keep the records of these hosts, and of no others."""
        for stale in self._records.keys() - hosts:
            self._records.pop(stale)
        for added in hosts - self._records.keys():
            self._records[added] = HostRecord()

    def note(self, report: HostReport) -> None:
        """Take over what a host said of itself."""
        record = self._records.get(report.host)
        if record is not None:
            self._records[report.host] = note_report(record, report)

    def miss(self, host: str, *, refused: bool) -> None:
        """Note a probe without an answer."""
        record = self._records[host]
        self._records[host] = note_miss(record, refused=refused)

    def take(self, finding: HostFinding, asked_at_s: float) -> None:
        """Take over what another daemon's probes of a host have found."""
        host = finding.host
        record = self._records.get(host)
        if record is not None:
            self._records[host] = note_finding(record, finding, asked_at_s)
