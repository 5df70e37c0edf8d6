"""Records of the probes of hosts."""

from __future__ import annotations

import enum
import math

from attrs import evolve, frozen

MISSED_PROBES_TO_FAIL = 3
# A host that had failed joins no group for this time after it answers again.
_QUARANTINE_S = 10


class HostState(enum.StrEnum):
    """State that an engine reports."""

    idle = 'idle'
    loading = 'loading'
    ready = 'ready'
    leaving = 'leaving'


@frozen
class HostReport:
    """Response of an engine to a probe.

    Parameters
    ----------
    host
        Name of the host.
    group
        Group that the engine reports to belong to; empty for none.
    state
        State that the engine reports.
    probed_at_s
        Clock reading when the probe was sent, seconds.
    model
        Model that the engine has loaded or is loading; empty for none.
    unfinished_requests
        Number of requests that run or are queued.
    fencing_token
        Largest fencing token that the engine has received.
    token_interval_s
        Recent time between tokens, seconds; zero if unknown.
    """

    host: str
    group: str
    state: HostState
    probed_at_s: float
    model: str = ''
    unfinished_requests: int = 0
    fencing_token: int = 0
    token_interval_s: float = 0


@frozen
class HostRecord:
    """The last report of a host and the probes that failed since.

    Parameters
    ----------
    report
        The last report; ``None`` before the first one and after a refused
        connection.
    misses
        Number of probes that failed since the last report.
    usable_from_s
        Clock reading from which a host that failed may join a group, seconds.
    last_ready_group
        The group in which the host was last ready; empty for none.
    """

    report: HostReport | None = None
    misses: int = 0
    usable_from_s: float = -math.inf
    last_ready_group: str = ''

    @property
    def failed(self) -> bool:
        """Whether the host counts as failed after several missed probes."""
        return self.misses >= MISSED_PROBES_TO_FAIL

    @property
    def answers(self) -> bool:
        """Whether the host answered the last probe."""
        return self.report is not None and not self.misses


def record_report(record: HostRecord, report: HostReport) -> HostRecord:
    """Return the record after a probe that was answered.

    A host that had failed may not join a group until the quarantine is over.
    """
    ready = report.state == HostState.ready
    return HostRecord(
        report=report,
        usable_from_s=(
            report.probed_at_s + _QUARANTINE_S
            if record.failed
            else record.usable_from_s
        ),
        last_ready_group=report.group if ready else record.last_ready_group,
    )


def record_miss(record: HostRecord, *, refused: bool) -> HostRecord:
    """Return the record after a probe that failed.

    A refused connection makes the last report void at once. After a timeout
    the report stays, and the readiness that it gave expires.
    """
    report = None if refused else record.report
    return evolve(record, misses=record.misses + 1, report=report)


def is_usable(record: HostRecord, now_s: float) -> bool:
    """Return whether a host without a group may join one."""
    if not record.answers or now_s < record.usable_from_s:
        return False
    return record.report is None or record.report.state != HostState.leaving
