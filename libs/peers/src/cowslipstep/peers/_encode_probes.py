"""Encoding of messages on probes."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    HostFinding,
    ProbeFindings,
    ProbeMessage,
    ProbeQuery,
)
from cowslipstep.peers._units import seconds_to_ms, seconds_to_us


def write_probe_message(frame: Any, message: ProbeMessage) -> None:
    """Write the field of the frame that carries the message."""
    match message:
        case ProbeQuery():
            _write_query(frame.init('probeQuery'), message)
        case ProbeFindings(domain, hosts):
            findings = frame.init('probeFindings')
            findings.domain = domain
            listed = findings.init('hosts', len(hosts))
            for index, finding in enumerate(hosts):
                _write_finding(listed[index], finding)


def _write_query(builder: Any, query: ProbeQuery) -> None:
    builder.domain = query.domain
    builder.groupsTable = query.groups_table
    builder.drainsKnown = query.drains_known
    draining = builder.init('draining', len(query.draining))
    for place, group in enumerate(query.draining):
        draining[place] = group


def _write_finding(builder: Any, finding: HostFinding) -> None:
    builder.host = finding.host
    builder.misses = finding.misses
    if not finding.answered:
        return
    builder.answered = True
    builder.group = finding.group
    builder.state = finding.state
    builder.ageMs = seconds_to_ms(finding.age_s)
    builder.model = finding.model
    builder.running = finding.running
    builder.fence = finding.fence
    builder.tokenUs = seconds_to_us(finding.token_s)
