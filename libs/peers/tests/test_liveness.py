"""Liveness of daemons, heard directly and through others."""

import random

from cowslipstep.model import Address, DaemonEntry, GossipedLiveness
from cowslipstep.peers import LivenessTable, PeerView, choose_heartbeat_peers

DOMAINS = 6
DAEMONS_PER_DOMAIN = 8
ROUNDS = 40
ADDRESS = Address('127.0.0.1', 1)


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 100

    def __call__(self):
        return self.now_s


def rank(key, names):
    """Order names by a seeded shuffle for each key."""
    ordered = sorted(names)
    random.Random(key).shuffle(ordered)
    return tuple(ordered)


def make_entries():
    """Daemons spread over the failure domains."""
    for index in range(DOMAINS * DAEMONS_PER_DOMAIN):
        home = str(index % DOMAINS)
        yield DaemonEntry(f'd{index}', ADDRESS, home)


class Fleet:
    """Daemons that exchange heartbeats in rounds of a second."""

    def __init__(self):
        self.clock = Clock()
        self.entries = {entry.name: entry for entry in make_entries()}
        self.tables = {name: LivenessTable(self.clock) for name in self.entries}
        self.partners = {name: self.choose(name) for name in self.entries}

    def choose(self, name):
        own = self.entries[name]
        others = {**self.entries}
        others.pop(name)
        return choose_heartbeat_peers(PeerView(own, others, self.entries), rank)

    def is_local(self, name, other):
        home = self.entries[name].failure_domain
        return home == self.entries[other].failure_domain

    def wanted(self, name, partner):
        """Names that the partner tells of: not those heard directly."""
        local = self.is_local(name, partner)
        return {
            other
            for other in self.entries
            if other != name and not (local and self.is_local(name, other))
        }

    def exchange(self, name, partner):
        limit = 6 if self.is_local(name, partner) else 16
        told = self.tables[partner].gossip(self.wanted(name, partner), limit)
        for news in (*told, GossipedLiveness(partner, 1, 0)):
            self.tables[name].record(news)
        self.tables[partner].record(GossipedLiveness(name, 1, 0))

    def run(self, rounds, dead=''):
        for _ in range(rounds):
            self.clock.now_s += 1
            for name in self.entries.keys() - {dead}:
                for partner in self.partners[name] - {dead}:
                    self.exchange(name, partner)


def oldest(fleet, names, watchers):
    return max(
        fleet.tables[watcher].age_s(name)
        for name in names
        for watcher in watchers
        if watcher != name
    )


def test_partners_are_bounded_and_always_the_same():
    fleet = Fleet()
    counts = {len(partners) for partners in fleet.partners.values()}
    assert max(counts) <= DAEMONS_PER_DOMAIN - 1 + 4
    assert Fleet().partners == fleet.partners


def test_all_hear_of_all_and_of_deaths():
    fleet = Fleet()
    fleet.run(ROUNDS)
    assert oldest(fleet, fleet.entries, fleet.entries) < 30
    fleet.run(ROUNDS, dead='d3')
    watchers = fleet.entries.keys() - {'d3'}
    assert oldest(fleet, watchers, watchers) < 30
    youngest = min(fleet.tables[name].age_s('d3') for name in watchers)
    assert youngest > 30


def test_an_old_incarnation_is_ignored():
    table = LivenessTable(Clock())
    table.record(GossipedLiveness('d1', 5, 2, stopping=True))
    table.record(GossipedLiveness('d1', 4, 0))
    assert not list(table.alive(10))
    table.record(GossipedLiveness('d1', 6, 1))
    assert list(table.alive(10)) == ['d1']


def test_ages_count_from_the_question():
    clock = Clock()
    table = LivenessTable(clock)
    clock.now_s += 5
    table.record(GossipedLiveness('d1', 1, 1), counted_from_s=100)
    assert table.age_s('d1') == 6
