"""Encoding of load reports and of copies of the entries of runners."""

from __future__ import annotations

from typing import Any

from cowslipstep.model.loads import (
    LoadMessage,
    LoadReport,
    ModelDemand,
    RunnersCopy,
    RunnersQuery,
    UpstreamLoad,
)


def write_load_message(frame: Any, message: LoadMessage) -> None:
    """Write the union field of the frame for this type of message."""
    match message:
        case LoadReport():
            _write_load_report(frame.init('loadReport'), message)
        case RunnersQuery(known_revision):
            frame.runnersQuery = known_revision
        case RunnersCopy():
            _write_runners_copy(frame.init('runnersCopy'), message)


def _write_runners_copy(builder: Any, copy: RunnersCopy) -> None:
    builder.revision = copy.revision
    builder.whole = copy.is_complete
    _write_names(builder, 'removed', copy.removed)
    entries = builder.init('entries', len(copy.entries))
    for index, entry in enumerate(copy.entries):
        entries[index].name = entry.name
        entries[index].document = entry.document


def _write_load_report(builder: Any, report: LoadReport) -> None:
    # Empty lists are left out.
    builder.daemon = report.daemon
    builder.sequence = report.sequence
    builder.configurationVersion = report.configuration_version
    builder.served = report.has_served
    builder.keeper = report.is_controller
    builder.relayed = report.from_relay
    builder.whole = report.covers_all_daemons
    builder.runnersRevision = report.runners_revision
    _write_loads(builder, report.loads)
    _write_demands(builder, report.demands)
    _write_names(builder, 'suspects', report.suspected_upstreams)
    _write_names(builder, 'heard', report.reachable_unregistered)


def _write_loads(builder: Any, loads: tuple[UpstreamLoad, ...]) -> None:
    if not loads:
        return
    entries = builder.init('loads', len(loads))
    for entry, load in zip(entries, loads, strict=True):
        entry.upstream = load.upstream
        entry.requests = load.requests
        _write_waiting(entry, load.waiting_by_urgency)


def _write_waiting(builder: Any, waiting: tuple[int, ...]) -> None:
    # Zeros at the end are left out: few levels are in use.
    levels = len(waiting)
    while levels and not waiting[levels - 1]:
        levels -= 1
    if not levels:
        return
    counts = builder.init('waiting', levels)
    for urgency, count in enumerate(waiting[:levels]):
        counts[urgency] = count


def _write_demands(builder: Any, demands: tuple[ModelDemand, ...]) -> None:
    if not demands:
        return
    entries = builder.init('demands', len(demands))
    for index, demand in enumerate(demands):
        entries[index].model = demand.model
        entries[index].groups = demand.groups


def _write_names(builder: Any, field: str, names: tuple[str, ...]) -> None:
    if not names:
        return
    written_names = builder.init(field, len(names))
    for index, name in enumerate(names):
        written_names[index] = name
