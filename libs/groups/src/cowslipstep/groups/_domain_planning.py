"""Forming groups from free hosts so that few accelerators are stranded."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from attrs import evolve, field, frozen

from cowslipstep.groups._group_health import HostRecords, broken_groups
from cowslipstep.groups._host_records import HostRecord, is_usable
from cowslipstep.groups._ledger import DomainLedger, add_group, remove_groups
from cowslipstep.groups._weight_loads import count_loading, must_load
from cowslipstep.groups._group_distribution import models_lacking_groups
from cowslipstep.model import Model, Runner

MAX_CONCURRENT_LOADS = 4


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
    excluded_hosts: frozenset[str] = field(factory=frozenset)
    drained_groups: frozenset[str] = field(factory=frozenset)
    losses_uncertain: bool = False


def plan_domain(
    view: DomainView,
    models: Iterable[Model],
    max_concurrent_loads: int = MAX_CONCURRENT_LOADS,
) -> DomainLedger:
    """Return the ledger as it should be now.

    Broken groups and drained ones are dissolved, and their hosts, with
    the spares, form new groups at once: the model that lacks the largest
    share of its groups goes first. A group is formed while some host loads
    weights only if no more than ``loads_at_once`` hosts load then.
    """
    if view.losses_uncertain:
        return view.ledger
    dissolved = broken_groups(view.ledger, view.records) | view.drained_groups
    wanted_models = tuple(models)
    planned = evolve(view, ledger=remove_groups(view.ledger, dissolved))
    while True:
        next_ledger = _form_next_group(
            planned, wanted_models, max_concurrent_loads
        )
        if next_ledger is None:
            return planned.ledger
        planned = evolve(planned, ledger=next_ledger)


def free_runners(view: DomainView) -> list[Runner]:
    """Return the usable runners that belong to no group."""
    unavailable = view.ledger.assigned_hosts | view.excluded_hosts
    return [
        runner
        for runner in view.runners
        if runner.host not in unavailable
        and is_usable(view.records.get(runner.host, HostRecord()), view.now_s)
    ]


def stranded_accelerators(view: DomainView, models: Iterable[Model]) -> int:
    """Count accelerators of usable hosts without a group, if one lacks."""
    if not models_lacking_groups(view.ledger, models):
        return 0
    return sum(runner.accelerators for runner in free_runners(view))


def _form_next_group(
    view: DomainView,
    models: Collection[Model],
    max_concurrent_loads: int,
) -> DomainLedger | None:
    free = free_runners(view)
    loading_count = count_loading(view.ledger, view.records)
    for model in models_lacking_groups(view.ledger, models):
        if len(free) < model.hosts_per_group:
            continue
        members = _pick_members(free, model, view.records)
        new_loads = sum(
            must_load(runner.host, model.name, view.records)
            for runner in members
        )
        if (
            not loading_count
            or loading_count + new_loads <= max_concurrent_loads
        ):
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
