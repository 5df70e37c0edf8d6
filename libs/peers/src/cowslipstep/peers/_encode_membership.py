"""Encoding of messages on membership and configuration."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    Acknowledgement,
    ConfigurationCopy,
    ConfigurationQuery,
    GroupReadiness,
    Heartbeat,
    MembershipMessage,
)
from cowslipstep.peers._units import seconds_to_ms


def write_membership_message(frame: Any, message: MembershipMessage) -> None:
    """Write the field of the frame that carries the message."""
    match message:
        case Acknowledgement():
            frame.acknowledgement = None
        case Heartbeat():
            _write_heartbeat(frame.init('heartbeat'), message)
        case ConfigurationQuery(known_version):
            frame.configurationQuery = known_version
        case ConfigurationCopy(version, document):
            copy = frame.init('configurationCopy')
            copy.version = version
            copy.document = document


def _write_heartbeat(builder: Any, heartbeat: Heartbeat) -> None:
    builder.daemon = heartbeat.daemon
    builder.incarnation = heartbeat.incarnation
    builder.configurationVersion = heartbeat.configuration_version
    builder.stopping = heartbeat.stopping
    listed = builder.init('readiness', len(heartbeat.readiness))
    for index, readiness in enumerate(heartbeat.readiness):
        _write_readiness(listed[index], readiness)


def _write_readiness(builder: Any, readiness: GroupReadiness) -> None:
    builder.group = readiness.group
    builder.remainingMs = seconds_to_ms(readiness.remaining_s)
