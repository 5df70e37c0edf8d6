"""Handling of keepers' questions for what probes have found."""

from __future__ import annotations

from collections.abc import Callable

from cowslipstep.model import ProbeFindings, ProbeQuery
from cowslipstep.peers import Reply

ProbeHandler = Callable[[ProbeQuery, Reply], None]


def know_nothing(query: ProbeQuery, reply: Reply) -> None:
    """Tell that this daemon probes no host."""
    reply(ProbeFindings(query.domain))
