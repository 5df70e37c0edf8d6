"""Exchange of load reports between daemons, with one task for each peer."""

from __future__ import annotations

from collections.abc import Iterable

import eventlet
from loguru import logger

from cowslipstep.model import (
    Acknowledgement,
    ConfigurationQuery,
    Message,
)
from cowslipstep.model.loads import LoadReport, RunnersQuery
from cowslipstep.peers import PeerLink, PeerUnreachable, ReplyCallback, Traffic
from cowslipstep.routing import MeshMember, Relay, Role
from cowslipstep.routing.late_loads import fleet_place
from cowslipstep.serving._evacuations import learn_from_report
from cowslipstep.serving._peer_catch_up import (
    PeerCatchUp,
    copy_configuration,
)
from cowslipstep.serving._peer_links import PeerLinks
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._relay_role import CompleteReport, PartialReport
from cowslipstep.serving._report_builder import ReportBuilder, has_changed
from cowslipstep.serving._runner_copies import copy_runners
from cowslipstep.serving._state import ServingState

# At the request rates of one daemon, daemons that choose a group by loads of
# this age rarely choose the same one at the same time.
_MESH_REPORT_PERIOD_S = 0.08
# A relay's report lists all upstreams, so that it costs more to decode; within
# this time few requests go to the same one of many groups.
_RELAYED_REPORT_PERIOD_S = 0.2
# An unchanged report is repeated as a heartbeat.
_IDLE_REPORT_PERIOD_S = 0.4
# Period of the check whether the list of daemons has been read.
_REGISTRY_POLL_PERIOD_S = 0.1


class PeerReports:
    """Sends load reports to other daemons and receives theirs.

    The relay role decides who receives reports, and which reports count.

    Parameters
    ----------
    state
        State of the daemon.
    registry
        The other daemons.
    reports
        Builds the reports of this daemon.
    """

    def __init__(
        self,
        state: ServingState,
        registry: DaemonRegistry,
        reports: ReportBuilder,
    ) -> None:
        self._state = state
        self._registry = registry
        self._reports = reports
        self._catch_up = PeerCatchUp(state)
        self._traffic = Traffic()
        self._links = PeerLinks(
            state.own_entry,
            registry,
            self._traffic,
            self._send_reports,
        )

    @property
    def traffic(self) -> Traffic:
        """Bytes exchanged with peers."""
        return self._traffic

    def run(self) -> None:
        """Maintain a link to each peer until the task is ended."""
        while True:
            self._update_role()
            self._links.reconcile(_report_receivers(self._state))
            was_read = self._registry.was_read
            eventlet.sleep(
                _IDLE_REPORT_PERIOD_S if was_read else _REGISTRY_POLL_PERIOD_S
            )

    def receive(self, message: Message, reply: ReplyCallback) -> None:
        """Process a message of a peer, and reply to queries."""
        match message:
            case LoadReport():
                self._receive_report(message)
            case ConfigurationQuery(known_version):
                reply(copy_configuration(self._state, known_version))
            case RunnersQuery(known_revision):
                reply(copy_runners(self._state.runner_table, known_revision))
            case _:
                reply(Acknowledgement())

    def _receive_report(self, report: LoadReport) -> None:
        learn_from_report(self._state.evacuations, report)
        match self._state.relay_role.record(report):
            case CompleteReport():
                self._state.loads.record(report, replace_all=True)
            case PartialReport(source):
                self._state.loads.record(report, source)
        link = self._links.get(report.daemon)
        if link is not None:
            self._catch_up.start(report, link)

    def _send_reports(self, name: str, link: PeerLink) -> None:
        """Send a peer each report that differs from the last one."""
        last_sent: LoadReport | None = None
        idle_s: float = 0
        while True:
            period_s = _report_period_s(self._state.relay_role.current)
            eventlet.sleep(period_s)
            idle_s += period_s
            report = self._reports.report_for(name)
            if idle_s >= _IDLE_REPORT_PERIOD_S or has_changed(
                last_sent, report
            ):
                last_sent = report if _try_send(link, report) else None
                idle_s = 0

    def _update_role(self) -> None:
        if not self._registry.was_read:
            return
        others = self._registry.others
        if len(others) + 1 != self._state.daemon_count:
            self._state.divide_limits(len(others) + 1)
        self._state.cold_runners.update_fleet(
            others,
            self._registry.listed,
            _largest_known(self._state.loads.reports),
        )
        self._state.fleet_place = fleet_place(self._state.settings.name, others)
        if self._state.relay_role.choose(others.values()):
            logger.bind(daemons=self._state.daemon_count).info(
                'role in load reports is now {}',
                type(self._state.relay_role.current).__name__,
            )


def _largest_known(reports: Iterable[LoadReport]) -> int:
    return max((report.daemons_known for report in reports), default=0)


def _report_period_s(role: Role) -> float:
    match role:
        case MeshMember():
            return _MESH_REPORT_PERIOD_S
        case _:
            return _RELAYED_REPORT_PERIOD_S


def _report_receivers(state: ServingState) -> set[str]:
    """Return the daemons that receive load reports."""
    role = state.relay_role.current
    receivers = set(role.peers)
    match role:
        case Relay():
            receivers.update(
                report.daemon
                for report in state.loads.reports
                if not report.from_relay
            )
            # Two relays of one domain: the later one in the order of relays
            # becomes a follower once it receives a report of the other.
            receivers.update(state.relay_role.own_domain.other_relays)
    return receivers


def _try_send(link: PeerLink, report: LoadReport) -> bool:
    try:
        link.send(report)
    except PeerUnreachable as error:
        logger.debug('load report not sent, the next period retries: {}', error)
        return False
    return True
