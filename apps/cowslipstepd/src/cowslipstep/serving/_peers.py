"""Load reports between daemons: one task for each peer."""

from __future__ import annotations

import eventlet
from loguru import logger

from cowslipstep.model import (
    Acknowledgement,
    ConfigurationCopy,
    ConfigurationQuery,
    Message,
)
from cowslipstep.model.loads import LoadReport, RunnersQuery
from cowslipstep.peers import PeerLink, PeerUnreachable, Reply, Traffic
from cowslipstep.routing import MeshMember, Relay, Role
from cowslipstep.serving._catching_up import CatchingUp
from cowslipstep.serving._peer_links import PeerLinks
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._relay_role import Part, Whole
from cowslipstep.serving._reports import ReportMaker, is_news
from cowslipstep.serving._runner_copies import copy_runners
from cowslipstep.serving._state import ServingState

# A choice of a group by counts of this age collides rarely at the rates
# of one daemon.
_REPORT_S = 0.08
# A relay's report tells of all upstreams, so that reading it costs more; by
# this age few requests have gone to the same one of many groups.
_RELAYED_REPORT_S = 0.2
# Without any news a report still shows that the daemon lives.
_IDLE_REPORT_S = 0.4
# Between two looks whether the other daemons are known yet.
_FIRST_LOOK_S = 0.1


class PeerReports:
    """Tells other daemons of loads and hears theirs, as the role says.

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
        self._links = PeerLinks(
            state.own_entry,
            registry,
            self._traffic,
            self._tell_all,
        )

    @property
    def traffic(self) -> Traffic:
        """Bytes exchanged with peers."""
        return self._traffic

    def run(self) -> None:
        """Keep a link to each peer until the task is ended."""
        while True:
            self._follow_registry()
            self._links.keep(_wanted(self._state))
            known = self._registry.known
            eventlet.sleep(_IDLE_REPORT_S if known else _FIRST_LOOK_S)

    def take(self, message: Message, reply: Reply) -> None:
        """Take a message of a peer."""
        match message:
            case LoadReport():
                self._take_report(message)
            case ConfigurationQuery():
                feed = self._state.configuration
                reply(ConfigurationCopy(feed.version, feed.document))
            case RunnersQuery(known_revision):
                reply(copy_runners(self._state.directory, known_revision))
            case _:
                reply(Acknowledgement())

    def _take_report(self, report: LoadReport) -> None:
        match self._state.role.hear(report):
            case Whole():
                self._state.loads.note(report, alone=True)
            case Part(source):
                self._state.loads.note(report, source)
        link = self._links.get(report.daemon)
        if link is not None:
            self._catching_up.start(report, link)

    def _tell_all(self, name: str, link: PeerLink) -> None:
        """Send a peer each report that tells something new."""
        told: LoadReport | None = None
        idle_s: float = 0
        while True:
            period_s = _period_s(self._state.role.current)
            eventlet.sleep(period_s)
            idle_s += period_s
            report = self._reports.for_peer(name)
            if idle_s >= _IDLE_REPORT_S or is_news(told, report):
                told = report if _is_told(link, report) else None
                idle_s = 0

    def _follow_registry(self) -> None:
        if not self._registry.known:
            return
        others = self._registry.others
        if len(others) + 1 != self._state.daemons:
            self._state.share_limits(len(others) + 1)
        if self._state.role.choose(others.values()):
            logger.bind(daemons=self._state.daemons).info(
                'reports loads as {}',
                type(self._state.role.current).__name__,
            )


def _period_s(role: Role) -> float:
    match role:
        case MeshMember():
            return _REPORT_S
        case _:
            return _RELAYED_REPORT_S


def _wanted(state: ServingState) -> set[str]:
    """Return the daemons that are told of loads."""
    role = state.role.current
    wanted = set(role.peers)
    match role:
        case Relay():
            wanted.update(
                report.daemon
                for report in state.loads.reports
                if not report.from_relay
            )
            # The one that comes later in the order follows once it hears.
            wanted.update(state.role.near.rivals)
    return wanted


def _is_told(link: PeerLink, report: LoadReport) -> bool:
    try:
        link.send(report)
    except PeerUnreachable as error:
        logger.debug('load report not sent: {}', error)
        return False
    return True
