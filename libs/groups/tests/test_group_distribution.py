"""Tests of the distribution of groups over fabric domains."""

from __future__ import annotations

from cowslipstep.groups import distribute_groups
from cowslipstep.model import Address, Model, Runner


def _runners(**hosts: int) -> list[Runner]:
    address = Address('127.0.0.1', 1)
    return [
        Runner(f'{domain}{number}', address, 'fd', domain)
        for domain, count in hosts.items()
        for number in range(count)
    ]


def test_groups_go_where_hosts_are_free() -> None:
    model = Model('drafting', hosts_per_group=4, groups=4)
    by_domain = distribute_groups([model], _runners(large=12, small=4, tiny=3))
    placed = {domain: models[0].groups for domain, models in by_domain.items()}
    assert placed == {'large': 3, 'small': 1, 'tiny': 0}


def test_models_take_turns() -> None:
    models = [Model('a', groups=2), Model('b', groups=2)]
    by_domain = distribute_groups(models, _runners(only=12))
    assert [model.groups for model in by_domain['only']] == [2, 1]
