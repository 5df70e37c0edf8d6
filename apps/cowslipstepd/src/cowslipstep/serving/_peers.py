"""Load reports between daemons: one task for each peer."""

from __future__ import annotations

from typing import Any

import eventlet
from attrs import define
from loguru import logger

from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import (
    Acknowledgement,
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    Message,
)
from cowslipstep.model.loads import LoadReport, RunnersQuery
from cowslipstep.peers import Callee, PeerLink, PeerUnreachable, Reply, Traffic
from cowslipstep.serving._catching_up import CatchingUp
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._reports import ReportMaker, is_news
from cowslipstep.serving._state import ServingState

# A choice of a group by counts of this age collides rarely at the rates
# of one daemon.
_REPORT_S = 0.08
# Without any news a report still shows that the daemon lives.
_IDLE_REPORT_S = 0.4


@define
class _Peer:
    entry: DaemonEntry
    link: PeerLink
    tasks: list[Any]

    def close(self) -> None:
        """End the tasks and the connection."""
        for task in self.tasks:
            task.kill()
        self.link.reset()


class PeerReports:
    """Tells the other daemons of loads and hears theirs.

    Parameters
    ----------
    state
        State of the daemon.
    registry
        The other daemons.
    reports
        Makes the reports of this daemon.
    """

    def __init__(
        self,
        state: ServingState,
        registry: DaemonRegistry,
        reports: ReportMaker,
    ) -> None:
        self._state = state
        self._registry = registry
        self._reports = reports
        self._catching_up = CatchingUp(state)
        self._traffic = Traffic()
        self._peers: dict[str, _Peer] = {}

    @property
    def traffic(self) -> Traffic:
        """Bytes exchanged with peers."""
        return self._traffic

    def run(self) -> None:
        """Keep a link to each known daemon until the task is ended."""
        while True:
            self._connect()
            eventlet.sleep(_IDLE_REPORT_S)

    def take(self, message: Message, reply: Reply) -> None:
        """Take a message of a peer."""
        match message:
            case LoadReport(daemon=daemon):
                self._state.loads.note(message)
                peer = self._peers.get(daemon)
                if peer is not None:
                    self._catching_up.start(message, peer.link)
            case ConfigurationQuery():
                feed = self._state.configuration
                reply(ConfigurationCopy(feed.version, feed.document))
            case RunnersQuery():
                reply(self._state.entries.copy())
            case _:
                reply(Acknowledgement())

    def _tell_all(self, link: PeerLink) -> None:
        """Send a peer each report that tells something new."""
        told: LoadReport | None = None
        idle_s: float = 0
        while True:
            eventlet.sleep(_REPORT_S)
            idle_s += _REPORT_S
            report = self._reports.make()
            if idle_s >= _IDLE_REPORT_S or is_news(told, report):
                told = report if _is_told(link, report) else None
                idle_s = 0

    def _connect(self) -> None:
        others = self._registry.others
        for name, peer in tuple(self._peers.items()):
            if others.get(name) != peer.entry:
                self._peers.pop(name).close()
        for missing in others.keys() - self._peers.keys():
            self._peers[missing] = self._open(others[missing])

    def _open(self, entry: DaemonEntry) -> _Peer:
        link = PeerLink(
            Callee(entry.address, self._registry.own, self._traffic),
        )
        tasks = [
            start_task(f'link to {entry.name}', link.run),
            start_task(
                f'reports to {entry.name}',
                lambda: self._tell_all(link),
            ),
        ]
        return _Peer(entry, link, tasks)


def _is_told(link: PeerLink, report: LoadReport) -> bool:
    try:
        link.tell(report)
    except PeerUnreachable as error:
        logger.debug('load report not sent: {}', error)
        return False
    return True
