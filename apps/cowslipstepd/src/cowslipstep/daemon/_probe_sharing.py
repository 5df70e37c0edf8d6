"""Probes of this daemon, as its share and as a keeper."""

from __future__ import annotations

import itertools

from cowslipstep.daemon._keeper import KeeperTools
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._probe_answers import ProbeAnswers
from cowslipstep.daemon._probe_queries import ProbeQueries
from cowslipstep.daemon._probe_shares import ProbeShares, kept_runners


class ProbeSharing:
    """Probes the own share of hosts and those that no one else reports.

    Parameters
    ----------
    tools
        What the keepers of a daemon share.
    links
        Links to the other daemons.
    """

    def __init__(self, tools: KeeperTools, links: PeerLinks) -> None:
        self._tools = tools
        self._shares = ProbeShares(tools.state, tools.scopes)
        self._queries = ProbeQueries(tools, links)
        tools.state.probe_calls = ProbeAnswers(tools).answer

    def update(self) -> None:
        """Probe what falls to this daemon now, and ask the other probers."""
        self._queries.adjust()
        self._tools.prober.cover(
            itertools.chain(self._shares.runners(), self._queries.unreported()),
            kept_runners(self._tools.scopes),
        )
