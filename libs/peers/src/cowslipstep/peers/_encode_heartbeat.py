"""Encoding of heartbeats."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    GossipedLiveness,
    GroupReadiness,
    Heartbeat,
    ReadinessReport,
)
from cowslipstep.peers._units import seconds_to_ms


def write_heartbeat(builder: Any, heartbeat: Heartbeat) -> None:
    """Write a heartbeat; an empty report or an empty gossip is left out."""
    builder.daemon = heartbeat.daemon
    builder.incarnation = heartbeat.incarnation
    builder.configurationVersion = heartbeat.configuration_version
    builder.stopping = heartbeat.stopping
    builder.knownTable = heartbeat.known_group_list
    if heartbeat.readiness.list_number:
        _write_readiness_report(builder.init('readiness'), heartbeat.readiness)
    if heartbeat.gossip:
        entries = builder.init('news', len(heartbeat.gossip))
        for index, liveness in enumerate(heartbeat.gossip):
            _write_liveness(entries[index], liveness)


def _write_readiness_report(builder: Any, report: ReadinessReport) -> None:
    builder.table = report.list_number
    builder.renewedMs = seconds_to_ms(report.common_remaining_s)
    groups = builder.init('groups', len(report.groups))
    for index, group in enumerate(report.groups):
        groups[index] = group
    _write_exceptions(builder, report.exceptions)


def _write_exceptions(
    builder: Any,
    exceptions: tuple[GroupReadiness, ...],
) -> None:
    entries = builder.init('exceptions', len(exceptions))
    for index, readiness in enumerate(exceptions):
        _write_readiness(entries[index], readiness)


def _write_readiness(builder: Any, readiness: GroupReadiness) -> None:
    builder.group = readiness.group
    builder.remainingMs = seconds_to_ms(readiness.remaining_s)


def _write_liveness(builder: Any, liveness: GossipedLiveness) -> None:
    builder.daemon = liveness.daemon
    builder.incarnation = liveness.incarnation
    builder.ageMs = seconds_to_ms(liveness.age_s)
    builder.stopping = liveness.stopping
