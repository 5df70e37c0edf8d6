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
    LoadReport,
    Message,
)
from cowslipstep.peers import Callee, PeerLink, PeerUnreachable, Reply, Traffic
from cowslipstep.serving._demand import DemandWatch
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._state import ServingState

# A choice of a group by counts of this age collides rarely at the rates
# of one daemon.
_REPORT_S = 0.08
# Without any news a report still shows that the daemon lives.
_IDLE_REPORT_S = 0.4
_COPY_TIMEOUT_S = 1


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
    reachability
        Tells which vanished runners answer.
    """

    def __init__(
        self,
        state: ServingState,
        registry: DaemonRegistry,
        reachability: Reachability,
    ) -> None:
        self._state = state
        self._registry = registry
        self._reachability = reachability
        self._traffic = Traffic()
        self._peers: dict[str, _Peer] = {}
        self._sequence = 0
        self._demand = DemandWatch(state)
        self._copying = False

    @property
    def traffic(self) -> Traffic:
        """Bytes exchanged with peers."""
        return self._traffic

    @property
    def demand(self) -> DemandWatch:
        """Requests by model, over all daemons."""
        return self._demand

    def run(self) -> None:
        """Keep a link to each known daemon until the task is ended."""
        while True:
            self._connect()
            eventlet.sleep(_REPORT_S)

    def handle(self, message: Message, reply: Reply) -> None:
        """Take a message of a peer."""
        match message:
            case LoadReport():
                self._state.loads.note(message)
                self._catch_up(message)
            case ConfigurationQuery():
                feed = self._state.configuration
                reply(ConfigurationCopy(feed.version, feed.document))
            case _:
                reply(Acknowledgement())

    def _report(self) -> LoadReport:
        self._sequence += 1
        return LoadReport(
            daemon=self._state.settings.name,
            sequence=self._sequence,
            configuration_version=self._state.configuration.version,
            loads=self._state.loads.own,
            demands=self._demand.own(),
            suspects=self._state.suspicions.names,
            served=self._state.served,
            keeper=self._state.is_keeper,
            heard=self._reachability.own_heard,
        )

    def _tell_all(self, link: PeerLink) -> None:
        """Send a peer each report that tells something new."""
        told: LoadReport | None = None
        idle_s: float = 0
        while True:
            eventlet.sleep(_REPORT_S)
            idle_s += _REPORT_S
            report = self._report()
            if not link.connected:
                told = None
            elif idle_s >= _IDLE_REPORT_S or _is_news(told, report):
                _tell(link, report)
                told = report
                idle_s = 0

    def _connect(self) -> None:
        others = self._registry.others
        for name, peer in tuple(self._peers.items()):
            if others.get(name) != peer.entry:
                self._peers.pop(name).close()
        for name, entry in others.items():
            if name not in self._peers:
                self._peers[name] = self._open(entry)

    def _open(self, entry: DaemonEntry) -> _Peer:
        callee = Callee(entry.address, self._registry.own, self._traffic)
        link = PeerLink(callee)
        return _Peer(
            entry,
            link,
            [
                start_task(f'link to {entry.name}', link.run),
                start_task(
                    f'reports to {entry.name}',
                    lambda: self._tell_all(link),
                ),
            ],
        )

    def _catch_up(self, report: LoadReport) -> None:
        """Fetch a newer configuration that a peer has."""
        newer = report.configuration_version > self._state.configuration.version
        peer = self._peers.get(report.daemon)
        if not newer or peer is None or self._copying:
            return
        self._copying = True
        eventlet.spawn(self._copy, peer.link)

    def _copy(self, link: PeerLink) -> None:
        version = self._state.configuration.version
        try:
            copy = link.call(ConfigurationQuery(version), _COPY_TIMEOUT_S)
        except PeerUnreachable as error:
            logger.info('configuration not copied: {}', error)
        else:
            match copy:
                case ConfigurationCopy(_, document):
                    self._state.configuration.take_document(document)
        finally:
            self._copying = False


def _tell(link: PeerLink, report: LoadReport) -> None:
    try:
        link.tell(report)
    except PeerUnreachable as error:
        logger.debug('load report not sent: {}', error)


def _is_news(told: LoadReport | None, report: LoadReport) -> bool:
    if told is None:
        return True
    return (
        told.loads != report.loads
        or told.suspects != report.suspects
        or told.configuration_version != report.configuration_version
        or told.keeper != report.keeper
        or told.heard != report.heard
    )
