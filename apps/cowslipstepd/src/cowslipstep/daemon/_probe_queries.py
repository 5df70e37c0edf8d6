"""Questions of a keeper to the daemons that probe hosts of its domains."""

from __future__ import annotations

import contextlib
import functools
import time
from collections.abc import Iterator
from typing import Any

from eventlet.queue import Empty, LightQueue
from loguru import logger

from cowslipstep.daemon._keeper import KeeperTools
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._probe_shares import kept_runners
from cowslipstep.daemon._tasks import start_task
from cowslipstep.groups import groups_table
from cowslipstep.model import ProbeFindings, ProbeQuery, Runner
from cowslipstep.peers import PeerUnreachable

_PERIOD_S = 0.5
_CALL_TIMEOUT_S = 0.5
_VALID_S = 1.25


class ProbeQueries:
    """Keeps one task for each daemon that probes for the own domains.

    Parameters
    ----------
    tools
        What the keepers of a daemon share.
    links
        Links to the other daemons.
    """

    def __init__(self, tools: KeeperTools, links: PeerLinks) -> None:
        self._tools = tools
        self._links = links
        self._queries: dict[str, ProbeQuery] = {}
        self._tasks: dict[str, Any] = {}
        self._wakes: dict[str, LightQueue[None]] = {}
        self._found_at_s: dict[str, float] = {}

    def adjust(self) -> None:
        """Ask the probers of the own domains, at once after a change."""
        self._renew_queries()
        wanted = _probers(self._tools)
        for gone in self._tasks.keys() - wanted:
            self._tasks.pop(gone).kill()
            self._wakes.pop(gone)
        for name in wanted - self._tasks.keys():
            self._wakes[name] = LightQueue()
            task = functools.partial(self._ask_forever, name)
            self._tasks[name] = start_task(f'probe queries to {name}', task)

    def unreported(self) -> Iterator[Runner]:
        """Yield the runners of the own domains that no other daemon reports.

        This daemon probes them itself, whoever they fall to.
        """
        oldest_s = time.monotonic() - _VALID_S
        for runner in kept_runners(self._tools.scopes):
            if self._found_at_s.get(runner.host, 0) < oldest_s:
                yield runner

    def _renew_queries(self) -> None:
        made = {query.domain: query for query in _make_queries(self._tools)}
        if made != self._queries:
            self._queries = made
            for wake in self._wakes.values():
                wake.put(None)

    def _ask_forever(self, peer: str) -> None:
        while True:
            probers = self._tools.scopes.probers
            for domain, query in tuple(self._queries.items()):
                if peer in probers(domain):
                    self._ask(peer, query)
            with contextlib.suppress(Empty):
                self._wakes[peer].get(timeout=_PERIOD_S)

    def _ask(self, peer: str, query: ProbeQuery) -> None:
        sent_at_s = time.monotonic()
        try:
            reply = self._links.call(peer, query, _CALL_TIMEOUT_S)
        except PeerUnreachable as error:
            logger.debug('no findings: {}', error)
            return
        match reply:
            case ProbeFindings():
                self._learn(reply, sent_at_s)

    def _learn(self, found: ProbeFindings, sent_at_s: float) -> None:
        prober = self._tools.prober
        for finding in found.hosts:
            self._found_at_s[finding.host] = sent_at_s
            # Own probes go first.
            if finding.host not in prober.hosts:
                prober.book.take(finding, sent_at_s)


def _make_queries(tools: KeeperTools) -> Iterator[ProbeQuery]:
    for domain in tools.scopes.owned:
        yield ProbeQuery(
            domain,
            groups_table(tools.state.ledgers.get(domain)),
            tuple(sorted(tools.draining.of(domain))),
            tools.draining.is_known,
        )


def _probers(tools: KeeperTools) -> frozenset[str]:
    names = map(tools.scopes.probers, tools.scopes.owned)
    return frozenset().union(*names) - {tools.state.settings.name}
