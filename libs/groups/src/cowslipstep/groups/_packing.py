"""Forming groups from free hosts so that few accelerators are stranded."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from attrs import evolve, field, frozen

from cowslipstep.groups._health import HostRecords, broken_groups
from cowslipstep.groups._hosts import HostRecord, is_usable
from cowslipstep.groups._ledger import DomainLedger, add_group, drop_groups
from cowslipstep.groups._loads import count_loading, must_load
from cowslipstep.groups._shares import lacking
from cowslipstep.model import Model, Runner

LOADS_AT_ONCE = 4


@frozen
class DomainView:
    """What the controller of a fabric domain decides on.

    Parameters
    ----------
    ledger
        The ledger in force.
    runners
        Runners of the domain.
    records
        What probes have told of the hosts.
    leaving
        Hosts that must not join a group.
    finished
        Draining groups whose work has ended.
    unsettled
        Whether the domain goes dark or comes back just now.
    now_s
        Clock reading.
    """

    ledger: DomainLedger
    runners: tuple[Runner, ...]
    records: HostRecords
    now_s: float
    leaving: frozenset[str] = field(factory=frozenset)
    finished: frozenset[str] = field(factory=frozenset)
    unsettled: bool = False


def plan_domain(
    view: DomainView,
    models: Iterable[Model],
    loads_at_once: int = LOADS_AT_ONCE,
) -> DomainLedger:
    """Return the ledger as it should be now.

    Broken groups and drained ones are dissolved, and their hosts, with
    the spares, form new groups at once: the model that lacks the largest
    share of its groups goes first. A group is formed while some host loads
    weights only if no more than ``loads_at_once`` hosts load then.
    """
    if view.unsettled:
        return view.ledger
    gone = broken_groups(view.ledger, view.records) | view.finished
    wanted = tuple(models)
    planned = evolve(view, ledger=drop_groups(view.ledger, gone))
    while True:
        grown = _form_one(planned, wanted, loads_at_once)
        if grown is None:
            return planned.ledger
        planned = evolve(planned, ledger=grown)


def free_runners(view: DomainView) -> list[Runner]:
    """Return the usable runners that belong to no group."""
    barred = view.ledger.taken_hosts | view.leaving
    return [
        runner
        for runner in view.runners
        if runner.host not in barred
        and is_usable(view.records.get(runner.host, HostRecord()), view.now_s)
    ]


def stranded_accelerators(view: DomainView, models: Iterable[Model]) -> int:
    """Count accelerators of usable hosts without a group, if one lacks."""
    if not lacking(view.ledger, models):
        return 0
    return sum(runner.accelerators for runner in free_runners(view))


def _form_one(
    view: DomainView,
    models: Collection[Model],
    loads_at_once: int,
) -> DomainLedger | None:
    free = free_runners(view)
    loading = count_loading(view.ledger, view.records)
    for model in lacking(view.ledger, models):
        if len(free) < model.hosts_per_group:
            continue
        members = _pick_members(free, model, view.records)
        loads = sum(
            must_load(runner.host, model.name, view.records)
            for runner in members
        )
        if not loading or loading + loads <= loads_at_once:
            return add_group(view.ledger, model.name, members)
    return None


def _pick_members(
    free: list[Runner],
    model: Model,
    records: HostRecords,
) -> tuple[Runner, ...]:
    # Hosts that hold the model's weights already need not load them.
    ordered = sorted(
        free,
        key=lambda runner: must_load(runner.host, model.name, records),
    )
    return tuple(ordered[: model.hosts_per_group])
