"""Sizes in a configuration that must fit each other."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

from cowslipstep.model import Configuration, DocumentError


def size_problems(configuration: Configuration) -> Iterator[DocumentError]:
    """Yield a mistake for each size that does not fit the others."""
    yield from _floor_problems(configuration)
    yield from _span_problems(configuration)
    yield from _demand_problems(configuration)
    for index, service in enumerate(configuration.services):
        if not service.addresses:
            path = f'$.services[{index}].addresses'
            yield DocumentError(path, 'a service needs at least one address')


def _floor_problems(configuration: Configuration) -> Iterator[DocumentError]:
    # Plain sums of decimal shares exceed one by rounding errors.
    total = math.fsum(rank.floor_share for rank in configuration.ranks)
    if total > 1:
        message = f'floor shares add up to {total}, more than 1'
        yield DocumentError('$.ranks', message)


def _span_problems(configuration: Configuration) -> Iterator[DocumentError]:
    domains = collections.Counter(
        runner.fabric_domain for runner in configuration.runners
    )
    largest = max(domains.values(), default=0)
    for index, model in enumerate(configuration.models):
        if model.groups and model.hosts_per_group > largest:
            yield DocumentError(
                f'$.models[{index}].hosts_per_group',
                f'the largest fabric domain has {largest} hosts, '
                f'a group of {model.name!r} needs {model.hosts_per_group}',
            )


def _demand_problems(configuration: Configuration) -> Iterator[DocumentError]:
    hosts = len(configuration.runners)
    needed = sum(
        model.groups * model.hosts_per_group for model in configuration.models
    )
    if needed > hosts:
        message = f'groups need {needed} hosts, {hosts} are configured'
        yield DocumentError('$.models', message)
