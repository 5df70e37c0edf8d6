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
    """Write the fields of a heartbeat; empty parts are left out."""
    builder.daemon = heartbeat.daemon
    builder.incarnation = heartbeat.incarnation
    builder.configurationVersion = heartbeat.configuration_version
    builder.stopping = heartbeat.stopping
    builder.knownTable = heartbeat.known_group_list
    if heartbeat.readiness.list_number:
        _write_report(builder.init('readiness'), heartbeat.readiness)
    if heartbeat.gossip:
        listed = builder.init('news', len(heartbeat.gossip))
        for index, news in enumerate(heartbeat.gossip):
            _write_news(listed[index], news)


def _write_report(builder: Any, report: ReadinessReport) -> None:
    builder.table = report.list_number
    builder.renewedMs = seconds_to_ms(report.common_remaining_s)
    groups = builder.init('groups', len(report.groups))
    for place, group in enumerate(report.groups):
        groups[place] = group
    _write_exceptions(builder, report.exceptions)


def _write_exceptions(
    builder: Any,
    exceptions: tuple[GroupReadiness, ...],
) -> None:
    listed = builder.init('exceptions', len(exceptions))
    for index, readiness in enumerate(exceptions):
        _write_readiness(listed[index], readiness)


def _write_readiness(builder: Any, readiness: GroupReadiness) -> None:
    builder.group = readiness.group
    builder.remainingMs = seconds_to_ms(readiness.remaining_s)


def _write_news(builder: Any, news: GossipedLiveness) -> None:
    builder.daemon = news.daemon
    builder.incarnation = news.incarnation
    builder.ageMs = seconds_to_ms(news.age_s)
    builder.stopping = news.stopping
