"""How many groups of each model a fabric domain should hold."""

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
    """Share the wanted groups out over the fabric domains.

    The result depends on the configuration alone, so that all daemons
    work out the same. Each group goes to the domain with the most hosts
    left; models take turns, the one with the smallest share of its groups
    placed first.

    Examples
    --------
    >>> distribute_groups([Model('drafting', groups=2)], [])
    {}
    """
    room = collections.Counter(runner.fabric_domain for runner in runners)
    wanted = tuple(models)
    placed: collections.Counter[tuple[str, str]] = collections.Counter()
    for model in _in_turn(wanted):
        domain = max(sorted(room), key=room.__getitem__, default='')
        if room[domain] >= model.hosts_per_group:
            room[domain] -= model.hosts_per_group
            placed[domain, model.name] += 1
    return {
        domain: tuple(
            evolve(entry, groups=placed[domain, entry.name]) for entry in wanted
        )
        for domain in sorted(room)
        if domain
    }


def models_lacking_groups(
    ledger: DomainLedger, models: Iterable[Model]
) -> list[Model]:
    """Return the models that lack groups, the most needed first."""
    held = collections.Counter(group.model for group in ledger.groups)
    short = [entry for entry in models if held[entry.name] < entry.groups]
    return sorted(short, key=lambda entry: held[entry.name] / entry.groups)


def _in_turn(models: tuple[Model, ...]) -> Iterator[Model]:
    turns = [
        ((number + 1) / model.groups, index)
        for index, model in enumerate(models)
        for number in range(model.groups)
    ]
    for _, index in sorted(turns):
        yield models[index]
