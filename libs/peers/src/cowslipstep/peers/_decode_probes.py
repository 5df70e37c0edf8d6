"""Decoding of messages on probes."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import (
    HostFinding,
    ProbeFindings,
    ProbeMessage,
    ProbeQuery,
)
from cowslipstep.peers._units import ms_to_seconds, us_to_seconds


def decode_probe_message(name: str, body: Any) -> ProbeMessage | None:
    """Read the field ``name``; return ``None`` if it is no such message."""
    match name:
        case 'probeQuery':
            return ProbeQuery(
                body.domain,
                body.groupsTable,
                tuple(body.draining),
                body.drainsKnown,
            )
        case 'probeFindings':
            hosts = tuple(_finding(entry) for entry in body.hosts)
            return ProbeFindings(body.domain, hosts)
    return None


def _finding(raw: Any) -> HostFinding:
    if not raw.answered:
        return HostFinding(raw.host, raw.misses)
    return HostFinding(
        raw.host,
        raw.misses,
        answered=True,
        group=raw.group,
        state=raw.state,
        age_s=ms_to_seconds(raw.ageMs),
        model=raw.model,
        running=raw.running,
        fence=raw.fence,
        token_s=us_to_seconds(raw.tokenUs),
    )
