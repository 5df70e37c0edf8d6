"""Encoding of load reports and copies of runners' entries."""

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
    """Write the field of the frame that carries the message."""
    match message:
        case LoadReport():
            _write_report(frame.init('loadReport'), message)
        case RunnersQuery(known_revision):
            frame.runnersQuery = known_revision
        case RunnersCopy():
            _write_copy(frame.init('runnersCopy'), message)


def _write_copy(builder: Any, copy: RunnersCopy) -> None:
    builder.revision = copy.revision
    builder.whole = copy.is_complete
    _write_names(builder, 'removed', copy.removed)
    listed = builder.init('entries', len(copy.entries))
    for index, entry in enumerate(copy.entries):
        listed[index].name = entry.name
        listed[index].document = entry.document


def _write_report(builder: Any, report: LoadReport) -> None:
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
    listed = builder.init('loads', len(loads))
    for written, load in zip(listed, loads, strict=True):
        written.upstream = load.upstream
        written.requests = load.requests
        _write_waiting(written, load.waiting_by_urgency)


def _write_waiting(builder: Any, waiting: tuple[int, ...]) -> None:
    if not any(waiting):
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
