"""Tests of the share of the platform's rate that a daemon may use."""

from __future__ import annotations

import pytest

from cowslipstep.daemon._platform_share import share_of_platform
from cowslipstep.delivery import SHARD_COUNT, shard_role
from cowslipstep.model import Address
from cowslipstep.routing import rendezvous_order
from cowslipstep.settings import DaemonSettings

ADDRESS = Address('127.0.0.1', 1)
WRITES_PER_S = 300
ONE_WRITE_EACH_S = 0.25


def share(daemons, shards):
    settings = DaemonSettings(
        name='d0',
        failure_domain='ebene',
        http_address=ADDRESS,
        peer_address=ADDRESS,
        platform_address=ADDRESS,
        platform_writes_per_s=WRITES_PER_S,
    )
    return share_of_platform(settings, daemons, shards).writes.calls_per_s


@pytest.mark.parametrize('daemons', [1, 9, 340])
def test_all_daemons_together_keep_the_rate(daemons):
    one_owner = share(daemons, SHARD_COUNT)
    total = one_owner + (daemons - 1) * share(daemons, 0)
    assert total == pytest.approx(WRITES_PER_S)


@pytest.mark.parametrize('shards', [1, 3])
def test_an_owner_may_write_its_shards_in_time(shards):
    assert share(340, shards) >= shards / ONE_WRITE_EACH_S


def test_each_of_three_daemons_owns_shards():
    roles = map(shard_role, range(SHARD_COUNT))
    owners = {rendezvous_order(role, ('d0', 'd1', 'd2'))[0] for role in roles}
    assert len(owners) == 3
