"""Decoding of heartbeats."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    GossipedLiveness,
    GroupReadiness,
    Heartbeat,
    ReadinessReport,
)
from cowslipstep.peers._units import ms_to_seconds


def decode_heartbeat(raw: Any) -> Heartbeat:
    """Decode a heartbeat."""
    return Heartbeat(
        raw.daemon,
        raw.incarnation,
        raw.configurationVersion,
        raw.stopping,
        raw.knownTable,
        _readiness_report(raw.readiness),
        tuple(_gossiped_liveness(entry) for entry in raw.news),
    )


def _readiness_report(raw: Any) -> ReadinessReport:
    if raw.table == 0:
        return ReadinessReport()
    return ReadinessReport(
        raw.table,
        tuple(raw.groups),
        ms_to_seconds(raw.renewedMs),
        tuple(
            GroupReadiness(entry.group, ms_to_seconds(entry.remainingMs))
            for entry in raw.exceptions
        ),
    )


def _gossiped_liveness(raw: Any) -> GossipedLiveness:
    return GossipedLiveness(
        raw.daemon,
        raw.incarnation,
        ms_to_seconds(raw.ageMs),
        raw.stopping,
    )
