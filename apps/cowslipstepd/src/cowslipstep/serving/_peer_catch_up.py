"""Copies configuration and runners from peers if this daemon's watch lags."""

from __future__ import annotations

import time

import eventlet
from loguru import logger

from cowslipstep.model import ConfigurationCopy, ConfigurationQuery, Message
from cowslipstep.model.loads import LoadReport, RunnersCopy, RunnersQuery
from cowslipstep.peers import PeerLink, PeerUnreachable
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._missed_changes import (
    STALLED_WATCH_S,
    MissedChanges,
    follows_platform,
)
from cowslipstep.serving._state import ServingState

_COPY_TIMEOUT_S = 1
# Parts of the time after which a withdrawn key is refused everywhere, at which
# a peer is asked to confirm the configuration: a follower asks its relay early,
# others only if the platform has not confirmed it.
_FOLLOWER_RENEWAL_SHARE = 0.35
_RENEWAL_SHARE = 0.6


def copy_configuration(
    state: ServingState, known_version: int
) -> ConfigurationCopy:
    """Return the configuration in force, and how long ago it was confirmed.

    The document is left out if the peer has the version already.
    """
    configuration = state.configuration
    is_known = configuration.version <= known_version
    return ConfigurationCopy(
        configuration.version,
        '' if is_known else configuration.document,
        boot_time_s() - configuration.freshness.confirmed_at_s,
    )


class _VersionLag:
    """How long peers have had a newer version than this daemon."""

    def __init__(self) -> None:
        self._version = 0
        self._since_s: float = 0

    def is_stalled(self, version: int) -> bool:
        """Return whether a working watch would have replaced it by now.

        To be called with this daemon's version when a peer reports a newer
        one: the time counts from the first call with that version.
        """
        now_s = time.monotonic()
        if version != self._version:
            self._version = version
            self._since_s = now_s
        return now_s - self._since_s > STALLED_WATCH_S


def _needs_confirmation(state: ServingState) -> bool:
    """Return whether a peer should confirm the keys in force again."""
    confirmed_at_s = state.configuration.freshness.confirmed_at_s
    share = (
        _FOLLOWER_RENEWAL_SHARE
        if state.relay_role.relies_on_relay
        else _RENEWAL_SHARE
    )
    revocation_s = state.settings.bounds.revocation_s
    return boot_time_s() - confirmed_at_s > share * revocation_s


class PeerCatchUp:
    """Queries a peer that has newer objects, one query at a time.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._in_progress = False
        self._configuration = _VersionLag()
        self._runners = _VersionLag()
        self._last_query: Message | None = None
        self._missed_changes = MissedChanges(state)

    def start(self, report: LoadReport, link: PeerLink) -> None:
        """Query the sender of a report if its versions are newer."""
        self._missed_changes.note_report(report)
        query = self._query(report)
        if query is None or self._in_progress:
            return
        self._in_progress = True
        self._last_query = query
        eventlet.spawn(self._fetch, query, link)

    def _query(self, report: LoadReport) -> Message | None:
        """Return the next query; the two kinds take turns if both are due.

        A relay may report a version of the configuration before it has it.
        """
        if isinstance(self._last_query, ConfigurationQuery):
            return self._runners_query(report) or self._configuration_query(
                report
            )
        return self._configuration_query(report) or self._runners_query(report)

    def _configuration_query(
        self, report: LoadReport
    ) -> ConfigurationQuery | None:
        version = self._state.configuration.version
        is_behind = report.configuration_version > version
        if is_behind and self._configuration.is_stalled(version):
            return ConfigurationQuery(version)
        if _needs_confirmation(self._state):
            return ConfigurationQuery(version)
        return None

    def _runners_query(self, report: LoadReport) -> RunnersQuery | None:
        known = self._state.runner_table.revision
        if report.runners_revision <= known:
            return None
        if follows_platform(self._state) and not self._runners.is_stalled(
            known
        ):
            # A daemon that reaches the platform gets the change from its watch.
            return None
        return RunnersQuery(known)

    def _fetch(self, query: Message, link: PeerLink) -> None:
        asked_at_s = boot_time_s()
        try:
            self._apply(link.call(query, _COPY_TIMEOUT_S), asked_at_s)
        except PeerUnreachable as error:
            logger.info(
                'query for a newer version failed, the next report retries: {}',
                error,
            )
        finally:
            self._in_progress = False

    def _apply(self, copy: Message, asked_at_s: float) -> None:
        configuration = self._state.configuration
        match copy:
            case ConfigurationCopy(version, document, confirmed_age_s):
                if document:
                    configuration.update(document)
                if version <= configuration.version:
                    # The age refers to a moment after the query was sent.
                    configuration.freshness.confirm(
                        asked_at_s - confirmed_age_s
                    )
            case RunnersCopy():
                self._missed_changes.note_copy(copy)
                self._state.runner_entries.apply_copy(copy)
