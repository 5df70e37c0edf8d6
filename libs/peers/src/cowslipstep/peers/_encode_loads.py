"""Encoding of load reports."""

from __future__ import annotations

from typing import Any

from cowslipstep.model import LoadReport, ModelDemand, UpstreamLoad


def write_load_report(builder: Any, report: LoadReport) -> None:
    """Write the fields of a load report; empty lists are left out."""
    builder.daemon = report.daemon
    builder.sequence = report.sequence
    builder.configurationVersion = report.configuration_version
    builder.served = report.served
    builder.keeper = report.keeper
    _write_loads(builder, report.loads)
    _write_demands(builder, report.demands)
    _write_names(builder, 'suspects', report.suspects)
    _write_names(builder, 'heard', report.heard)


def _write_loads(builder: Any, loads: tuple[UpstreamLoad, ...]) -> None:
    if not loads:
        return
    listed = builder.init('loads', len(loads))
    for index, load in enumerate(loads):
        listed[index].upstream = load.upstream
        listed[index].requests = load.requests


def _write_demands(builder: Any, demands: tuple[ModelDemand, ...]) -> None:
    if not demands:
        return
    listed = builder.init('demands', len(demands))
    for index, demand in enumerate(demands):
        listed[index].model = demand.model
        listed[index].groups = demand.groups


def _write_names(builder: Any, field: str, names: tuple[str, ...]) -> None:
    if not names:
        return
    listed = builder.init(field, len(names))
    for index, name in enumerate(names):
        listed[index] = name
