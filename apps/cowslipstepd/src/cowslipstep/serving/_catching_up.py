"""Copies from peers of what this daemon has missed at the platform."""

from __future__ import annotations

import time

import eventlet
from loguru import logger

from cowslipstep.model import ConfigurationCopy, ConfigurationQuery, Message
from cowslipstep.model.loads import LoadReport, RunnersCopy, RunnersQuery
from cowslipstep.peers import PeerLink, PeerUnreachable
from cowslipstep.serving._state import ServingState

_COPY_TIMEOUT_S = 1
# A watch that is this far behind a peer may hang; it is told of changes
# within a third of this time otherwise.
_HANGING_S = 1


class _Lag:
    """For how long a daemon has known one version while peers know more."""

    def __init__(self) -> None:
        self._version = 0
        self._since_s: float = 0

    def is_long(self, version: int) -> bool:
        """Whether a watch would have told of a change by now."""
        now_s = time.monotonic()
        if version != self._version:
            self._version = version
            self._since_s = now_s
        return now_s - self._since_s > _HANGING_S


class CatchingUp:
    """Asks a peer that knows more, once at a time.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._asking = False
        self._configuration = _Lag()
        self._runners = _Lag()

    def start(self, report: LoadReport, link: PeerLink) -> None:
        """Ask the sender of a report if it knows more."""
        query = self._query(report)
        if query is None or self._asking:
            return
        self._asking = True
        eventlet.spawn(self._ask, query, link)

    def _query(self, report: LoadReport) -> Message | None:
        version = self._state.configuration.version
        behind = report.configuration_version > version
        if behind and self._configuration.is_long(version):
            return ConfigurationQuery(version)
        directory = self._state.directory
        if report.runners_revision <= directory.revision:
            return None
        told = not (directory.lost or self._state.role.fed)
        if told and not self._runners.is_long(directory.revision):
            # A daemon that reaches the platform is told by it.
            return None
        return RunnersQuery(directory.revision)

    def _ask(self, query: Message, link: PeerLink) -> None:
        try:
            self._take(link.call(query, _COPY_TIMEOUT_S))
        except PeerUnreachable as error:
            logger.info('nothing copied from a peer: {}', error)
        finally:
            self._asking = False

    def _take(self, copy: Message) -> None:
        match copy:
            case ConfigurationCopy(_, document):
                self._state.configuration.take(document)
            case RunnersCopy():
                self._state.entries.take_copy(copy)
