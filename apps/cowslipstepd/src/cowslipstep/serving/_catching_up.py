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
        self._behind_at = 0
        self._behind_s: float = 0

    def start(self, report: LoadReport, link: PeerLink) -> None:
        """Ask the sender of a report if it knows more."""
        query = self._query(report)
        if query is None or self._asking:
            return
        self._asking = True
        eventlet.spawn(self._ask, query, link)

    def _query(self, report: LoadReport) -> Message | None:
        version = self._state.configuration.version
        if report.configuration_version > version:
            return ConfigurationQuery(version)
        directory = self._state.directory
        if report.runners_revision <= directory.revision:
            return None
        if directory.lost or self._state.role.fed or self._hangs():
            return RunnersQuery(directory.revision)
        # A daemon that reaches the platform is told by it.
        return None

    def _hangs(self) -> bool:
        """Whether no change was told for long while a peer knows of some."""
        now_s = time.monotonic()
        revision = self._state.directory.revision
        if revision != self._behind_at:
            self._behind_at = revision
            self._behind_s = now_s
        return now_s - self._behind_s > _HANGING_S

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
