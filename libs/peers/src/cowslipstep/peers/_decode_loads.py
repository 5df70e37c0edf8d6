"""Decoding of load reports and of copies of the entries of runners."""

from __future__ import annotations

from typing import Any

from cowslipstep.model.loads import (
    LoadMessage,
    LoadReport,
    ModelDemand,
    RunnerDocument,
    RunnersCopy,
    RunnersQuery,
    UpstreamDoubt,
    UpstreamLoad,
)


def decode_load_message(name: str, raw: Any) -> LoadMessage | None:
    """Decode the union field ``name``; return ``None`` for other messages."""
    match name:
        case 'loadReport':
            return _load_report(raw)
        case 'runnersQuery':
            return RunnersQuery(raw)
        case 'runnersCopy':
            return _runners_copy(raw)
    return None


def _runners_copy(raw: Any) -> RunnersCopy:
    return RunnersCopy(
        raw.revision,
        tuple(
            RunnerDocument(entry.name, entry.document) for entry in raw.entries
        ),
        tuple(raw.removed),
        raw.whole,
    )


def _load_report(raw: Any) -> LoadReport:
    return LoadReport(
        daemon=raw.daemon,
        sequence=raw.sequence,
        configuration_version=raw.configurationVersion,
        loads=tuple(_upstream_load(load) for load in raw.loads),
        demands=tuple(
            ModelDemand(demand.model, demand.groups, demand.service)
            for demand in raw.demands
        ),
        suspected_upstreams=tuple(raw.suspects),
        has_served=raw.served,
        is_controller=raw.keeper,
        reachable_unregistered=tuple(raw.heard),
        runners_revision=raw.runnersRevision,
        store_silences=raw.storeSilences,
        from_relay=raw.relayed,
        covers_all_daemons=raw.whole,
        doubts=tuple(
            UpstreamDoubt(doubt.upstream, doubt.daemons) for doubt in raw.doubts
        ),
        evacuations_revision=raw.evacuationsRevision,
        evacuated_domains=tuple(raw.evacuated),
        daemons_known=raw.daemonsKnown,
    )


def _upstream_load(raw: Any) -> UpstreamLoad:
    return UpstreamLoad(raw.upstream, raw.requests, tuple(raw.waiting))
