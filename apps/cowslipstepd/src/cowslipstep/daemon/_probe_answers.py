"""Answers to keepers that ask what probes have found."""

from __future__ import annotations

import time
from collections.abc import Iterator

from cowslipstep.daemon._keeper import KeeperTools
from cowslipstep.groups import groups_table, finding_of
from cowslipstep.model import HostFinding, ProbeFindings, ProbeQuery
from cowslipstep.peers import Reply


class ProbeAnswers:
    """Tells keepers what the probes of this daemon have found.

    Parameters
    ----------
    tools
        What the keepers of a daemon share.
    """

    def __init__(self, tools: KeeperTools) -> None:
        self._tools = tools

    def answer(self, query: ProbeQuery, reply: Reply) -> None:
        """Answer a keeper, and take over what it says of its groups."""
        tools = self._tools
        ledger = tools.state.ledgers.get(query.domain)
        if query.groups_table != groups_table(ledger):
            tools.ledgers.want(query.domain)
        if query.drains_known:
            tools.draining.learn(query.domain, query.draining)
        findings = tuple(self._findings(query.domain))
        reply(ProbeFindings(query.domain, findings))

    def _findings(self, domain: str) -> Iterator[HostFinding]:
        scope = self._tools.scopes.near.get(domain)
        prober = self._tools.prober
        now_s = time.monotonic()
        for host in scope.hosts & prober.hosts if scope else ():
            record = prober.records[host]
            if record.report or record.misses:
                yield finding_of(host, record, now_s)
