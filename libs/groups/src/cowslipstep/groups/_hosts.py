"""What a prober knows of hosts."""

from __future__ import annotations

import enum
import math

from attrs import evolve, frozen

MISSES_TO_FAIL = 3
_QUARANTINE_S = 10


class HostState(enum.StrEnum):
    """State of an engine by its own word."""

    idle = 'idle'
    loading = 'loading'
    ready = 'ready'
    leaving = 'leaving'


@frozen
class HostReport:
    """What an engine said when probed.

    Parameters
    ----------
    host
        Name of the host.
    group
        Group that it belongs to by its own word; empty for none.
    state
        What it is doing.
    heard_at_s
        Clock reading when the probe was sent.
    model
        Model that it holds; empty for none.
    running
        Requests that it runs or has queued.
    fence
        Largest fencing number that it has seen.
    token_s
        Recent time between tokens, seconds; zero if unknown.
    """

    host: str
    group: str
    state: HostState
    heard_at_s: float
    model: str = ''
    running: int = 0
    fence: int = 0
    token_s: float = 0


@frozen
class HostRecord:
    """The last report of a host and its recent failures.

    Parameters
    ----------
    report
        The last report, if there is one.
    misses
        Probes without an answer since the last report.
    usable_from_s
        Clock reading from which a host that failed may join a group.
    ready_group
        The group in which the host was last ready.
    """

    report: HostReport | None = None
    misses: int = 0
    usable_from_s: float = -math.inf
    ready_group: str = ''

    @property
    def failed(self) -> bool:
        """Whether the host is taken for dead."""
        return self.misses >= MISSES_TO_FAIL

    @property
    def answers(self) -> bool:
        """Whether the host answered the last probe."""
        return self.report is not None and not self.misses


def record_report(record: HostRecord, report: HostReport) -> HostRecord:
    """Return the record after an answer.

    A host that failed is left out of groups until it has been healthy for
    a while.
    """
    ready = report.state == HostState.ready
    return HostRecord(
        report=report,
        usable_from_s=(
            report.heard_at_s + _QUARANTINE_S
            if record.failed
            else record.usable_from_s
        ),
        ready_group=report.group if ready else record.ready_group,
    )


def record_miss(record: HostRecord, *, refused: bool) -> HostRecord:
    """Return the record after a probe without an answer.

    A refused connection makes the last report void at once; silence leaves
    it to run out.
    """
    report = None if refused else record.report
    return evolve(record, misses=record.misses + 1, report=report)


def is_usable(record: HostRecord, now_s: float) -> bool:
    """Whether a host without a group may join one."""
    if not record.answers or now_s < record.usable_from_s:
        return False
    return record.report is None or record.report.state != HostState.leaving
