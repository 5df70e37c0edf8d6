"""Which daemons relay load reports as others come, end and return."""

from __future__ import annotations

import pytest
from attrs import evolve

from cowslipstep.model import Address, DaemonEntry
from cowslipstep.model.loads import LoadReport, ModelDemand, UpstreamLoad
from cowslipstep.routing import (
    RELAY_TIMEOUT_S,
    Follower,
    MeshMember,
    Relay,
    RelayChoice,
    Role,
    sum_reports,
)

DOMAINS = ('north', 'south', 'west')
IN_DOMAIN = 20


def daemon(domain: str, number: int, cores: float = 0.5) -> DaemonEntry:
    padded = str(number).zfill(2)
    name = f'{domain}-{padded}'
    return DaemonEntry(
        name,
        Address('127.0.0.1', 1),
        domain,
        number,
        cores,
    )


FLEET = tuple(
    daemon(domain, number) for domain in DOMAINS for number in range(IN_DOMAIN)
)


def role(
    own: DaemonEntry,
    now_s: float,
    heard_s: dict[str, float] | None = None,
    fleet: tuple[DaemonEntry, ...] = FLEET,
) -> Role:
    heard_at_s = heard_s or {}
    choice = RelayChoice(own, lambda name: heard_at_s.get(name, 0), 10)
    others = [other for other in fleet if other != own]
    return choice.role(others, now_s)


def follower(*relays: str) -> Follower:
    return Follower(frozenset(relays))


def test_few_daemons_tell_each_other() -> None:
    few = FLEET[:9]
    others = frozenset(entry.name for entry in few[1:])
    assert role(few[0], 10, fleet=few) == MeshMember(others)


def test_one_daemon_of_each_domain_relays() -> None:
    roles = [role(entry, 10) for entry in FLEET]
    relays = [found for found in roles if isinstance(found, Relay)]
    assert len(relays) == len(DOMAINS)
    assert relays[0].peers == {'south-00', 'west-00'}
    assert role(FLEET[5], 10) == follower('north-00')


def test_links_grow_with_the_number_of_daemons() -> None:
    links = sum(len(role(entry, 10).peers) for entry in FLEET)
    assert links < 2 * len(FLEET)


def test_daemon_with_most_cores_relays() -> None:
    large = daemon('north', 50, cores=2)
    fleet = (*FLEET, large)
    assert isinstance(role(large, 10, fleet=fleet), Relay)
    assert role(FLEET[0], 10, fleet=fleet) == follower(large.name)


def test_next_daemon_relays_after_a_silence() -> None:
    silent_s = 20 + 1.1 * RELAY_TIMEOUT_S
    heard_s = {'north-00': 20.0, 'south-00': silent_s, 'west-00': silent_s}
    next_one = role(FLEET[1], silent_s, heard_s)
    assert isinstance(next_one, Relay)
    assert 'north-00' in next_one.peers
    assert role(FLEET[5], silent_s, heard_s) == follower('north-00', 'north-01')


def test_more_are_tried_while_all_are_silent() -> None:
    heard_s = {'north-00': 20.0}
    for silences, tried in enumerate((1, 2, 4, 8)):
        now_s = 20 + (silences + 0.5) * RELAY_TIMEOUT_S
        last = role(FLEET[19], now_s, heard_s)
        assert len(last.peers) == tried


def test_first_daemon_relays_when_it_is_back() -> None:
    heard_s = {'north-00': 29.9, 'north-01': 29.9}
    assert role(FLEET[5], 30, heard_s) == follower('north-00')


def test_restarted_daemon_goes_last() -> None:
    restarted = evolve(FLEET[0], incarnation=1000)
    fleet = (restarted, *FLEET[1:])
    assert role(restarted, 10, fleet=fleet) == follower('north-01')


@pytest.mark.parametrize('relayed', [False, True])
def test_sum_tells_what_each_report_tells(relayed: bool) -> None:
    busy = UpstreamLoad('u', 1, (1, 0))
    own = LoadReport('a', 1, 7, (busy,))
    told = LoadReport(
        'b',
        9,
        3,
        (UpstreamLoad('u', 2, (0, 2)), UpstreamLoad('v', 4)),
        (ModelDemand('m', 1.5),),
        suspected_upstreams=('s',),
        has_served=True,
        is_controller=True,
        reachable_unregistered=('h',),
        from_relay=relayed,
    )
    assert sum_reports(own, [told, told]) == LoadReport(
        'a',
        1,
        7,
        (UpstreamLoad('u', 5, (1, 4)), UpstreamLoad('v', 8, ())),
        (ModelDemand('m', 3),),
        suspected_upstreams=('s',),
        has_served=True,
        is_controller=True,
        reachable_unregistered=('h',),
        from_relay=True,
    )
