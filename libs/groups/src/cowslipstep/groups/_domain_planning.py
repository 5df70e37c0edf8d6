"""Plans the groups of a fabric domain so that few accelerators stay unused."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from attrs import evolve, field, frozen

from cowslipstep.groups._group_distribution import models_lacking_groups
from cowslipstep.groups._group_health import HostRecords, broken_groups
from cowslipstep.groups._host_records import HostRecord, is_usable
from cowslipstep.groups._ledger import DomainLedger, add_group, remove_groups
from cowslipstep.groups._weight_loads import count_loading, must_load
from cowslipstep.model import Model, Runner

# Hosts of a domain that may load weights at the same time, by default.
DEFAULT_MAX_CONCURRENT_LOADS = 4


@frozen
class DomainView:
    """State of a fabric domain on which its controller decides.

    Parameters
    ----------
    ledger
        The ledger in force.
    runners
        Runners of the domain.
    records
        Records of the probes of hosts.
    excluded_hosts
        Hosts that must not join a group.
    drained_groups
        Draining groups whose requests have ended.
    losses_uncertain
        Whether the failed probes may be due to an outage of the whole domain
        rather than to failed hosts; the ledger then stays as it is.
    now_s
        Clock reading, seconds.
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
    max_concurrent_loads: int = DEFAULT_MAX_CONCURRENT_LOADS,
) -> DomainLedger:
    """Return the ledger that should be in force now.

    Broken and drained groups are dissolved, and their hosts and the spare ones
    form new groups at once, first for the model that lacks the largest share
    of its groups. While some hosts load weights, a group is only formed if
    together with its members no more than ``max_concurrent_loads`` hosts load.
    """
    if view.losses_uncertain:
        return view.ledger
    dissolved = broken_groups(view.ledger, view.records) | view.drained_groups
    configured_models = tuple(models)
    planned = evolve(view, ledger=remove_groups(view.ledger, dissolved))
    while True:
        next_ledger = _form_next_group(
            planned, configured_models, max_concurrent_loads
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
    """Count the accelerators of usable hosts that are in no group.

    The count is zero while no model lacks a group: these hosts are spares.
    """
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
    # Hosts that have loaded the model's weights come first.
    ordered = sorted(
        free,
        key=lambda runner: must_load(runner.host, model.name, records),
    )
    return tuple(ordered[: model.hosts_per_group])
