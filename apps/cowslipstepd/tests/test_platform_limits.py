"""Tests of the part of the platform's rate that one daemon may use."""

from __future__ import annotations

import pytest

from cowslipstep.daemon._platform_limits import platform_limits
from cowslipstep.delivery import SHARD_COUNT, shard_role
from cowslipstep.model import Address
from cowslipstep.routing import rendezvous_order
from cowslipstep.settings import DaemonSettings

ADDRESS = Address('127.0.0.1', 1)
WRITES_PER_S = 300
SHARD_WRITE_PERIOD_S = 0.25


def writes_per_s(daemons, shards):
    settings = DaemonSettings(
        name='d0',
        failure_domain='ebene',
        http_address=ADDRESS,
        peer_address=ADDRESS,
        platform_address=ADDRESS,
        platform_writes_per_s=WRITES_PER_S,
    )
    return platform_limits(settings, daemons, shards).writes.calls_per_s


@pytest.mark.parametrize('daemons', [1, 9, 340])
def test_limits_of_all_daemons_add_up_to_the_rate(daemons):
    one_owner = writes_per_s(daemons, SHARD_COUNT)
    total = one_owner + (daemons - 1) * writes_per_s(daemons, 0)
    assert total == pytest.approx(WRITES_PER_S)


@pytest.mark.parametrize('shards', [1, 3])
def test_shard_owners_may_write_often_enough(shards):
    assert writes_per_s(340, shards) >= shards / SHARD_WRITE_PERIOD_S


def test_each_of_three_daemons_owns_shards():
    roles = map(shard_role, range(SHARD_COUNT))
    owners = {rendezvous_order(role, ('d0', 'd1', 'd2'))[0] for role in roles}
    assert len(owners) == 3
