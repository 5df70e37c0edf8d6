"""Number of groups of each model that each fabric domain should hold."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from attrs import evolve

from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Model, Runner

ModelsByDomain = dict[str, tuple[Model, ...]]


def distribute_groups(
    models: Iterable[Model],
    runners: Iterable[Runner],
) -> ModelsByDomain:
    """Distribute the configured groups over the fabric domains.

    The distribution depends on the configuration alone, so that all daemons
    compute the same one. Each group goes to the domain with the most hosts
    that are still free. Models alternate: the next group is of the model that
    has the smallest share of its groups placed.

    Examples
    --------
    >>> distribute_groups([Model('drafting', groups=2)], [])
    {}
    """
    free_hosts = collections.Counter(runner.fabric_domain for runner in runners)
    configured_models = tuple(models)
    group_counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for model in _placement_order(configured_models):
        domain = max(sorted(free_hosts), key=free_hosts.__getitem__, default='')
        if free_hosts[domain] >= model.hosts_per_group:
            free_hosts[domain] -= model.hosts_per_group
            group_counts[domain, model.name] += 1
    return {
        domain: tuple(
            evolve(entry, groups=group_counts[domain, entry.name])
            for entry in configured_models
        )
        for domain in sorted(free_hosts)
        if domain
    }


def models_lacking_groups(
    ledger: DomainLedger, models: Iterable[Model]
) -> list[Model]:
    """Return the models that lack groups.

    Those that have the smallest share of their groups come first.
    """
    group_counts = collections.Counter(group.model for group in ledger.groups)
    lacking = [
        entry for entry in models if group_counts[entry.name] < entry.groups
    ]
    return sorted(
        lacking, key=lambda entry: group_counts[entry.name] / entry.groups
    )


def _placement_order(models: tuple[Model, ...]) -> Iterator[Model]:
    turns = [
        ((number + 1) / model.groups, index)
        for index, model in enumerate(models)
        for number in range(model.groups)
    ]
    for _, index in sorted(turns):
        yield models[index]
