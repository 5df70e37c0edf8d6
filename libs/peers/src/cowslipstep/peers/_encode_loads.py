"""Encoding of load reports and copies of runners' entries."""

from __future__ import annotations

from typing import Any

from cowslipstep.model.loads import (
    LoadMessage,
    LoadReport,
    ModelDemand,
    RunnerDocument,
    RunnersCopy,
    RunnersQuery,
    UpstreamLoad,
)


def write_load_message(frame: Any, message: LoadMessage) -> None:
    """Write the field of the frame that carries the message."""
    match message:
        case LoadReport():
            _write_report(frame.init('loadReport'), message)
        case RunnersQuery(known_revision):
            frame.runnersQuery = known_revision
        case RunnersCopy(revision, entries):
            copy = frame.init('runnersCopy')
            copy.revision = revision
            _write_entries(copy.init('entries', len(entries)), entries)


def _write_entries(
    builder: Any,
    entries: tuple[RunnerDocument, ...],
) -> None:
    for index, entry in enumerate(entries):
        builder[index].name = entry.name
        builder[index].document = entry.document


def _write_report(builder: Any, report: LoadReport) -> None:
    # Empty lists are left out.
    builder.daemon = report.daemon
    builder.sequence = report.sequence
    builder.configurationVersion = report.configuration_version
    builder.served = report.served
    builder.keeper = report.keeper
    builder.runnersRevision = report.runners_revision
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
        _write_waiting(listed[index], load.waiting)


def _write_waiting(builder: Any, waiting: tuple[int, ...]) -> None:
    if not waiting:
        return
    listed = builder.init('waiting', len(waiting))
    for urgency, count in enumerate(waiting):
        listed[urgency] = count


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
