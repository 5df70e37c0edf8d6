"""Decoding of load reports."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import LoadReport, ModelDemand, UpstreamLoad


def decode_load_report(name: str, raw: Any) -> LoadReport | None:
    """Read a load report; return ``None`` for another message."""
    if name != 'loadReport':
        return None
    return LoadReport(
        daemon=raw.daemon,
        sequence=raw.sequence,
        configuration_version=raw.configurationVersion,
        loads=tuple(
            UpstreamLoad(load.upstream, load.requests) for load in raw.loads
        ),
        demands=tuple(
            ModelDemand(demand.model, demand.groups) for demand in raw.demands
        ),
        suspects=tuple(raw.suspects),
        served=raw.served,
        keeper=raw.keeper,
        heard=tuple(raw.heard),
    )
