"""Heartbeats: one task for each partner exchanges them."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._membership import hear_heartbeat
from cowslipstep.daemon._reports import OwnReports
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.model import ConfigurationCopy, ConfigurationQuery, Heartbeat
from cowslipstep.peers import FULL_MESH_DAEMONS, PeerUnreachable, ReportReader

_SHORT_PERIOD_S = 0.5
_LONG_PERIOD_S = 1
_CALL_TIMEOUT_S = 2
_ADJUST_S = 1
_JITTER = 0.2


class Heartbeats:
    """Keeps one task for each partner.

    Parameters
    ----------
    state
        State of the daemon.
    feed
        Takes and gives configurations.
    links
        Links to the partners.
    """

    def __init__(
        self,
        state: DaemonState,
        feed: ConfigurationFeed,
        links: PeerLinks,
    ) -> None:
        self._state = state
        self._feed = feed
        self._links = links
        self._tasks: dict[str, Any] = {}

    def start(self, reports: OwnReports) -> None:
        """Start the task that keeps a task for each partner."""
        start_task('partners', repeat(_ADJUST_S, lambda: self._adjust(reports)))

    def _adjust(self, reports: OwnReports) -> None:
        partners = self._state.membership.choose_heartbeat_peers()
        for gone in self._tasks.keys() - partners:
            self._tasks.pop(gone).kill()
        for name in partners - self._tasks.keys():
            exchange = PartnerExchange(name, self._state, reports)
            self._tasks[name] = start_task(
                f'heartbeats to {name}',
                exchange.task(self._feed, self._links),
            )
        self._links.close_idle()


class PartnerExchange:
    """Exchanges heartbeats with one partner.

    Parameters
    ----------
    name
        Name of the partner.
    state
        State of the daemon.
    reports
        Writes the own heartbeats.
    """

    def __init__(
        self,
        name: str,
        state: DaemonState,
        reports: OwnReports,
    ) -> None:
        self._name = name
        self._state = state
        self._reports = reports
        self._reader = ReportReader()

    def task(
        self,
        feed: ConfigurationFeed,
        links: PeerLinks,
    ) -> Callable[[], None]:
        """Return the function that exchanges heartbeats without end."""

        def run() -> None:  # noqa: WPS430
            while True:
                try:
                    self._exchange(feed, links)
                except PeerUnreachable as error:
                    logger.debug('no heartbeat: {}', error)
                    links.reset(self._name)
                eventlet.sleep(_period_s(len(self._state.membership.others)))

        return run

    def _exchange(self, feed: ConfigurationFeed, links: PeerLinks) -> None:
        sent_at_s = time.monotonic()
        own = self._reports.request(self._reader.table)
        match links.call(self._name, own, _CALL_TIMEOUT_S):
            case Heartbeat() as heard:
                self._learn(heard, sent_at_s)
                self._even_out(heard, feed, links)

    def _learn(self, heard: Heartbeat, sent_at_s: float) -> None:
        hear_heartbeat(self._state.membership, heard, sent_at_s)
        for readiness in self._reader.read(heard.readiness):
            self._state.readiness.record(readiness, sent_at_s)

    def _even_out(
        self,
        heard: Heartbeat,
        feed: ConfigurationFeed,
        links: PeerLinks,
    ) -> None:
        version = heard.configuration_version
        if version < self._state.version:
            links.tell(self._name, feed.copy_for(version))
        if feed.lacks(version):
            query = ConfigurationQuery(self._state.version)
            match links.call(self._name, query, _CALL_TIMEOUT_S):
                case ConfigurationCopy(found, document):
                    feed.apply(found, document)
        feed.confirmation.peer_answered(self._name, version)


def _period_s(others: int) -> float:
    period_s = _SHORT_PERIOD_S if others < FULL_MESH_DAEMONS else _LONG_PERIOD_S
    return period_s * random.uniform(1 - _JITTER, 1 + _JITTER)
