"""What a prober knows of hosts."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable

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
    answering_from_s
        When the first answer since the last miss had come.
    first_miss_s
        When the first of these misses was noted.
    last_miss_s
        When the last probe of these misses was sent.
    """

    report: HostReport | None = None
    misses: int = 0
    usable_from_s: float = -math.inf
    ready_group: str = ''
    answering_from_s: float = -math.inf
    first_miss_s: float = -math.inf
    last_miss_s: float = -math.inf

    @property
    def failed(self) -> bool:
        """Whether the host is taken for dead."""
        return self.misses >= MISSES_TO_FAIL

    @property
    def answers(self) -> bool:
        """Whether the host answered the last probe."""
        return self.report is not None and not self.misses

    def was_heard_during(self, missed: HostRecord) -> bool:
        """Whether this host was heard while another one missed probes.

        It has answered a probe sent after the other's first miss, and
        answered before the other's last missed probe was sent.
        """
        if self.report is None or not self.answers:
            return False
        if self.report.heard_at_s < missed.first_miss_s:
            return False
        return self.answering_from_s <= missed.last_miss_s


def note_report(
    record: HostRecord,
    report: HostReport,
    noted_at_s: float = -math.inf,
) -> HostRecord:
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
        answering_from_s=(
            record.answering_from_s if record.answers else noted_at_s
        ),
    )


def note_miss(
    record: HostRecord,
    *,
    refused: bool,
    sent_at_s: float = -math.inf,
    noted_at_s: float = -math.inf,
) -> HostRecord:
    """Return the record after a probe without an answer.

    A refused connection makes the last report void at once; silence leaves
    it to run out.
    """
    return evolve(
        record,
        misses=record.misses + 1,
        report=None if refused else record.report,
        first_miss_s=record.first_miss_s if record.misses else noted_at_s,
        last_miss_s=sent_at_s,
    )


def is_usable(record: HostRecord, now_s: float) -> bool:
    """Whether a host without a group may join one."""
    if not record.answers or now_s < record.usable_from_s:
        return False
    return record.report is None or record.report.state != HostState.leaving


def is_lost(record: HostRecord, known: Iterable[HostRecord]) -> bool:
    """Whether a host failed while another host of its domain was heard.

    Otherwise the whole domain may have gone dark, or have come back,
    between the probes of its hosts.
    """
    return record.failed and any(
        other.was_heard_during(record) for other in known
    )
