"""Choice of relays for load reports as daemons start, fail and return."""

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
DAEMONS_PER_DOMAIN = 20


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
    daemon(domain, number)
    for domain in DOMAINS
    for number in range(DAEMONS_PER_DOMAIN)
)


def role(
    own: DaemonEntry,
    now_s: float,
    last_reports_s: dict[str, float] | None = None,
    fleet: tuple[DaemonEntry, ...] = FLEET,
) -> Role:
    last_report_s = last_reports_s or {}
    choice = RelayChoice(own, lambda name: last_report_s.get(name, 0), 10)
    others = [other for other in fleet if other != own]
    return choice.role(others, now_s)


def follower(*relays: str) -> Follower:
    return Follower(frozenset(relays))


def test_few_daemons_report_to_each_other() -> None:
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


def test_next_daemon_relays_after_the_timeout() -> None:
    now_s = 20 + 1.1 * RELAY_TIMEOUT_S
    last_reports_s = {
        'north-00': 20.0,
        'south-00': now_s,
        'west-00': now_s,
    }
    next_one = role(FLEET[1], now_s, last_reports_s)
    assert isinstance(next_one, Relay)
    assert 'north-00' in next_one.peers
    assert role(FLEET[5], now_s, last_reports_s) == follower(
        'north-00', 'north-01'
    )


def test_more_candidates_are_tried_if_all_fail() -> None:
    last_reports_s = {'north-00': 20.0}
    for timeouts, candidate_count in enumerate((1, 2, 4, 8)):
        now_s = 20 + (timeouts + 0.5) * RELAY_TIMEOUT_S
        last = role(FLEET[19], now_s, last_reports_s)
        assert len(last.peers) == candidate_count


def test_first_daemon_relays_again_on_return() -> None:
    last_reports_s = {'north-00': 29.9, 'north-01': 29.9}
    assert role(FLEET[5], 30, last_reports_s) == follower('north-00')


def test_restarted_daemon_is_the_last_candidate() -> None:
    restarted = evolve(FLEET[0], incarnation=1000)
    fleet = (restarted, *FLEET[1:])
    assert role(restarted, 10, fleet=fleet) == follower('north-01')


@pytest.mark.parametrize('from_relay', [False, True])
def test_sum_includes_each_report(from_relay: bool) -> None:
    busy = UpstreamLoad('u', 1, (1, 0))
    own = LoadReport('a', 1, 7, (busy,))
    other = LoadReport(
        'b',
        9,
        3,
        (UpstreamLoad('u', 2, (0, 2)), UpstreamLoad('v', 4)),
        (ModelDemand('m', 1.5),),
        suspected_upstreams=('s',),
        has_served=True,
        is_controller=True,
        reachable_unregistered=('h',),
        from_relay=from_relay,
    )
    assert sum_reports(own, [other, other]) == LoadReport(
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


def test_sum_has_the_newest_evacuations() -> None:
    """A domain that is no longer evacuated must not come back."""
    known = LoadReport(
        'a', 1, 0, evacuations_revision=4, evacuated_domains=('north',)
    )
    newer = evolve(known, evacuations_revision=5, evacuated_domains=())
    for reports in ((known, [newer]), (newer, [known])):
        report = sum_reports(*reports)
        assert report.evacuations_revision == 5
        assert not report.evacuated_domains


def test_a_relay_reports_the_newest_version() -> None:
    # Its own watch may hang; its followers must hear of the version.
    newer = LoadReport('b', 1, 9)
    report = sum_reports(LoadReport('a', 1, 7), [newer])
    assert report.configuration_version == 9
