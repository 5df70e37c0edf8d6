"""Liveness of daemons, from heartbeats and from gossip."""

import random

from cowslipstep.model import Address, DaemonEntry, GossipedLiveness
from cowslipstep.peers import LivenessTable, PeerView, choose_heartbeat_peers

DOMAINS = 6
DAEMONS_PER_DOMAIN = 8
ROUNDS = 40
ADDRESS = Address('127.0.0.1', 1)


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now_s = 100

    def __call__(self):
        return self.now_s


def seeded_order(key, names):
    """Order names by a seeded shuffle for each key."""
    ordered = sorted(names)
    random.Random(key).shuffle(ordered)
    return tuple(ordered)


def make_entries():
    """Yield daemons spread over the failure domains."""
    for index in range(DOMAINS * DAEMONS_PER_DOMAIN):
        failure_domain = str(index % DOMAINS)
        yield DaemonEntry(f'd{index}', ADDRESS, failure_domain)


class Fleet:
    """Daemons that exchange heartbeats in rounds of one second."""

    def __init__(self):
        self.clock = Clock()
        self.entries = {entry.name: entry for entry in make_entries()}
        self.tables = {name: LivenessTable(self.clock) for name in self.entries}
        self.peers = {name: self.choose(name) for name in self.entries}

    def choose(self, name):
        own = self.entries[name]
        others = {**self.entries}
        others.pop(name)
        return choose_heartbeat_peers(
            PeerView(own, others, self.entries), seeded_order
        )

    def is_local(self, name, other):
        failure_domain = self.entries[name].failure_domain
        return failure_domain == self.entries[other].failure_domain

    def gossiped_names(self, name, peer):
        """Names that the peer gossips about to ``name``.

        Without those that ``name`` exchanges heartbeats with itself.
        """
        local = self.is_local(name, peer)
        return {
            other
            for other in self.entries
            if other != name and not (local and self.is_local(name, other))
        }

    def exchange(self, name, peer):
        limit = 6 if self.is_local(name, peer) else 16
        gossip = self.tables[peer].gossip(
            self.gossiped_names(name, peer), limit
        )
        for liveness in (*gossip, GossipedLiveness(peer, 1, 0)):
            self.tables[name].record(liveness)
        self.tables[peer].record(GossipedLiveness(name, 1, 0))

    def run(self, rounds, dead=''):
        for _ in range(rounds):
            self.clock.now_s += 1
            for name in self.entries.keys() - {dead}:
                for peer in self.peers[name] - {dead}:
                    self.exchange(name, peer)


def max_age_s(fleet, names, observers):
    return max(
        fleet.tables[observer].age_s(name)
        for name in names
        for observer in observers
        if observer != name
    )


def test_heartbeat_peers_are_bounded_and_stable():
    fleet = Fleet()
    counts = {len(peers) for peers in fleet.peers.values()}
    assert max(counts) <= DAEMONS_PER_DOMAIN - 1 + 4
    assert Fleet().peers == fleet.peers


def test_liveness_and_death_reach_all_daemons():
    fleet = Fleet()
    fleet.run(ROUNDS)
    assert max_age_s(fleet, fleet.entries, fleet.entries) < 30
    fleet.run(ROUNDS, dead='d3')
    observers = fleet.entries.keys() - {'d3'}
    assert max_age_s(fleet, observers, observers) < 30
    min_age_s = min(fleet.tables[name].age_s('d3') for name in observers)
    assert min_age_s > 30


def test_an_old_incarnation_is_ignored():
    table = LivenessTable(Clock())
    table.record(GossipedLiveness('d1', 5, 2, stopping=True))
    table.record(GossipedLiveness('d1', 4, 0))
    assert not list(table.alive(10))
    table.record(GossipedLiveness('d1', 6, 1))
    assert list(table.alive(10)) == ['d1']


def test_ages_are_subtracted_from_the_given_time():
    clock = Clock()
    table = LivenessTable(clock)
    clock.now_s += 5
    table.record(GossipedLiveness('d1', 1, 1), counted_from_s=100)
    assert table.age_s('d1') == 6
