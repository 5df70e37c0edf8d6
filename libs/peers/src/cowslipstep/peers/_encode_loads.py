"""Encoding of load reports and of copies of the entries of runners."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

from cowslipstep.model.loads import (
    LoadMessage,
    LoadReport,
    RunnersCopy,
    RunnersQuery,
)

_Written = TypeVar('_Written')


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
    builder.storeSilences = report.store_silences
    builder.daemonsKnown = report.daemons_known
    for load_entry, load in _new_entries(builder, 'loads', report.loads):
        load_entry.upstream = load.upstream
        load_entry.requests = load.requests
        _write_waiting(load_entry, load.waiting_by_urgency)
    _write_demands_and_doubts(builder, report)
    _write_names(builder, 'suspects', report.suspected_upstreams)
    _write_names(builder, 'heard', report.reachable_unregistered)
    builder.evacuationsRevision = report.evacuations_revision
    _write_names(builder, 'evacuated', report.evacuated_domains)


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


def _write_demands_and_doubts(builder: Any, report: LoadReport) -> None:
    for demand_entry, demand in _new_entries(
        builder, 'demands', report.demands
    ):
        demand_entry.model = demand.model
        demand_entry.groups = demand.groups
        demand_entry.service = demand.service
    for doubt_entry, doubt in _new_entries(builder, 'doubts', report.doubts):
        doubt_entry.upstream = doubt.upstream
        doubt_entry.daemons = doubt.daemons


def _new_entries(
    builder: Any, field: str, written: Sequence[_Written]
) -> Iterable[tuple[Any, _Written]]:
    """Return what is written with the entries of a new list for it."""
    if not written:
        # An empty list is left out.
        return ()
    return zip(builder.init(field, len(written)), written, strict=True)


def _write_names(builder: Any, field: str, names: tuple[str, ...]) -> None:
    if not names:
        return
    written_names = builder.init(field, len(names))
    for index, name in enumerate(names):
        written_names[index] = name
