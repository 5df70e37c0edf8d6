"""Errors on numbers of a configuration that contradict each other."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator

from cowslipstep.model import Configuration, DocumentError


def consistency_errors(configuration: Configuration) -> Iterator[DocumentError]:
    """Yield an error for each number that contradicts others.

    Also for each service without an address.
    """
    yield from _floor_share_errors(configuration)
    yield from _group_size_errors(configuration)
    yield from _host_demand_errors(configuration)
    for index, service in enumerate(configuration.services):
        if not service.addresses:
            path = f'$.services[{index}].addresses'
            yield DocumentError(path, 'a service needs at least one address')


def _floor_share_errors(
    configuration: Configuration,
) -> Iterator[DocumentError]:
    # A plain sum of decimal shares may exceed one by its rounding errors.
    total = math.fsum(rank.floor_share for rank in configuration.ranks)
    if total > 1:
        message = f'floor shares add up to {total}, more than 1'
        yield DocumentError('$.ranks', message)


def _group_size_errors(configuration: Configuration) -> Iterator[DocumentError]:
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


def _host_demand_errors(
    configuration: Configuration,
) -> Iterator[DocumentError]:
    hosts = len(configuration.runners)
    needed = sum(
        model.groups * model.hosts_per_group for model in configuration.models
    )
    if needed > hosts:
        message = f'groups need {needed} hosts, {hosts} are configured'
        yield DocumentError('$.models', message)
